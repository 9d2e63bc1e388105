//! Entries of an earlier build, which identify a request by its payload alone, beside entries of this one.

use std::time::{Duration, Instant};

use gs_control::quarantine::{
    CallerIdentity, ContentDecision, ContentQuarantine, ContentSettings, RequestContents,
    RequestIdentity,
};
use gs_protocol::ids::EntryName;
use gs_protocol::suspicion::{ContentHash, ServerBoot};
use test_case::test_case;

const PATH: &str = "/puxa403/2f";

/// Time between two requests that reach servers.
const BETWEEN_RUNS: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Build {
    Earlier,
    Current,
}

/// Returns the content of a read of [`PATH`], as an entry of a build identifies it.
fn read_by(build: Build, workspace: &str) -> RequestContents {
    let identity = RequestIdentity {
        method: "GET",
        path: PATH,
        body: b"",
        host: "desk.example",
        caller: CallerIdentity::Workspace(workspace),
    };
    let contents = RequestContents::new(&identity, Vec::new());
    match build {
        Build::Current => contents,
        Build::Earlier => RequestContents {
            request: contents.payload,
            ..contents
        },
    }
}

/// A fleet whose reports arrive at once.
struct MixedFleet {
    now: Instant,
    entries: Vec<(Build, ContentQuarantine)>,
    servers: u64,
}

impl MixedFleet {
    fn new(builds: &[Build]) -> Self {
        let entries = builds.iter().enumerate().map(|(number, build)| {
            let name = EntryName::from(format!("e{number}").as_str());
            let quarantine = ContentQuarantine::new(ContentSettings::default(), name);
            (*build, quarantine)
        });
        Self {
            now: Instant::now(),
            entries: entries.collect(),
            servers: 0,
        }
    }

    fn is_refused(&self, entry: usize, workspace: &str) -> bool {
        let (build, quarantine) = &self.entries[entry];
        let contents = read_by(*build, workspace);
        quarantine.decide(self.now, &contents, Vec::new) != ContentDecision::Allowed
    }

    /// Answers a request at an entry.
    fn answer(&mut self, entry: usize, workspace: &str) {
        let boot = self.next_boot();
        let (build, quarantine) = &mut self.entries[entry];
        let key = quarantine.start_run(&read_by(*build, workspace), boot);
        quarantine.complete_run(self.now, key);
        self.report(entry);
    }

    /// Sends a request at an entry, which crashes its server.
    fn crash(&mut self, entry: usize, workspace: &str) {
        self.crash_beside(entry, &[workspace]);
    }

    /// Sends requests of some workspaces to one server, which crashes.
    fn crash_beside(&mut self, entry: usize, workspaces: &[&str]) {
        let boot = self.next_boot();
        let (build, quarantine) = &mut self.entries[entry];
        let keys = workspaces
            .iter()
            .map(|workspace| quarantine.start_run(&read_by(*build, workspace), boot.clone()));
        for key in keys.collect::<Vec<_>>() {
            quarantine.lose_run(self.now, key);
        }
        quarantine.record_crash(self.now, &boot);
        self.report(entry);
    }

    fn next_boot(&mut self) -> ServerBoot {
        self.servers += 1;
        self.now += BETWEEN_RUNS;
        ServerBoot {
            server: format!("s{}", self.servers).as_str().into(),
            boot: 1,
        }
    }

    fn report(&mut self, from: usize) {
        let digest = self.entries[from].1.digest(self.now);
        for (_, quarantine) in &mut self.entries {
            quarantine.apply_digest(self.now, digest.clone());
        }
    }
}

// Guards against hashes of the payload that an earlier build does not recognize.
#[test]
fn the_payload_is_hashed_as_by_earlier_builds() {
    let contents = read_by(Build::Current, "acme");
    // From the log of an entry of ea10ec2.
    assert_eq!(contents.payload, ContentHash(0x4a0f_d2a3_c39d_afee));
}

// Guards against a harmful request that crashes servers anew at each build while entries are replaced.
#[test_case(false, &[Build::Earlier, Build::Current]; "never answered, earlier build first")]
#[test_case(false, &[Build::Current, Build::Earlier]; "never answered, this build first")]
#[test_case(true, &[Build::Earlier, Build::Current]; "answered before, earlier build first")]
#[test_case(true, &[Build::Current, Build::Earlier]; "answered before, this build first")]
#[test_case(true, &[Build::Earlier, Build::Earlier, Build::Current]; "answered before, two earlier")]
#[test_case(true, &[Build::Current, Build::Current, Build::Earlier]; "answered before, two of this build")]
fn a_harmful_request_crashes_few_servers_of_a_mixed_fleet(was_answered: bool, builds: &[Build]) {
    let mut fleet = MixedFleet::new(builds);
    for entry in 0..builds.len() {
        if was_answered {
            fleet.answer(entry, "acme");
        }
    }
    let mut crashes = 0;
    for number in 0..40 {
        let entry = number % builds.len();
        if !fleet.is_refused(entry, "acme") {
            fleet.crash(entry, "acme");
            crashes += 1;
        }
    }
    // Three crashes, and three more requests that reach servers.
    assert!(crashes <= 6, "{crashes} crashes");
}

// Guards against sound requests that are refused because an earlier build blames what they share with a harmful one.
#[test]
fn a_sound_request_is_not_refused_for_the_payload_that_an_earlier_build_suspects() {
    let mut fleet = MixedFleet::new(&[Build::Earlier, Build::Current]);
    for _ in 0..4 {
        fleet.crash(0, "acme");
    }
    assert!(fleet.is_refused(0, "birch"), "at the earlier build");
    assert!(!fleet.is_refused(1, "birch"), "at this build");
    fleet.crash(1, "acme");
    assert!(fleet.is_refused(1, "acme"));
    assert!(!fleet.is_refused(1, "birch"), "after a crash here");
}

// Guards against a sound request that is refused for what it shares because it was lost beside a harmful one.
#[test]
fn a_sound_request_that_was_lost_once_is_not_refused_for_a_shared_payload() {
    let mut fleet = MixedFleet::new(&[Build::Current, Build::Current]);
    for workspace in ["acme", "birch"] {
        fleet.answer(0, workspace);
    }
    fleet.crash_beside(0, &["acme", "birch"]);
    for _ in 0..3 {
        fleet.crash(0, "acme");
    }
    for entry in 0..2 {
        assert!(fleet.is_refused(entry, "acme"), "at entry {entry}");
        assert!(!fleet.is_refused(entry, "birch"), "at entry {entry}");
    }
}

// Guards against earlier builds that send a harmful request on and on because other callers share its payload.
#[test_case(&[Build::Current, Build::Earlier]; "one of each build")]
#[test_case(&[Build::Current, Build::Earlier, Build::Earlier, Build::Earlier]; "one of this build")]
#[test_case(&[Build::Current, Build::Current, Build::Current, Build::Earlier]; "one of the earlier build")]
fn entries_of_an_earlier_build_refuse_what_this_build_refuses(builds: &[Build]) {
    let mut fleet = MixedFleet::new(builds);
    for entry in 0..builds.len() {
        fleet.answer(entry, "birch");
    }
    let mut crashes = 0;
    for number in 0..40 {
        let entry = number % builds.len();
        if !fleet.is_refused(entry, "acme") {
            fleet.crash(entry, "acme");
            crashes += u32::from(number >= builds.len());
        }
        for (entry, build) in builds.iter().enumerate() {
            match fleet.is_refused(entry, "birch") {
                true => assert_eq!(*build, Build::Earlier, "request {number}"),
                false => fleet.answer(entry, "birch"),
            }
        }
    }
    // Those of the first round come before this build refuses the request.
    assert!(crashes <= 6, "{crashes} crashes");
}

// Guards against an earlier build that goes on refusing a payload which this build has seen answered.
#[test]
fn an_answer_at_this_build_clears_the_payload_at_earlier_builds() {
    let mut fleet = MixedFleet::new(&[Build::Earlier, Build::Current]);
    for _ in 0..2 {
        fleet.crash(0, "acme");
    }
    assert!(fleet.is_refused(0, "birch"));
    fleet.answer(1, "birch");
    assert!(!fleet.is_refused(0, "birch"));
}
