//! What a relay passes on, and what it leaves out.

use std::time::{Duration, Instant};

use gs_control::forwarding::CapacityDigest;
use gs_control::relay::{EntryReport, RelayQueue};
use gs_protocol::ids::Incarnation;

use super::fleet::{members, report};

const ENTRIES: usize = 3;

/// Minimum time between reports of a presence that bring nothing new.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(800);

fn reports(number: u64, load: u32) -> Vec<EntryReport> {
    let members = members(&[ENTRIES]);
    let reports = members.iter().map(|member| report(member, number, load));
    reports.collect()
}

struct QueueHarness {
    queue: RelayQueue,
    now: Instant,
}

impl QueueHarness {
    /// Creates a queue that has passed on one report of each entry.
    fn new() -> Self {
        let mut harness = Self {
            queue: RelayQueue::default(),
            now: Instant::now(),
        };
        harness.queue.set_presence_interval(PRESENCE_INTERVAL);
        assert_eq!(harness.pass_on(reports(1, 1)).len(), ENTRIES);
        harness
    }

    fn pass_on(&mut self, reports: Vec<EntryReport>) -> Vec<EntryReport> {
        for report in reports {
            self.queue.push(self.now, report);
        }
        self.queue.take(self.now, usize::MAX)
    }
}

#[test]
fn reports_that_bring_nothing_new_are_left_out() {
    let mut harness = QueueHarness::new();
    assert_eq!(harness.pass_on(reports(2, 1)), Vec::new());
    harness.now += PRESENCE_INTERVAL;
    assert_eq!(harness.pass_on(reports(3, 1)).len(), ENTRIES);
}

#[test]
fn a_new_load_is_passed_on_without_the_presence() {
    let mut harness = QueueHarness::new();
    let passed = harness.pass_on(reports(2, 5));
    assert_eq!(passed.len(), ENTRIES);
    assert!(
        passed
            .iter()
            .all(|report| report.presence.is_none() && report.load.waiting.on_time == 5)
    );
}

#[test]
fn of_several_reports_the_newest_is_passed_on() {
    let mut harness = QueueHarness::new();
    let mut all = reports(3, 7);
    all.extend(reports(2, 5));
    let passed = harness.pass_on(all);
    assert_eq!(passed.len(), ENTRIES);
    assert!(
        passed
            .iter()
            .all(|report| report.number == 3 && report.load.waiting.on_time == 7)
    );
    assert_eq!(harness.pass_on(reports(2, 5)), Vec::new());
}

#[test]
fn an_entry_that_leaves_is_reported_at_once() {
    let mut harness = QueueHarness::new();
    let mut leaving = reports(2, 1);
    leaving[0].presence.as_mut().expect("a presence").is_leaving = true;
    let passed = harness.pass_on(leaving);
    assert_eq!(passed.len(), 1);
    assert!(passed[0].presence.is_some());
}

#[test]
fn a_new_start_is_reported_at_once() {
    let mut harness = QueueHarness::new();
    let mut restarted = reports(1, 1);
    restarted[0].incarnation = Incarnation(2);
    assert_eq!(harness.pass_on(restarted).len(), 1);
}

/// All entries read a new version of the configuration at about the same time.
#[test]
fn a_new_version_is_reported_once_for_the_data_centre() {
    let mut harness = QueueHarness::new();
    let with_version = |number| {
        let mut reports = reports(number, 1);
        for report in &mut reports {
            report.presence.as_mut().expect("a presence").routes_version = 2;
        }
        reports
    };
    let first = with_version(2).swap_remove(0);
    assert_eq!(harness.pass_on(vec![first]).len(), 1);
    assert_eq!(harness.pass_on(with_version(3)), Vec::new());
}

#[test]
fn a_presence_is_not_lost_to_a_load_report_that_follows_it() {
    let mut harness = QueueHarness::new();
    harness.now += Duration::from_secs(2);
    let mut all = reports(2, 1);
    let mut loads = reports(3, 4);
    for report in &mut loads {
        report.presence = None;
    }
    all.extend(loads);
    let passed = harness.pass_on(all);
    assert!(
        passed
            .iter()
            .all(|report| report.presence.is_some() && report.load.waiting.on_time == 4)
    );
}

/// Reports between the regular ones hold no speeds.
#[test]
fn speeds_are_not_lost_to_a_load_report_that_follows_them() {
    let mut harness = QueueHarness::new();
    let encoded = [0x48, 1, 2, 3, 4, 5, 6, 7, 8];
    let capacity: CapacityDigest = ciborium::from_reader(&encoded[..]).expect("a digest");
    let mut regular = reports(2, 5);
    for report in &mut regular {
        report.load.capacity = capacity.clone();
        harness.queue.push(harness.now, report.clone());
    }
    let passed = harness.pass_on(reports(3, 6));
    assert_eq!(passed.len(), ENTRIES);
    assert!(passed.iter().all(|report| report.load.capacity == capacity));
}

#[test]
fn entries_that_are_gone_are_forgotten() {
    let mut harness = QueueHarness::new();
    harness.queue.retain(|_| false);
    assert_eq!(harness.pass_on(reports(1, 1)).len(), ENTRIES);
}

/// Field names would more than double what crosses between data centres.
#[test]
fn a_report_is_encoded_without_field_names() {
    const MAX_BYTES: usize = 100;
    let report = reports(1, 1).swap_remove(0);
    let mut bytes = Vec::new();
    ciborium::into_writer(&report, &mut bytes).expect("a report can be encoded");
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    let decoded: EntryReport = ciborium::from_reader(&bytes[..]).expect("a report can be decoded");
    assert_eq!(decoded, report);
}
