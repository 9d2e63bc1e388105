//! The proof that the configuration is current, through delays, outages, restores and suspensions.

use std::net::SocketAddr;
use std::time::Duration;

use gs_control::forwarding::{
    AnswerUse, BootTime, CurrencyAnswer, CurrencyChange, CurrencySettings, CurrencyTracker,
    ProofSource, is_proof_reader,
};
use gs_protocol::ids::EntryName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const SETTINGS: CurrencySettings = CurrencySettings {
    revoke_after: Duration::from_secs(5),
};

/// Age from which keyed requests are refused.
const REFUSE_AGE_MS: u64 = 4_750;

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_660))
}

/// A tracker with this version in force.
fn tracker(version: u64) -> CurrencyTracker {
    let mut tracker = CurrencyTracker::new(SETTINGS, 0.0);
    tracker.record_version(version);
    tracker
}

/// Asks at `sent` and applies an answer at `now`.
fn ask(
    tracker: &mut CurrencyTracker,
    [sent, now]: [u64; 2],
    version: u64,
    age_ms: Option<u64>,
) -> AnswerUse {
    tracker.begin_ask(at(sent), sent);
    let answer = CurrencyAnswer {
        nonce: sent,
        version,
        age_us: age_ms.map(|age| age * 1_000),
    };
    tracker.record_answer(at(now), peer(), answer)
}

/// Guards against a watch that waits long and whose answer is taken for a proof of the moment at which it came.
#[test]
fn a_proof_is_dated_by_the_start_of_its_read() {
    let mut tracker = tracker(1);
    assert!(!tracker.is_current(at(10_000)));
    assert!(tracker.record_read(at(12_000), at(10_000)));
    assert!(tracker.is_current(at(10_000 + REFUSE_AGE_MS - 1)));
    assert!(!tracker.is_current(at(10_000 + REFUSE_AGE_MS)));
}

/// A suspended process sees the time of its suspension as age.
#[test]
fn service_closes_and_opens_with_the_age_and_the_source_of_the_proof() {
    let mut tracker = tracker(1);
    assert_eq!(tracker.observe(at(1_000)), None);
    tracker.record_read(at(1_000), at(900));
    let opened = tracker.observe(at(1_000));
    assert!(
        matches!(opened, Some(CurrencyChange::Opened(proof)) if proof.source == ProofSource::Store)
    );
    assert_eq!(tracker.observe(at(2_000)), None);
    let closed = tracker.observe(at(90_000));
    assert!(matches!(closed, Some(CurrencyChange::Closed(Some(proof))) if proof.moment == at(900)));
    ask(&mut tracker, [90_100, 90_110], 1, Some(300));
    let opened = tracker.observe(at(90_110));
    assert!(
        matches!(opened, Some(CurrencyChange::Opened(proof)) if proof.source == ProofSource::Peer)
    );
    assert_eq!(tracker.age(at(90_110)), Some(Duration::from_millis(310)));
}

/// Guards against the copy of a peer, or a relaxed read, that opens keyed service.
#[test]
fn a_configuration_alone_proves_nothing() {
    let mut tracker = tracker(1);
    tracker.record_version(2);
    assert!(!tracker.is_current(at(0)));
    assert_eq!(
        tracker.answer(at(0), 7).and_then(|answer| answer.age_us),
        None
    );
}

#[test_case(4, AnswerUse::Proof; "older at the peer")]
#[test_case(5, AnswerUse::Proof; "equal")]
#[test_case(6, AnswerUse::NewerVersion; "newer at the peer")]
fn a_statement_counts_only_for_a_version_that_is_in_force(version: u64, expected: AnswerUse) {
    let mut tracker = tracker(5);
    assert_eq!(
        ask(&mut tracker, [9_000, 9_010], version, Some(100)),
        expected
    );
    assert_eq!(tracker.is_current(at(9_010)), expected == AnswerUse::Proof);
}

/// The store turns the entry away: it takes the configuration and then the proof from the peer.
#[test]
fn a_newer_configuration_of_a_peer_brings_its_proof() {
    let mut tracker = tracker(5);
    ask(&mut tracker, [9_000, 9_010], 6, Some(100));
    let without_proof = tracker.fetch_source(at(9_010));
    assert_eq!(without_proof, Some(peer()), "nothing to wait for");
    let mut tracker = self::tracker(5);
    tracker.record_read(at(8_950), at(8_900));
    ask(&mut tracker, [9_000, 9_010], 6, Some(100));
    assert_eq!(
        tracker.fetch_source(at(9_020)),
        None,
        "the store may give it"
    );
    ask(&mut tracker, [9_200, 9_210], 6, Some(200));
    assert_eq!(tracker.fetch_source(at(9_400)), Some(peer()));
    assert!(
        !tracker.record_read(at(9_400), at(9_300)),
        "a newer version is known"
    );
    tracker.record_version(6);
    assert_eq!(tracker.age(at(9_400)), Some(Duration::from_millis(400)));
    assert_eq!(tracker.fetch_source(at(9_400)), None);
}

/// A datagram that is late, comes twice, or answers nothing makes no proof look younger.
#[test]
fn answers_are_dated_by_their_question_and_taken_once() {
    let mut tracker = tracker(1);
    assert_eq!(
        ask(&mut tracker, [10_000, 13_000], 1, Some(500)),
        AnswerUse::Proof
    );
    assert_eq!(tracker.age(at(13_000)), Some(Duration::from_millis(3_500)));
    let repeated = CurrencyAnswer {
        nonce: 10_000,
        version: 1,
        age_us: Some(0),
    };
    assert_eq!(
        tracker.record_answer(at(13_000), peer(), repeated),
        AnswerUse::None
    );
    ask(&mut tracker, [13_100, 13_110], 1, Some(200));
    ask(&mut tracker, [11_000, 13_200], 1, Some(0));
    assert_eq!(tracker.age(at(13_200)), Some(Duration::from_millis(300)));
}

/// Guards against an age beyond the boot of this machine that is cut to a shorter one.
#[test]
fn a_proof_from_before_the_boot_is_not_taken() {
    let mut tracker = tracker(1);
    assert_eq!(
        ask(&mut tracker, [1_000, 1_010], 1, Some(4_000)),
        AnswerUse::None
    );
    assert!(!tracker.is_current(at(1_010)));
}

/// The age is that of the first proof, however many entries pass it on.
#[test]
fn a_statement_is_passed_on_with_its_age() {
    let mut first = tracker(1);
    first.record_read(at(1_000), at(500));
    let answer = first.answer(at(2_000), 7).expect("an answer");
    let mut second = tracker(1);
    second.begin_ask(at(50_000), 7);
    second.record_answer(at(50_400), peer(), answer);
    let passed_on = second.answer(at(51_000), 8).expect("an answer");
    assert_eq!(passed_on.age_us, Some(2_500_000));
}

/// The store came back from a copy. A version that peers have and this entry lacks must be read first, unless no
/// peer has it any more.
#[test]
fn reads_of_a_restored_store_do_not_hide_a_version_that_peers_have() {
    let mut tracker = tracker(5);
    tracker.record_reported(at(9_000), 6);
    assert!(!tracker.record_read(at(9_500), at(9_400)));
    tracker.record_reported(at(13_000), 6);
    assert!(!tracker.record_read(at(17_000), at(16_900)));
    assert!(tracker.record_read(at(18_000), at(17_900)));
    let mut newer = self::tracker(7);
    newer.record_reported(at(9_000), 6);
    assert!(
        newer.record_read(at(9_500), at(9_400)),
        "the store lost a version in force here"
    );
}

/// Guards against a removed key that works on since the version without it could not be read.
#[test]
fn an_unreadable_configuration_must_be_read_again() {
    let mut tracker = tracker(5);
    tracker.record_unreadable();
    assert!(tracker.needs_list());
    assert!(!tracker.record_read(at(9_500), at(9_400)));
    tracker.begin_list();
    assert!(tracker.record_read(at(9_700), at(9_600)));
}

fn names(count: usize) -> Vec<EntryName> {
    (0..count)
        .map(|number| EntryName::from(format!("entry-{number}").as_str()))
        .collect()
}

#[test]
fn two_entries_of_a_data_centre_read_and_the_others_ask_them() {
    let names = names(30);
    let others = |own: &EntryName| -> Vec<EntryName> {
        names.iter().filter(|name| *name != own).cloned().collect()
    };
    let readers: Vec<&EntryName> = names
        .iter()
        .filter(|name| is_proof_reader(name, &others(name)))
        .collect();
    assert_eq!(readers.len(), 2);
    for own in &names {
        let mut tracker = tracker(1);
        tracker.record_read(at(1_000), at(1_000));
        let others = others(own);
        let chosen = tracker.next_source(at(1_500), own, &others, 0.9);
        let chosen = chosen.map(|index| &others[index]);
        assert_eq!(chosen.is_none(), readers.contains(&own));
        assert!(chosen.is_none_or(|chosen| readers.contains(&chosen)));
        // With an old proof, also the readers ask, and every second question may go to any entry.
        tracker.begin_ask(at(4_000), 1);
        assert!(tracker.next_source(at(4_000), own, &others, 0.5).is_some());
    }
    assert!(is_proof_reader(&names[0], &[]));
}

/// Few exact reads: none with a proof from peers, and at most one in a tenth of the revocation time without.
#[test]
fn an_entry_reads_itself_only_without_a_young_proof() {
    let mut tracker = tracker(1);
    let mut reads = 0;
    for ms in (10_000..20_000).step_by(10) {
        if ms < 15_000 && ms % 500 == 0 {
            ask(&mut tracker, [ms, ms + 1], 1, Some(700));
        }
        if tracker.is_read_due(at(ms)) && ms > 10_000 {
            assert!(ms >= 15_000);
            tracker.begin_read(at(ms), 0.5);
            reads += 1;
        }
    }
    assert!((2..=10).contains(&reads), "{reads}");
}

/// Every second of usual age is a second less of service in an outage of the store.
#[test]
fn the_usual_age_of_the_proof_is_low() {
    let (mut reader, mut other) = (tracker(1), tracker(1));
    let interval = SETTINGS.read_interval().as_millis() as u64;
    let took = SETTINGS.watch_wait().as_millis() as u64 + 10;
    let (mut ask_at, mut oldest) = (10_000, 0);
    for ms in 10_000..60_000_u64 {
        if ms % interval == took {
            reader.record_read(at(ms), at(ms - took));
        }
        if ms == ask_at {
            other.begin_ask(at(ms), ms);
            if let Some(answer) = reader.answer(at(ms), ms) {
                other.record_answer(at(ms + 2), peer(), answer);
            }
            ask_at += other.ask_interval(at(ms)).as_millis() as u64 + 1;
        }
        if ms > 12_000 {
            let age = other.age(at(ms)).expect("a proof").as_millis();
            oldest = oldest.max(age);
        }
    }
    assert!(oldest <= 1_500, "{oldest}");
}

/// Entries of a data centre, a store that is cut off from some of them at random, and an operator who writes new
/// versions. Datagrams are late, lost and repeated; clocks differ; processes are suspended.
struct Fleet {
    trackers: Vec<CurrencyTracker>,
    /// Difference of each entry's clock from the time of the simulation, in milliseconds.
    offsets: Vec<u64>,
    /// Time until which each entry is suspended, and until which the store turns it away.
    suspended: Vec<u64>,
    cut_off: Vec<u64>,
    /// When each version was acknowledged; the first is version 1.
    written: Vec<u64>,
    /// Messages on their way: arrival, receiver, sender, question or answer.
    messages: Vec<(u64, usize, usize, Result<u64, CurrencyAnswer>)>,
    rng: StdRng,
}

impl Fleet {
    fn new(seed: u64, count: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let offsets = (0..count).map(|_| rng.gen_range(0..1_000_000)).collect();
        Self {
            trackers: vec![CurrencyTracker::new(SETTINGS, 0.5); count],
            offsets,
            suspended: vec![0; count],
            cut_off: vec![0; count],
            written: vec![0],
            messages: Vec::new(),
            rng,
        }
    }

    fn version(&self) -> u64 {
        self.written.len() as u64
    }

    fn clock(&self, entry: usize, ms: u64) -> BootTime {
        at(ms + self.offsets[entry])
    }

    fn send(&mut self, ms: u64, to: usize, from: usize, message: Result<u64, CurrencyAnswer>) {
        for _ in 0..self.rng.gen_range(0..3) {
            let delay = match self.rng.gen_bool(0.1) {
                true => self.rng.gen_range(0..8_000),
                false => self.rng.gen_range(0..40),
            };
            self.messages.push((ms + delay, to, from, message));
        }
    }

    fn step(&mut self, ms: u64) {
        let count = self.trackers.len();
        let names = names(count);
        if self.rng.gen_bool(0.004) {
            self.written.push(ms);
        }
        let entry = self.rng.gen_range(0..count);
        let faults = count as f64 / 5_000.0;
        if self.rng.gen_bool(faults) {
            self.suspended[entry] = ms + self.rng.gen_range(0..15_000);
        }
        if self.rng.gen_bool(faults * 3.0) {
            self.cut_off[entry] = ms + self.rng.gen_range(0..40_000);
        }
        let due: Vec<_> = self
            .messages
            .extract_if(.., |message| message.0 <= ms)
            .collect();
        for message in due {
            let (_, to, from, content) = message;
            if self.suspended[to] > ms {
                self.messages.push((self.suspended[to], to, from, content));
                continue;
            }
            let now = self.clock(to, ms);
            match content {
                Ok(nonce) => {
                    if let Some(answer) = self.trackers[to].answer(now, nonce) {
                        self.send(ms, from, to, Err(answer));
                    }
                }
                Err(answer) => {
                    let used = self.trackers[to].record_answer(now, peer(), answer);
                    if used == AnswerUse::NewerVersion && self.rng.gen_bool(0.7) {
                        self.trackers[to].record_version(answer.version);
                    }
                }
            }
        }
        for own in 0..count {
            if self.suspended[own] > ms || !self.rng.gen_bool(0.1) {
                continue;
            }
            let now = self.clock(own, ms);
            let others: Vec<EntryName> = names
                .iter()
                .filter(|name| **name != names[own])
                .cloned()
                .collect();
            let is_reader = is_proof_reader(&names[own], &others);
            if self.cut_off[own] <= ms && (is_reader || self.trackers[own].is_read_due(now)) {
                // A read that began earlier and whose answer holds what the store had then.
                let took = self.rng.gen_range(0..300).min(ms);
                let read = self.written.iter().filter(|written| **written <= ms - took);
                let version = read.count() as u64;
                self.trackers[own].record_version(version);
                let started = self.clock(own, ms - took);
                self.trackers[own].record_read(now, started);
            }
            let random = self.rng.gen_range(0.0..1.0);
            if let Some(index) = self.trackers[own].next_source(now, &names[own], &others, random) {
                let nonce = self.rng.r#gen();
                self.trackers[own].begin_ask(now, nonce);
                let to = names.iter().position(|name| *name == others[index]);
                self.send(ms, to.expect("an entry"), own, Ok(nonce));
            }
        }
    }

    /// Returns the version in force at an entry.
    fn in_force(&self, entry: usize, ms: u64) -> u64 {
        let answer = self.trackers[entry].answer(self.clock(entry, ms), 0);
        answer.map_or(0, |answer| answer.version)
    }
}

/// The requirement itself: an entry that serves keyed requests misses no version that was acknowledged a
/// revocation time before.
#[test_case(1, 2; "two entries")]
#[test_case(2, 5; "five entries")]
#[test_case(3, 20; "twenty entries")]
fn no_entry_serves_by_a_configuration_that_was_replaced_long_ago(seed: u64, count: usize) {
    let mut fleet = Fleet::new(seed, count);
    let (mut served, mut all) = (0_u32, 0_u32);
    for ms in (0..600_000).step_by(50) {
        fleet.step(ms);
        let due = ms.saturating_sub(SETTINGS.revoke_after.as_millis() as u64);
        let required = fleet
            .written
            .iter()
            .filter(|written| **written <= due)
            .count() as u64;
        for entry in 0..count {
            // A suspended entry that goes on is judged by its clock at that time.
            all += 1;
            if fleet.suspended[entry] <= ms
                && fleet.trackers[entry].is_current(fleet.clock(entry, ms))
            {
                served += 1;
                assert!(fleet.in_force(entry, ms) >= required.min(fleet.version()));
            }
        }
    }
    let share = f64::from(served) / f64::from(all);
    assert!(share > 0.6, "the entries refuse too often: {share}");
}
