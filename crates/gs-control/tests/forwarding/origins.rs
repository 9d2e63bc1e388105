//! Tests of where streams go on while a service has servers of several versions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    ListedServer, OriginSettings, OriginTracker, ResumeTarget, ServerStage, SoftwareRecord,
    StreamId,
};
use gs_protocol::ids::{ServiceName, SoftwareVersion};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use super::support::{milliseconds, server, start};

fn engine(number: u16, software: &str) -> ListedServer {
    ListedServer {
        software: software.into(),
        ..server(number, Some(ServerStage::Decode))
    }
}

fn service() -> ServiceName {
    "notes".into()
}

fn record(revision: u64, versions: &[&str]) -> SoftwareRecord {
    SoftwareRecord {
        revision,
        versions: versions.iter().map(|version| (*version).into()).collect(),
    }
}

/// Returns a tracker that has read the records of the registry.
fn tracker(now: Instant, records: &[(&str, SoftwareRecord)]) -> OriginTracker {
    let mut tracker = OriginTracker::new(now, OriginSettings::default());
    let records = records
        .iter()
        .map(|(service, record)| ((*service).into(), record.clone()));
    tracker.replace_records(now, records.collect());
    tracker
}

fn target(tracker: &OriginTracker, now: Instant, id: &str) -> ResumeTarget {
    tracker.resume_target(now, &service(), Some(StreamId::of_request(id)))
}

fn at(software: &str) -> ResumeTarget {
    ResumeTarget::Software(software.into())
}

#[test]
fn an_unknown_stream_goes_on_only_if_one_version_may_have_begun_it() {
    let now = start();
    let mut tracker = tracker(now, &[]);
    tracker.observe_servers(now, [engine(1, "v1")].iter());
    assert_eq!(target(&tracker, now, "r1"), at("v1"));
    tracker.observe_servers(now, [engine(1, "v1"), engine(2, "v2")].iter());
    assert_eq!(target(&tracker, now, "r1"), ResumeTarget::Unknown);
}

#[test]
fn a_version_whose_servers_have_left_may_have_begun_a_stream() {
    let now = start();
    let mut tracker = tracker(now, &[]);
    tracker.observe_servers(now, [engine(1, "v1")].iter());
    let later = now + Duration::from_secs(20);
    tracker.observe_servers(later, [engine(2, "v2")].iter());
    assert_eq!(target(&tracker, later, "r1"), ResumeTarget::Unknown);
    let much_later = now + OriginSettings::default().lifetime;
    tracker.observe_servers(much_later, [engine(2, "v2")].iter());
    assert_eq!(target(&tracker, much_later, "r1"), at("v2"));
}

/// All entries have ended and the servers of the old version have left meanwhile.
#[test]
fn an_entry_that_starts_knows_the_versions_on_record() {
    let now = start();
    let mut tracker = tracker(now, &[("notes", record(7, &["v1", "v2"]))]);
    tracker.observe_servers(now, [engine(1, "v2")].iter());
    assert_eq!(target(&tracker, now, "r1"), ResumeTarget::Unknown);
}

#[test]
fn an_entry_that_has_not_read_the_records_knows_no_origin() {
    let now = start();
    let mut tracker = OriginTracker::new(now, OriginSettings::default());
    tracker.observe_servers(now, [engine(1, "v1")].iter());
    assert_eq!(target(&tracker, now, "r1"), ResumeTarget::Unknown);
}

#[test]
fn streams_are_reported_while_versions_differ() {
    let now = start();
    let (mut own, mut peer) = (tracker(now, &[]), tracker(now, &[]));
    let mixed = [engine(1, "v1"), engine(2, "v2")];
    let stream = StreamId::of_request("r1");
    own.observe_servers(now, mixed[..1].iter());
    own.record_started(now, stream, &service(), &"v1".into());
    assert!(own.digest(now).is_empty(), "one version needs no reports");
    own.observe_servers(now, mixed.iter());
    peer.observe_servers(now, mixed.iter());
    peer.apply_digest(now, &own.digest(now));
    assert_eq!(target(&peer, now, "r1"), at("v1"));
    own.record_ended(now, stream);
    assert!(own.digest(now).is_empty());
    assert!(!own.durable_digest(now).is_empty());
    assert_eq!(target(&own, now, "r1"), at("v1"));
}

/// The first version has brought no event.
#[test]
fn peers_hear_that_a_stream_has_begun_anew_at_another_version() {
    let now = start();
    let (mut own, mut peer) = (tracker(now, &[]), tracker(now, &[]));
    let mixed = [engine(1, "v1"), engine(2, "v2")];
    let stream = StreamId::of_request("r1");
    own.observe_servers(now, mixed.iter());
    peer.observe_servers(now, mixed.iter());
    own.record_started(now, stream, &service(), &"v1".into());
    let kept = own.durable_digest(now);
    peer.apply_digest(now, &own.digest(now));
    own.record_started(now, stream, &service(), &"v2".into());
    peer.apply_digest(now, &own.digest(now));
    assert_eq!(target(&peer, now, "r1"), at("v2"));
    peer.apply_kept(now, &kept, false);
    assert_eq!(
        target(&peer, now, "r1"),
        at("v2"),
        "what is kept may be older than a report"
    );
}

#[test]
fn kept_streams_of_an_earlier_start_are_kept_on() {
    let now = start();
    let mixed = [engine(1, "v1"), engine(2, "v2")];
    let mut before = tracker(now, &[]);
    before.observe_servers(now, mixed.iter());
    before.record_started(now, StreamId::of_request("r1"), &service(), &"v1".into());
    let mut restarted = tracker(now, &[("notes", record(7, &["v1", "v2"]))]);
    restarted.observe_servers(now, mixed.iter());
    restarted.apply_kept(now, &before.durable_digest(now), true);
    assert_eq!(target(&restarted, now, "r1"), at("v1"));
    assert_eq!(restarted.durable_digest(now), before.durable_digest(now));
}

#[test_case(true, 1_600, true; "at once by the recording entry")]
#[test_case(false, 1_600, false; "not at once by another")]
#[test_case(false, 2_400, true; "later by any entry")]
#[test_case(true, 1_000, false; "not by an entry that has just started")]
fn a_new_version_is_recorded(is_recorder: bool, after: u64, is_written: bool) {
    let now = start();
    let mut tracker = tracker(now, &[("notes", record(7, &["v1"]))]);
    let seen_at = now + milliseconds(after.min(1_600));
    tracker.observe_servers(seen_at, [engine(1, "v1"), engine(2, "v2")].iter());
    let update = tracker.next_record(now + milliseconds(after), is_recorder);
    let expected = is_written.then(|| record(7, &["v1", "v2"]));
    assert_eq!(update.map(|update| update.record), expected);
    assert!(!tracker.is_recorded(&service(), &"v2".into()));
}

#[test]
fn a_version_out_of_use_is_removed_from_the_record_after_a_lifetime() {
    let now = start();
    let mut tracker = tracker(now, &[("notes", record(7, &["v1", "v2"]))]);
    let lifetime = OriginSettings::default().lifetime;
    for elapsed in [lifetime - milliseconds(1), lifetime] {
        tracker.observe_servers(now + elapsed, [engine(2, "v2")].iter());
        tracker.expire_old(now + elapsed);
        let update = tracker.next_record(now + elapsed, true);
        let versions = update.map(|update| update.record);
        let expected = (elapsed == lifetime).then(|| record(7, &["v2"]));
        assert_eq!(versions, expected);
    }
}

#[test]
fn a_report_fits_into_a_datagram() {
    let now = start();
    let mut tracker = tracker(now, &[]);
    tracker.observe_servers(now, [engine(1, "v1"), engine(2, "v2")].iter());
    for number in 0..5_000 {
        let stream = StreamId::of_request(&format!("r{number}"));
        tracker.record_started(now, stream, &service(), &"v1".into());
    }
    let count = |digest: &gs_control::forwarding::OriginDigest| -> usize {
        digest.iter().map(|(_, _, streams)| streams.len()).sum()
    };
    assert_eq!(count(&tracker.digest(now)), 256);
    assert_eq!(count(&tracker.durable_digest(now)), 5_000);
}

#[test]
fn the_oldest_streams_beyond_the_maximum_are_forgotten() {
    let now = start();
    let settings = OriginSettings {
        max_streams: 10,
        ..OriginSettings::default()
    };
    let mut tracker = OriginTracker::new(now, settings);
    tracker.observe_servers(now, [engine(1, "v1"), engine(2, "v2")].iter());
    for number in 0..100_u64 {
        let stream = StreamId::of_request(&format!("r{number}"));
        let then = now + milliseconds(number);
        tracker.record_started(then, stream, &service(), &"v1".into());
        tracker.record_ended(then, stream);
        tracker.expire_old(then);
        assert!(tracker.len() <= 10);
    }
    let later = now + milliseconds(100);
    assert_eq!(target(&tracker, later, "r99"), at("v1"));
    assert_eq!(target(&tracker, later, "r5"), ResumeTarget::Unknown);
}

/// Entries, the registry's records, and the true origin of every stream that has begun.
struct VersionedFleet {
    rng: Pcg64Mcg,
    now: Instant,
    entries: Vec<OriginTracker>,
    records: BTreeMap<ServiceName, SoftwareRecord>,
    revision: u64,
    kept: BTreeMap<usize, gs_control::forwarding::OriginDigest>,
    listed: Vec<ListedServer>,
    version: u32,
    began: BTreeMap<String, SoftwareVersion>,
    goes_on: usize,
}

impl VersionedFleet {
    fn new(seed: u64, entries: usize) -> Self {
        let now = start();
        let listed: Vec<ListedServer> = (0..4).map(|number| engine(number, "v1")).collect();
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            entries: (0..entries).map(|_| tracker(now, &[])).collect(),
            records: BTreeMap::new(),
            revision: 0,
            kept: BTreeMap::new(),
            listed,
            version: 1,
            began: BTreeMap::new(),
            goes_on: 0,
        }
    }

    /// Lets all entries read the registry, record versions and keep their streams.
    fn synchronize(&mut self) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            entry.observe_servers(self.now, self.listed.iter());
            entry.expire_old(self.now);
            if let Some(update) = entry.next_record(self.now, index == 0) {
                let current = self.records.get(&update.service);
                if current.map_or(0, |record| record.revision) == update.record.revision {
                    self.revision += 1;
                    let record = SoftwareRecord {
                        revision: self.revision,
                        ..update.record
                    };
                    self.records.insert(update.service, record);
                }
            }
            self.kept
                .insert(index, self.entries[index].durable_digest(self.now));
        }
        for entry in &mut self.entries {
            entry.replace_records(self.now, self.records.clone());
        }
    }

    /// Restarts an entry, which knows only what the registry keeps.
    fn restart(&mut self, index: usize) {
        let mut entry = tracker(self.now, &[]);
        entry.replace_records(self.now, self.records.clone());
        entry.observe_servers(self.now, self.listed.iter());
        for (other, kept) in &self.kept {
            entry.apply_kept(self.now, kept, *other == index);
        }
        self.entries[index] = entry;
    }

    fn release_one(&mut self) {
        if self
            .listed
            .iter()
            .all(|server| server.software == self.listed[0].software)
        {
            self.version += 1;
        }
        let newest = format!("v{}", self.version);
        let old = self
            .listed
            .iter_mut()
            .find(|server| server.software.as_str() != newest);
        if let Some(old) = old {
            old.software = newest.as_str().into();
        }
    }

    /// Begins a stream at an entry by a server whose version is on record.
    fn begin(&mut self, number: usize) {
        let index = self.rng.gen_range(0..self.entries.len());
        let entry = &mut self.entries[index];
        let usable = self.listed.iter();
        let recorded: Vec<&ListedServer> = usable
            .filter(|server| entry.is_recorded(&server.service, &server.software))
            .collect();
        let Some(server) = recorded.choose(&mut self.rng) else {
            return;
        };
        let id = format!("r{number}");
        let stream = StreamId::of_request(&id);
        entry.record_started(self.now, stream, &server.service, &server.software);
        self.began.insert(id, server.software.clone());
    }

    /// Takes a stream up at a random entry.
    fn take_up(&mut self) {
        let ids: Vec<&String> = self.began.keys().collect();
        let Some(id) = ids.choose(&mut self.rng).map(|id| (*id).clone()) else {
            return;
        };
        let entry = self.entries.choose(&mut self.rng).expect("an entry");
        if let ResumeTarget::Software(software) = target(entry, self.now, &id) {
            assert_eq!(software, self.began[&id], "{id} goes on at another version");
            self.goes_on += 1;
        }
        self.began.remove(&id);
    }
}

/// Releases, restarts of single and of all entries, and lost reports come in any order.
#[test_case(1, 3)]
#[test_case(2, 7)]
#[test_case(3, 7)]
#[test_case(4, 20)]
fn no_stream_goes_on_at_another_version(seed: u64, entries: usize) {
    let mut fleet = VersionedFleet::new(seed, entries);
    for number in 0..6_000 {
        fleet.now += milliseconds(fleet.rng.gen_range(5..60));
        match fleet.rng.gen_range(0..100) {
            0..40 => fleet.begin(number),
            40..60 => fleet.take_up(),
            60..80 => fleet.synchronize(),
            80..92 => {
                let from = fleet.rng.gen_range(0..entries);
                let to = fleet.rng.gen_range(0..entries);
                let digest = fleet.entries[from].digest(fleet.now);
                fleet.entries[to].apply_digest(fleet.now, &digest);
            }
            92..96 => fleet.release_one(),
            96..99 => {
                let index = fleet.rng.gen_range(0..entries);
                fleet.restart(index);
            }
            _ => (0..entries).for_each(|index| fleet.restart(index)),
        }
        // Clients give up long before origins are forgotten.
        if number % 400 == 399 {
            fleet.began.clear();
        }
    }
    assert!(
        fleet.goes_on > 300,
        "only {} streams went on",
        fleet.goes_on
    );
}
