//! Properties of the quarantine under random interleavings of entries, servers, crashes and lost
//! reports.

mod content;
mod content_fleet;
mod mixed_builds;
mod simulation;

use std::time::{Duration, Instant};

use gs_control::quarantine::{
    QuarantineDecision, QuarantineEffect, QuarantineEvent, QuarantineSettings, QuarantineState,
    RunEnd,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName, Incarnation, ServerName};
use gs_protocol::suspicion::{
    BlameRecord, BlameState, RequestFingerprint, ServerBoot, SuspectRun, SuspicionReport,
};
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{CrashStage, Simulation, SimulationSetup};
use test_case::test_case;
use uuid::Uuid;

const CASES: u32 = 100;

/// Checks the properties of simulations with random seeds; the test runner prints a failing seed.
fn check_seeds(setup: SimulationSetup) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(&any::<u64>(), |seed| {
        let mut simulation = Simulation::new(seed, setup);
        simulation.run();
        let deaths = simulation.deaths();
        let max_deaths = setup.copies.max(2);
        assert!(
            deaths <= max_deaths,
            "{deaths} servers died, but at most {max_deaths} may"
        );
        if !setup.unreliable_reports {
            assert_eq!(
                simulation.refused_harmless(),
                0,
                "harmless requests were refused"
            );
        }
        assert_eq!(
            simulation.unfinished_harmless(),
            0,
            "harmless requests did not end"
        );
        assert!(
            simulation.all_refuse_crashing(),
            "an entry does not refuse the crashing request"
        );
        Ok(())
    });
    outcome.expect("the seed above violates a property");
}

const NO_FAULTS: SimulationSetup = SimulationSetup {
    stage: CrashStage::Prefill,
    copies: 1,
    cuts: false,
    unreliable_reports: false,
    max_report_delay: 1,
};

#[test_case(NO_FAULTS; "crash in the prefill")]
#[test_case(SimulationSetup { stage: CrashStage::Load, ..NO_FAULTS }; "crash before the first token")]
#[test_case(SimulationSetup { stage: CrashStage::Stream, ..NO_FAULTS }; "crash in the stream")]
#[test_case(SimulationSetup { cuts: true, ..NO_FAULTS }; "cut connections")]
#[test_case(SimulationSetup { unreliable_reports: true, max_report_delay: 6, ..NO_FAULTS }; "lost and repeated reports")]
#[test_case(SimulationSetup { max_report_delay: 30, ..NO_FAULTS }; "reports that take 150 ms")]
#[test_case(SimulationSetup { stage: CrashStage::Stream, max_report_delay: 60, ..NO_FAULTS }; "reports that take 300 ms")]
#[test_case(SimulationSetup { stage: CrashStage::Load, copies: 2, ..NO_FAULTS }; "two copies at once")]
#[test_case(SimulationSetup { copies: 3, ..NO_FAULTS }; "three copies at once")]
fn server_deaths_are_bounded_and_harmless_requests_run(setup: SimulationSetup) {
    check_seeds(setup);
}

fn server(number: u64) -> ServerName {
    ServerName::new(format!("server-{number}"))
}

/// One entry's quarantine state with a manual clock.
struct QuarantineHarness {
    state: QuarantineState,
    now: Instant,
    effects: Vec<QuarantineEffect>,
    attempts: u64,
}

impl QuarantineHarness {
    fn new(settings: QuarantineSettings) -> Self {
        Self {
            state: QuarantineState::new(EntryName::from("entry"), settings),
            now: Instant::now(),
            effects: Vec::new(),
            attempts: 0,
        }
    }

    fn send(&mut self, event: QuarantineEvent) {
        self.state.handle(self.now, event, &mut self.effects);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.send(QuarantineEvent::Tick);
    }

    fn report_load(&mut self, number: u64, boot: u64) {
        let server = server(number);
        self.send(QuarantineEvent::LoadReported(ServerBoot { server, boot }));
    }

    /// Starts an attempt with a fingerprint on a server.
    fn start(&mut self, fingerprint: RequestFingerprint, number: u64) -> AttemptId {
        self.attempts += 1;
        let attempt = AttemptId(Uuid::from_u64_pair(0, self.attempts));
        self.send(QuarantineEvent::AttemptStarted {
            attempt,
            fingerprint,
            prefill: None,
            decode: server(number),
        });
        attempt
    }

    /// Starts an attempt on a server and loses its connection.
    fn lose_connection(&mut self, fingerprint: RequestFingerprint, number: u64) {
        let attempt = self.start(fingerprint, number);
        let end = RunEnd::ConnectionLost(server(number));
        self.send(QuarantineEvent::AttemptEnded { attempt, end });
    }

    /// Receives a peer's report with its blames and running suspects.
    fn receive_report(&mut self, number: u64, blames: Vec<BlameRecord>, running: Vec<SuspectRun>) {
        let peer = EntryIdentity {
            entry: EntryName::from("peer"),
            incarnation: Incarnation(1),
        };
        let report = SuspicionReport {
            number,
            blames,
            running,
            pending_runs: Vec::new(),
            requests_ack: false,
        };
        self.send(QuarantineEvent::PeerReported { peer, report });
    }

    fn decide(&self, fingerprint: RequestFingerprint) -> QuarantineDecision {
        self.state.decide(self.now, fingerprint)
    }
}

#[test]
fn only_the_known_suspect_is_blamed() {
    let mut harness = QuarantineHarness::new(QuarantineSettings::default());
    let [suspect, harmless] = [RequestFingerprint(1), RequestFingerprint(2)];
    harness.report_load(1, 1);
    harness.report_load(2, 1);
    harness.lose_connection(suspect, 1);
    harness.send(QuarantineEvent::ServerDown(server(1)));
    harness.lose_connection(suspect, 2);
    harness.lose_connection(harmless, 2);
    harness.send(QuarantineEvent::ServerDown(server(2)));
    assert_eq!(harness.decide(suspect), QuarantineDecision::Refused);
    assert_eq!(harness.decide(harmless), QuarantineDecision::Unrestricted);
}

/// The entry that runs the suspect reports the end of its run and its blame before this entry learns
/// of the death.
#[test]
fn a_suspect_of_a_peer_is_blamed_alone_after_its_run_has_ended() {
    let mut harness = QuarantineHarness::new(QuarantineSettings::default());
    let [suspect, harmless] = [RequestFingerprint(1), RequestFingerprint(2)];
    harness.report_load(1, 1);
    harness.report_load(2, 1);
    let attempt = harness.start(harmless, 2);
    let blame = |number, state| BlameRecord {
        attempt: AttemptId(Uuid::from_u64_pair(1, number)),
        fingerprint: suspect,
        death: ServerBoot {
            server: server(number),
            boot: 1,
        },
        state,
    };
    let run = SuspectRun {
        fingerprint: suspect,
        server: server(2),
        has_started: true,
    };
    harness.receive_report(1, vec![blame(1, BlameState::Proven)], vec![run]);
    let end = RunEnd::ConnectionLost(server(2));
    harness.send(QuarantineEvent::AttemptEnded { attempt, end });
    harness.receive_report(2, vec![blame(2, BlameState::Suspected)], Vec::new());
    harness.send(QuarantineEvent::ServerDown(server(2)));
    assert_eq!(harness.decide(harmless), QuarantineDecision::Unrestricted);
    harness.receive_report(3, vec![blame(2, BlameState::Proven)], Vec::new());
    assert_eq!(harness.decide(suspect), QuarantineDecision::Refused);
}

#[test]
fn runs_on_a_new_boot_are_not_blamed_for_the_death_of_the_old_boot() {
    let mut harness = QuarantineHarness::new(QuarantineSettings::default());
    let [crashing, harmless] = [RequestFingerprint(1), RequestFingerprint(2)];
    harness.report_load(1, 1);
    harness.lose_connection(crashing, 1);
    harness.start(harmless, 1);
    harness.report_load(1, 2);
    assert_eq!(harness.decide(crashing), QuarantineDecision::Isolated);
    assert_eq!(harness.decide(harmless), QuarantineDecision::Unrestricted);
}

#[test]
fn a_cut_connection_to_a_live_server_clears_the_blame() {
    let mut harness = QuarantineHarness::new(QuarantineSettings::default());
    let fingerprint = RequestFingerprint(1);
    harness.report_load(1, 1);
    harness.lose_connection(fingerprint, 1);
    assert_ne!(
        harness.decide(fingerprint),
        QuarantineDecision::Unrestricted
    );
    // The first of these reports may have been sent before the cut, so it does not prove the server
    // alive.
    harness.report_load(1, 1);
    assert_ne!(
        harness.decide(fingerprint),
        QuarantineDecision::Unrestricted
    );
    harness.report_load(1, 1);
    assert_eq!(
        harness.decide(fingerprint),
        QuarantineDecision::Unrestricted
    );
}

#[test]
fn blames_are_bounded_and_expire() {
    const MAX_FINGERPRINTS: usize = 50;
    let settings = QuarantineSettings {
        max_fingerprints: MAX_FINGERPRINTS,
        ..QuarantineSettings::default()
    };
    let retention = settings.blame_retention;
    let mut harness = QuarantineHarness::new(settings);
    for number in 0..20 * MAX_FINGERPRINTS as u64 {
        harness.report_load(number % 10, number);
        harness.lose_connection(RequestFingerprint(number), number % 10);
        harness.send(QuarantineEvent::ServerDown(server(number % 10)));
        harness.advance(Duration::from_millis(1));
        assert!(harness.state.count_fingerprints() <= MAX_FINGERPRINTS);
    }
    let last = RequestFingerprint(20 * MAX_FINGERPRINTS as u64 - 1);
    assert_eq!(harness.decide(last), QuarantineDecision::Isolated);
    assert_eq!(
        harness.decide(RequestFingerprint(0)),
        QuarantineDecision::Unrestricted
    );
    harness.advance(retention);
    assert_eq!(harness.state.count_fingerprints(), 0);
    assert_eq!(harness.decide(last), QuarantineDecision::Unrestricted);
}
