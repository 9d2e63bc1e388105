//! Content that crashes servers: what is suspected, refused and cleared, by single events.

use std::time::{Duration, Instant};

use gs_control::forwarding::{CostUnit, KeyDigest, RequestCaller, WorkspaceSpec};
use gs_control::quarantine::{
    CallerIdentity, ContentDecision, ContentQuarantine, ContentSettings, RequestContents,
    RequestIdentity, RunKey, Suspicion,
};
use gs_protocol::ids::EntryName;
use gs_protocol::suspicion::{ContentHash, ServerBoot};
use test_case::test_case;

const SHARED: ContentHash = ContentHash(1);
const HARMFUL: ContentHash = ContentHash(2);

/// A request that no other request equals.
fn whole(number: u64) -> ContentHash {
    ContentHash(1_000 + number)
}

/// Returns the payload of a request that no other request shares.
fn payload_of(request: ContentHash) -> ContentHash {
    ContentHash(request.0 << 32)
}

/// Returns the content of a request: the shared parts of its prompt, and last the request itself.
fn request_contents(contents: &[ContentHash]) -> RequestContents {
    let (request, shared_parts) = contents.split_last().expect("a request");
    RequestContents {
        shared_parts: shared_parts.to_vec(),
        payload: payload_of(*request),
        request: *request,
    }
}

fn boot(number: u64) -> ServerBoot {
    ServerBoot {
        server: format!("s{number}").as_str().into(),
        boot: 7,
    }
}

/// One entry at a point in time.
struct Entry {
    quarantine: ContentQuarantine,
    name: EntryName,
    now: Instant,
}

impl Entry {
    fn new(name: &str, now: Instant) -> Self {
        let name = EntryName::from(name);
        Self {
            quarantine: ContentQuarantine::new(ContentSettings::default(), name.clone()),
            name,
            now,
        }
    }

    fn start(&mut self, contents: &[ContentHash], server: u64) -> RunKey {
        let contents = request_contents(contents);
        self.quarantine.start_run(&contents, boot(server))
    }

    fn crash(&mut self, key: RunKey, server: u64) {
        self.quarantine.lose_run(self.now, key);
        self.quarantine.record_crash(self.now, &boot(server));
    }

    /// Sends a request that crashes its server.
    fn send_and_crash(&mut self, contents: &[ContentHash], server: u64) {
        let key = self.start(contents, server);
        self.crash(key, server);
    }

    fn is_refused(&self, contents: &[ContentHash], peers: &[&Self]) -> bool {
        let names = || peers.iter().map(|peer| peer.name.clone()).collect();
        let contents = request_contents(contents);
        self.quarantine.decide(self.now, &contents, names) != ContentDecision::Allowed
    }

    fn report_to(&self, peer: &mut Self) {
        let digest = self.quarantine.digest(self.now);
        peer.quarantine.apply_digest(peer.now, digest);
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.quarantine.expire_old(self.now);
    }
}

#[test]
fn content_of_two_crashes_in_a_row_is_refused() {
    let mut entry = Entry::new("a", Instant::now());
    entry.send_and_crash(&[SHARED, HARMFUL, whole(1)], 1);
    assert!(!entry.is_refused(&[SHARED, HARMFUL, whole(2)], &[]));
    entry.send_and_crash(&[SHARED, HARMFUL, whole(2)], 2);
    assert!(entry.is_refused(&[SHARED, HARMFUL, whole(3)], &[]));
}

#[test]
fn sound_requests_that_share_other_parts_are_not_refused() {
    let mut entry = Entry::new("a", Instant::now());
    for number in 0..4 {
        entry.send_and_crash(&[SHARED, HARMFUL, whole(number)], number);
    }
    assert!(!entry.is_refused(&[SHARED, ContentHash(9), whole(9)], &[]));
}

#[test]
fn a_shared_part_that_crashes_servers_in_any_company_is_refused() {
    let mut entry = Entry::new("a", Instant::now());
    for number in 0..3 {
        let company = ContentHash(10 + number % 2);
        entry.send_and_crash(&[SHARED, company, whole(number)], number);
    }
    assert!(entry.is_refused(&[SHARED, ContentHash(20), whole(9)], &[]));
}

#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut entry = Entry::new("a", Instant::now());
    let keys = [1, 2, 3].map(|server| entry.start(&[SHARED, HARMFUL, whole(server)], server));
    for (key, server) in keys.into_iter().zip(1..) {
        entry.crash(key, server);
    }
    assert!(!entry.is_refused(&[SHARED, HARMFUL, whole(4)], &[]));
}

#[test]
fn a_lost_connection_to_a_server_that_lives_is_no_crash() {
    let mut entry = Entry::new("a", Instant::now());
    for number in 0..4 {
        let key = entry.start(&[HARMFUL, whole(number)], number);
        entry.quarantine.lose_run(entry.now, key);
    }
    assert!(!entry.is_refused(&[HARMFUL, whole(9)], &[]));
}

#[test]
fn a_crash_that_is_proven_later_counts() {
    let mut entry = Entry::new("a", Instant::now());
    for number in 0..2 {
        let key = entry.start(&[HARMFUL, whole(number)], number);
        entry.quarantine.lose_run(entry.now, key);
        entry.wait(Duration::from_secs(4));
        entry.quarantine.record_crash(entry.now, &boot(number));
    }
    assert!(entry.is_refused(&[HARMFUL, whole(9)], &[]));
}

#[test]
fn a_request_that_is_being_answered_is_not_blamed_for_a_crash() {
    let mut entry = Entry::new("a", Instant::now());
    for number in 0..3 {
        let key = entry.start(&[SHARED, whole(number)], number);
        entry.quarantine.record_output(entry.now, key);
        entry.wait(Duration::from_millis(250));
        entry.quarantine.record_output(entry.now, key);
        entry.crash(key, number);
    }
    assert!(!entry.is_refused(&[SHARED, whole(9)], &[]));
}

#[test_case(true; "an answer")]
#[test_case(false; "two hundred milliseconds of streaming")]
fn content_is_cleared_by(is_complete: bool) {
    let mut entry = Entry::new("a", Instant::now());
    let sound = entry.start(&[HARMFUL, whole(0)], 9);
    for number in 1..3 {
        entry.send_and_crash(&[HARMFUL, whole(number)], number);
    }
    assert!(entry.is_refused(&[HARMFUL, whole(9)], &[]));
    if is_complete {
        entry.quarantine.complete_run(entry.now, sound);
    } else {
        entry.quarantine.record_output(entry.now, sound);
        entry.wait(Duration::from_millis(200));
        entry.quarantine.record_output(entry.now, sound);
    }
    assert!(!entry.is_refused(&[HARMFUL, whole(9)], &[]));
}

#[test]
fn entries_learn_of_crashes_and_answers_from_reports_in_any_order() {
    let now = Instant::now();
    let (mut first, mut second, mut third) = (
        Entry::new("a", now),
        Entry::new("b", now),
        Entry::new("c", now),
    );
    first.send_and_crash(&[HARMFUL, whole(1)], 1);
    first.report_to(&mut second);
    second.send_and_crash(&[HARMFUL, whole(2)], 2);
    let old = second.quarantine.digest(now);
    second.report_to(&mut third);
    assert!(third.is_refused(&[HARMFUL, whole(3)], &[]));
    let sound = second.start(&[HARMFUL, whole(4)], 4);
    second.quarantine.complete_run(now, sound);
    second.report_to(&mut third);
    third.quarantine.apply_digest(now, old);
    assert!(!third.is_refused(&[HARMFUL, whole(3)], &[]));
}

#[test]
fn an_entry_that_starts_later_learns_what_is_refused() {
    let now = Instant::now();
    let mut first = Entry::new("a", now);
    for number in 0..2 {
        first.send_and_crash(&[HARMFUL, whole(number)], number);
    }
    first.wait(Duration::from_secs(20));
    let mut second = Entry::new("b", first.now);
    first.report_to(&mut second);
    assert!(second.is_refused(&[HARMFUL, whole(9)], &[&first]));
    let mut third = Entry::new("c", second.now);
    second.report_to(&mut third);
    assert!(third.is_refused(&[HARMFUL, whole(9)], &[&second]));
}

#[test]
fn a_peer_that_missed_an_answer_is_told_again() {
    let now = Instant::now();
    let (mut first, mut second) = (Entry::new("a", now), Entry::new("b", now));
    for number in 0..2 {
        first.send_and_crash(&[HARMFUL, whole(number)], number);
    }
    first.report_to(&mut second);
    let sound = first.start(&[HARMFUL, whole(2)], 2);
    first.quarantine.complete_run(now, sound);
    let pause = Duration::from_secs(5);
    first.wait(pause);
    second.wait(pause);
    assert!(first.quarantine.digest(first.now).is_empty());
    second.report_to(&mut first);
    first.report_to(&mut second);
    assert!(!second.is_refused(&[HARMFUL, whole(9)], &[&first]));
}

#[test]
fn after_its_refusal_one_entry_tries_one_request() {
    let now = Instant::now();
    let mut entries = ["a", "b", "c"].map(|name| Entry::new(name, now));
    for number in 0..2 {
        entries[0].send_and_crash(&[HARMFUL, whole(number)], number);
    }
    let digest = entries[0].quarantine.digest(now);
    for entry in &mut entries[1..] {
        entry.quarantine.apply_digest(now, digest.clone());
    }
    for entry in &mut entries {
        entry.wait(Duration::from_secs(31));
    }
    let trying = |entries: &[Entry]| -> Vec<usize> {
        let indices = 0..entries.len();
        indices
            .filter(|index| {
                let others = entries.iter().enumerate();
                let others = others.filter(|(other, _)| other != index);
                let peers: Vec<&Entry> = others.map(|(_, entry)| entry).collect();
                !entries[*index].is_refused(&[HARMFUL, whole(5)], &peers)
            })
            .collect()
    };
    let [chosen] = trying(&entries)[..] else {
        panic!("{:?} try", trying(&entries));
    };
    let key = entries[chosen].start(&[HARMFUL, whole(5)], 5);
    assert!(trying(&entries).is_empty());
    entries[chosen].crash(key, 5);
    entries[chosen].wait(Duration::from_secs(100));
    assert!(
        trying(&entries[chosen..=chosen]).is_empty(),
        "refused for longer"
    );
}

#[test]
fn suspicions_and_reports_are_bounded() {
    let settings = ContentSettings::default();
    let mut entry = Entry::new("a", Instant::now());
    for number in 0..2 {
        entry.send_and_crash(&[HARMFUL, whole(number)], number);
    }
    for number in 0..2 * settings.max_suspicions as u64 {
        entry.send_and_crash(&[whole(number)], number);
    }
    let digest = entry.quarantine.digest(entry.now);
    assert_eq!(digest.len(), settings.max_reported);
    let refused = Suspicion {
        clearances: 0,
        level: 2,
    };
    assert!(digest.contains(&(HARMFUL, refused)));
    assert!(entry.is_refused(&[HARMFUL, whole(9)], &[]));
}

#[test]
fn content_that_was_answered_before_is_refused_after_more_crashes() {
    let mut entry = Entry::new("a", Instant::now());
    let sound = entry.start(&[HARMFUL, whole(0)], 9);
    entry.quarantine.complete_run(entry.now, sound);
    for number in 1..4 {
        entry.send_and_crash(&[HARMFUL, whole(number)], number);
        assert!(!entry.is_refused(&[HARMFUL, whole(9)], &[]));
    }
    entry.send_and_crash(&[HARMFUL, whole(4)], 4);
    assert!(entry.is_refused(&[HARMFUL, whole(9)], &[]));
}

/// The caller of a request, as the configuration knows it.
#[derive(Clone, Copy)]
enum TestCaller {
    Unscoped,
    Public(&'static str),
    /// A workspace and one of its keys.
    Workspace(&'static str, &'static str),
}

/// Hashes a read of `path` at `host`.
fn read_by(caller: TestCaller, host: &str, path: &str) -> ContentHash {
    let key = |key: &str| Some(KeyDigest::new(key.as_bytes()));
    let (caller, key) = match caller {
        TestCaller::Unscoped => (RequestCaller::Unscoped, None),
        TestCaller::Public(text) => (RequestCaller::Public, key(text)),
        TestCaller::Workspace(name, text) => {
            let workspace = WorkspaceSpec {
                name: name.to_owned(),
                rank: None,
                unit: CostUnit::Requests,
                quota: None,
            };
            (RequestCaller::Workspace(workspace.into()), key(text))
        }
    };
    let identity = RequestIdentity {
        method: "GET",
        path,
        body: b"",
        host,
        caller: CallerIdentity::new(&caller, key.as_ref()),
    };
    RequestContents::new(&identity, Vec::new()).request
}

const ACME: TestCaller = TestCaller::Workspace("acme", "first key");

// Guards against a request that crashes servers and is sent on because a different request was answered.
#[test_case(TestCaller::Workspace("birch", "key"), "desk.example", "/tickets/7"; "of another workspace")]
#[test_case(TestCaller::Public("first key"), "desk.example", "/tickets/7"; "of a public route")]
#[test_case(TestCaller::Unscoped, "desk.example", "/tickets/7"; "without a caller")]
#[test_case(ACME, "shop.example", "/tickets/7"; "to another host")]
#[test_case(ACME, "desk.example", "/tickets/8"; "to another path")]
fn a_harmful_request_is_refused_despite_answers_to_one(caller: TestCaller, host: &str, path: &str) {
    let mut entry = Entry::new("a", Instant::now());
    let harmful = [read_by(ACME, "desk.example", "/tickets/7")];
    let sound = [read_by(caller, host, path)];
    for number in 0..2 {
        let key = entry.start(&sound, 9);
        entry.quarantine.complete_run(entry.now, key);
        entry.send_and_crash(&harmful, number);
        let key = entry.start(&sound, 9);
        entry.quarantine.complete_run(entry.now, key);
    }
    assert!(entry.is_refused(&harmful, &[]));
    assert!(!entry.is_refused(&sound, &[]));
}

// Guards against a request that crashes servers and is not recognized when it comes again.
#[test_case(ACME, "desk.example"; "the same request")]
#[test_case(TestCaller::Workspace("acme", "second key"), "desk.example"; "with another key of its workspace")]
#[test_case(ACME, "Desk.Example:8080"; "with another spelling of the host")]
fn a_request_is_recognized_by(caller: TestCaller, host: &str) {
    let path = "/tickets/7";
    let known = read_by(ACME, "desk.example", path);
    assert_eq!(read_by(caller, host, path), known);
}

#[test_case(TestCaller::Public("first key"), TestCaller::Public("second key"); "two keys on a public route")]
#[test_case(TestCaller::Public("first key"), TestCaller::Unscoped; "a key and none")]
#[test_case(TestCaller::Workspace("acme", "key"), TestCaller::Workspace("acm", "key"); "names with the same beginning")]
fn requests_of_different_callers_differ(caller: TestCaller, other: TestCaller) {
    let read = |caller| read_by(caller, "desk.example", "/tickets/7");
    assert_ne!(read(caller), read(other));
}
