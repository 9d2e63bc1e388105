//! How often a fleet calls a registry that does not answer.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_control::forwarding::{OutageSettings, OutageTracker, ProbeRole, Recovery, RegistryView};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const READERS: [RegistryView; 3] = [
    RegistryView::Routes,
    RegistryView::Servers,
    RegistryView::Entries,
];

/// Number of entries that read exactly.
const EXACT_READERS: u32 = 8;

/// Plays an outage in which every call fails at once; returns the number of calls of all entries, and
/// the longest time between two calls of one entry.
fn play_outage(entries: u32, outage: Duration, seed: u64) -> (usize, Duration) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut calls, mut longest) = (0, Duration::ZERO);
    for entry in 0..entries {
        let role = ProbeRole {
            is_exact_reader: entry < EXACT_READERS,
            entries,
        };
        let mut tracker = OutageTracker::new(OutageSettings::default());
        let mut due: BTreeMap<RegistryView, Duration> =
            READERS.map(|reader| (reader, Duration::ZERO)).into();
        let mut last = Duration::ZERO;
        while let Some((reader, at)) = due.iter().min_by_key(|(_, at)| **at) {
            let (reader, at) = (*reader, *at);
            if at >= outage {
                break;
            }
            calls += 1;
            longest = longest.max(at - last);
            last = at;
            let delay = tracker.record_failure(reader, 1, role, random.gen_range(0.0..1.0));
            due.insert(reader, at + delay);
        }
    }
    (calls, longest)
}

/// Four calls at the start; then the probes, and four a second of the exact readers.
#[test_case(63, 1.6; "sixty three entries")]
#[test_case(195, 0.6; "one hundred and ninety five entries")]
#[test_case(350, 0.6; "three hundred and fifty entries")]
fn calls_of_a_large_fleet_are_few(entries: u32, probes_per_second: f64) {
    const SECONDS: u32 = 8;
    let (calls, _) = play_outage(entries, Duration::from_secs(SECONDS.into()), 1);
    // A delay is shortened by up to a half, and the readers that wait call once more in ten seconds.
    let each = 4.0 + (probes_per_second * 1.4 + 0.4) * f64::from(SECONDS);
    let exact = f64::from(EXACT_READERS * SECONDS * 4);
    assert!(
        (calls as f64) < f64::from(entries) * each + exact,
        "{calls} calls"
    );
}

#[test]
fn a_doubled_fleet_does_not_double_its_calls_for_each_entry() {
    let outage = Duration::from_secs(20);
    let (small, _) = play_outage(100, outage, 2);
    let (large, _) = play_outage(200, outage, 2);
    assert!(large * 10 < small * 18, "{small} to {large} calls");
}

#[test]
fn the_end_of_an_outage_is_noticed_by_each_entry_alone() {
    let (_, longest) = play_outage(600, Duration::from_secs(30), 3);
    assert!(
        longest <= OutageSettings::default().max_fleet_delay,
        "{longest:?}"
    );
}

#[test]
fn a_single_failure_is_no_outage() {
    let mut tracker = OutageTracker::new(OutageSettings::default());
    let role = ProbeRole {
        is_exact_reader: false,
        entries: 195,
    };
    assert_eq!(tracker.record_answer(), Recovery::None);
    let delay = tracker.record_failure(RegistryView::Servers, 1, role, 0.0);
    assert!(delay < Duration::from_millis(100), "{delay:?}");
    // A reader that waits for a change may be cut off together with another.
    tracker.record_failure(RegistryView::Routes, 1, role, 0.0);
    assert!(!tracker.is_outage());
    assert_eq!(tracker.record_answer(), Recovery::OfCall);
    tracker.record_failure(RegistryView::Routes, 1, role, 0.0);
    tracker.record_failure(RegistryView::Routes, 1, role, 0.0);
    assert!(tracker.is_outage());
    assert_eq!(tracker.record_answer(), Recovery::OfRegistry);
    assert!(!tracker.is_outage());
}

/// One kind of objects cannot be read while the others can.
#[test]
fn a_reader_that_fails_alone_backs_off() {
    let mut tracker = OutageTracker::new(OutageSettings::default());
    let role = ProbeRole {
        is_exact_reader: true,
        entries: 6,
    };
    let mut delay = Duration::ZERO;
    for failures in 1..10 {
        delay = tracker.record_failure(RegistryView::Routes, failures, role, 0.0);
        tracker.record_answer();
    }
    assert_eq!(delay, OutageSettings::default().max_delay / 2);
}

proptest! {
    /// No delay exceeds the bound, whoever calls.
    #[test]
    fn delays_are_bounded(
        calls in prop::collection::vec(
            (0_usize..3, 1_u32..9, any::<bool>(), 1_u32..2_000, 0.0..1.0_f64),
            1..50,
        ),
    ) {
        let mut tracker = OutageTracker::new(OutageSettings::default());
        for (reader, failures, is_exact_reader, entries, random) in calls {
            let role = ProbeRole { is_exact_reader, entries };
            let delay = tracker.record_failure(READERS[reader], failures, role, random);
            let settings = OutageSettings::default();
            let bound = match tracker.prober() == Some(READERS[reader]) {
                true => settings.max_fleet_delay,
                false => settings.waiting_delay,
            };
            prop_assert!(delay <= bound);
            prop_assert!(!delay.is_zero());
        }
    }
}
