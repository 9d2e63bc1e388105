//! Property test: random events in any order, including late and repeated ones, must not break the
//! guarantees given to each request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::dispatch::{
    AttemptEnd, DispatchEffect, DispatchEvent, DispatchSettings, RequestStage,
};
use gs_document::document::CallerRank;
use gs_document::settings::PlacementPolicy;
use gs_protocol::engine::{
    CacheChange, CacheEvent, CacheEvents, EngineReason, EngineRole, LoadReport,
};
use gs_protocol::ids::{AttemptId, RequestId, ServerName};
use gs_protocol::prefix::PrefixHash;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

use crate::fixture::{DispatchHarness, MAX_STREAMS, caller, demand, idle_report, observation};

const CALLERS: [&str; 3] = ["clerks", "vans", "batch"];
const FIRST_TOKEN: Duration = Duration::from_millis(500);
const RETRY_BURST: u32 = 3;
const RETRY_RATIO: f64 = 0.25;
const CASES: u32 = 256;

/// One step of a random run. Attempts are chosen by index among all that were started.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        caller: usize,
        prompt_tokens: u32,
        shares_prefix: bool,
    },
    Cancel(prop::sample::Index),
    PrefillDone(prop::sample::Index),
    FirstToken(prop::sample::Index),
    End(prop::sample::Index, AttemptEnd),
    Fleet(FleetStep),
    Advance(u64),
}

/// One change of the fleet. Servers with even numbers are prefill servers.
#[derive(Clone, Copy, Debug)]
enum FleetStep {
    Load {
        server: usize,
        streams: u32,
        prefill_tokens: u32,
        leaving: bool,
        boot: u64,
    },
    Cache {
        server: usize,
        piece: u64,
        number: u64,
        stored: bool,
    },
    Leaving(usize),
    Lost(usize),
    Entries(u32),
}

impl FleetStep {
    fn event(self) -> DispatchEvent {
        match self {
            Self::Load {
                server,
                streams,
                prefill_tokens,
                leaving,
                boot,
            } => {
                let role = [EngineRole::Prefill, EngineRole::Decode][server % 2];
                let idle = idle_report(&server_name(server), role);
                let report = LoadReport {
                    streams,
                    prefill_tokens,
                    leaving,
                    boot,
                    ..idle
                };
                DispatchEvent::LoadReported(observation(report))
            }
            Self::Cache {
                server,
                piece,
                number,
                stored,
            } => {
                let change = match stored {
                    true => CacheChange::Stored,
                    false => CacheChange::Evicted,
                };
                let event = CacheEvent {
                    number,
                    change,
                    prefix: PrefixHash(piece),
                };
                let events = CacheEvents {
                    events: vec![event],
                    last: number,
                    boot: 1,
                };
                let server = server_name(server).as_str().into();
                DispatchEvent::CacheChanged { server, events }
            }
            Self::Leaving(server) => {
                DispatchEvent::ServerLeaving(server_name(server).as_str().into())
            }
            Self::Lost(server) => DispatchEvent::ServerLost(server_name(server).as_str().into()),
            Self::Entries(entries) => DispatchEvent::EntryCountChanged(entries),
        }
    }
}

fn server_name(server: usize) -> String {
    format!(
        "{}{}",
        if server.is_multiple_of(2) { "p" } else { "d" },
        server / 2
    )
}

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    let stage = prop_oneof![
        Just(RequestStage::Reserve),
        Just(RequestStage::Prefill),
        Just(RequestStage::Transfer),
        Just(RequestStage::Stream),
    ];
    let reason = prop_oneof![
        4 => Just(EngineReason::Full),
        1 => Just(EngineReason::Leaving),
        1 => Just(EngineReason::KvLost),
        1 => Just(EngineReason::BadRequest),
    ];
    prop_oneof![
        3 => Just(AttemptEnd::Completed { tokens: 20 }),
        2 => (stage.clone(), reason).prop_map(|(stage, reason)| AttemptEnd::Refused { stage, reason }),
        2 => (stage, 0_u32..5).prop_map(|(stage, tokens)| AttemptEnd::Lost { stage, tokens }),
        1 => Just(AttemptEnd::Cancelled),
    ]
}

fn any_fleet_step() -> impl Strategy<Value = FleetStep> {
    let load = (
        0_usize..8,
        0..MAX_STREAMS + 2,
        0_u32..9_000,
        0_u8..10,
        1_u64..3,
    );
    let cache = (0_usize..8, 0_u64..64, 1_u64..50, any::<bool>());
    prop_oneof![
        3 => load.prop_map(|(server, streams, prefill_tokens, leaving, boot)| {
            let leaving = leaving == 0;
            FleetStep::Load { server, streams, prefill_tokens, leaving, boot }
        }),
        1 => cache.prop_map(|(server, piece, number, stored)| {
            FleetStep::Cache { server, piece, number, stored }
        }),
        1 => (0_usize..8).prop_map(FleetStep::Leaving),
        1 => (0_usize..8).prop_map(FleetStep::Lost),
        1 => (1_u32..8).prop_map(FleetStep::Entries),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    let arrival = (0..CALLERS.len(), 1_u32..4_000, any::<bool>());
    prop_oneof![
        8 => arrival.prop_map(|(caller, prompt_tokens, shares_prefix)| {
            Step::Arrive { caller, prompt_tokens, shares_prefix }
        }),
        1 => index().prop_map(Step::Cancel),
        3 => index().prop_map(Step::PrefillDone),
        3 => index().prop_map(Step::FirstToken),
        6 => (index(), any_end()).prop_map(|(index, end)| Step::End(index, end)),
        7 => any_fleet_step().prop_map(Step::Fleet),
        6 => (1_u64..120).prop_map(Step::Advance),
    ]
}

/// Expected state of a request.
#[derive(Clone, Debug, Default)]
struct RequestTrace {
    due: Option<Instant>,
    running: Option<AttemptId>,
    starts: u32,
    ends: u32,
    /// Whether the latest attempt failed after work was done, or may have been. The next start is
    /// then charged to the retry budget.
    was_wasted: bool,
}

/// A run that checks every effect against the expected state.
struct CheckedRun {
    harness: DispatchHarness,
    requests: BTreeMap<RequestId, RequestTrace>,
    attempts: Vec<(AttemptId, RequestId)>,
    /// Decode server of each running attempt.
    streams: BTreeMap<AttemptId, ServerName>,
    /// Number of starts that are charged to the retry budget.
    retries: u32,
    log: Vec<DispatchEffect>,
}

impl CheckedRun {
    fn new(policy: PlacementPolicy) -> Self {
        let settings = DispatchSettings {
            policy,
            retry_burst: RETRY_BURST,
            retry_ratio: RETRY_RATIO,
            ..DispatchSettings::default()
        };
        let ranks = [CallerRank::Urgent, CallerRank::Normal, CallerRank::Normal];
        let callers: Vec<_> = CALLERS
            .iter()
            .zip(ranks)
            .map(|(name, rank)| (*name, caller(rank, 0.2, FIRST_TOKEN.as_millis() as u64)))
            .collect();
        Self {
            harness: DispatchHarness::new(settings, &callers).with_servers(4, 4),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            streams: BTreeMap::new(),
            retries: 0,
            log: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive {
                caller,
                prompt_tokens,
                shares_prefix,
            } => {
                self.arrive(caller, prompt_tokens, shares_prefix);
            }
            Step::Cancel(index) => self.cancel(index),
            Step::PrefillDone(index) => {
                let done = |attempt| DispatchEvent::PrefillDone {
                    attempt,
                    cached_tokens: 0,
                };
                self.with_attempt(index, done);
            }
            Step::FirstToken(index) => self.with_attempt(index, DispatchEvent::FirstToken),
            Step::End(index, end) => self.end(index, end),
            Step::Advance(delay_ms) => self.harness.advance_ms(delay_ms),
            Step::Fleet(step) => self.harness.send(step.event()),
        }
        self.check_effects();
        self.check_deadlines();
        self.check_budget();
    }

    fn arrive(&mut self, caller: usize, prompt_tokens: u32, shares_prefix: bool) {
        let number = self.requests.len() as u64 + 1;
        let mut demand = demand(number, CALLERS[caller], prompt_tokens);
        if shares_prefix {
            let hashes = 0..demand.prefix_hashes.len() as u64;
            demand.prefix_hashes = hashes.map(PrefixHash).collect();
        }
        let due = Some(self.harness.now + FIRST_TOKEN);
        let trace = RequestTrace {
            due,
            ..RequestTrace::default()
        };
        self.requests.insert(demand.request, trace);
        self.harness.send(DispatchEvent::RequestArrived(demand));
    }

    fn cancel(&mut self, index: prop::sample::Index) {
        if self.requests.is_empty() {
            return;
        }
        let position = index.index(self.requests.len());
        let (request, trace) = self.requests.iter_mut().nth(position).expect("a request");
        trace.ends = 1;
        if let Some(attempt) = trace.running.take() {
            self.streams.remove(&attempt);
        }
        self.harness.send(DispatchEvent::RequestCancelled(*request));
    }

    fn with_attempt(
        &mut self,
        index: prop::sample::Index,
        event: impl FnOnce(AttemptId) -> DispatchEvent,
    ) {
        if !self.attempts.is_empty() {
            let (attempt, _) = self.attempts[index.index(self.attempts.len())];
            self.harness.send(event(attempt));
        }
    }

    fn end(&mut self, index: prop::sample::Index, end: AttemptEnd) {
        if self.attempts.is_empty() {
            return;
        }
        let (attempt, request) = self.attempts[index.index(self.attempts.len())];
        if let Some(trace) = self
            .requests
            .get_mut(&request)
            .filter(|trace| trace.running == Some(attempt))
        {
            trace.running = None;
            self.streams.remove(&attempt);
            let is_over = matches!(end, AttemptEnd::Completed { .. } | AttemptEnd::Cancelled);
            trace.ends += u32::from(is_over);
            trace.was_wasted = matches!(
                end,
                AttemptEnd::Lost { .. }
                    | AttemptEnd::Refused {
                        reason: EngineReason::KvLost,
                        ..
                    }
            );
        }
        self.harness.end_attempt(attempt, end);
    }

    fn check_effects(&mut self) {
        for effect in std::mem::take(&mut self.harness.effects) {
            match &effect {
                DispatchEffect::Start {
                    request,
                    attempt,
                    decode,
                    ..
                } => {
                    let trace = self.requests.get_mut(request).expect("a known request");
                    assert_eq!(trace.ends, 0, "{request} was started after its end");
                    assert_eq!(
                        trace.running.replace(*attempt),
                        None,
                        "{request} has two running attempts"
                    );
                    trace.starts += 1;
                    self.retries += u32::from(std::mem::take(&mut trace.was_wasted));
                    self.attempts.push((*attempt, *request));
                    self.streams.insert(*attempt, decode.clone());
                    let stream_count = self
                        .streams
                        .values()
                        .filter(|server| *server == decode)
                        .count();
                    assert!(
                        stream_count <= MAX_STREAMS as usize,
                        "{stream_count} streams on {decode}"
                    );
                }
                DispatchEffect::Refuse { request, .. } => {
                    let trace = self.requests.get_mut(request).expect("a known request");
                    trace.ends += 1;
                    if let Some(attempt) = trace.running.take() {
                        self.streams.remove(&attempt);
                    }
                }
            }
            self.log.push(effect);
        }
        for (request, trace) in &self.requests {
            assert!(trace.ends <= 1, "{request} ended {} times", trace.ends);
        }
    }

    /// A request that was never started must end by its deadline.
    fn check_deadlines(&self) {
        for (request, trace) in &self.requests {
            let is_waiting = trace.ends == 0 && trace.starts == 0;
            let is_late = trace.due.is_some_and(|due| due <= self.harness.now);
            assert!(
                !(is_waiting && is_late),
                "{request} still waits after its deadline"
            );
        }
    }

    /// The number of retries after work was done must stay within the budget.
    fn check_budget(&self) {
        let first_attempts = self
            .requests
            .values()
            .filter(|trace| trace.starts > 0)
            .count();
        let allowed = f64::from(RETRY_BURST) + first_attempts as f64 * RETRY_RATIO;
        assert!(
            f64::from(self.retries) <= allowed,
            "{} retries, {allowed} allowed",
            self.retries
        );
    }

    /// Advances the time until the state is idle, then checks that every request has ended.
    fn run_to_idle(mut self) -> Vec<DispatchEffect> {
        let mut rounds = 0;
        while !self.harness.state.is_idle() {
            rounds += 1;
            assert!(rounds < 10_000, "the state does not become idle");
            let wakeup = self
                .harness
                .state
                .next_wakeup()
                .expect("a wake-up while work is left");
            self.harness.now = self.harness.now.max(wakeup);
            self.step(Step::Advance(1));
        }
        for (request, trace) in &self.requests {
            assert_eq!(trace.ends, 1, "{request} never ended");
        }
        self.log
    }
}

fn run(policy: PlacementPolicy, steps: &[Step]) -> Vec<DispatchEffect> {
    let mut run = CheckedRun::new(policy);
    for step in steps {
        run.step(*step);
    }
    run.run_to_idle()
}

#[test_case(PlacementPolicy::Cost; "cost")]
#[test_case(PlacementPolicy::LeastLoad; "least load")]
#[test_case(PlacementPolicy::RoundRobin; "round robin")]
#[test_case(PlacementPolicy::TwoChoices; "two choices")]
fn every_request_ends_once_and_in_time(policy: PlacementPolicy) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec(any_step(), 1..200);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&steps, |steps| {
        let log = run(policy, &steps);
        prop_assert_eq!(log, run(policy, &steps));
        Ok(())
    });
    outcome.expect("property holds in every case");
}
