//! Who reads exactly, and when a view is read anew.

use std::time::{Duration, Instant};

use gs_control::forwarding::{FreshnessSettings, ReadMode, ViewVersions, is_exact_reader};
use gs_protocol::ids::EntryName;
use proptest::prelude::*;
use test_case::test_case;

const GRACE: Duration = Duration::from_millis(300);

fn names(count: usize) -> Vec<EntryName> {
    let names = (0..count).map(|number| EntryName::new(format!("entry-{number}")));
    names.collect()
}

#[test_case(1, 1)]
#[test_case(7, 7; "a small fleet reads exactly")]
#[test_case(78, 8)]
#[test_case(350, 8)]
fn a_few_entries_of_a_large_fleet_read_exactly(entries: usize, expected: usize) {
    let settings = FreshnessSettings::default();
    let names = names(entries);
    let readers = names.iter().filter(|own| {
        let others: Vec<EntryName> = names.iter().filter(|name| name != own).cloned().collect();
        is_exact_reader(own, &others, settings.exact_readers)
    });
    assert_eq!(readers.count(), expected);
}

#[test]
fn a_lost_reader_is_replaced() {
    let settings = FreshnessSettings::default();
    let names = names(20);
    let others = |own: &EntryName, lost: &EntryName| -> Vec<EntryName> {
        let others = names.iter().filter(|name| *name != own && *name != lost);
        others.cloned().collect()
    };
    let reads = |own: &EntryName, lost: &EntryName| {
        is_exact_reader(own, &others(own, lost), settings.exact_readers)
    };
    let lost = names.iter().find(|own| reads(own, own)).expect("a reader");
    let readers = names.iter().filter(|own| *own != lost && reads(own, lost));
    assert_eq!(readers.count(), settings.exact_readers);
}

#[test]
fn a_view_is_read_anew_when_it_stays_behind_its_peers() {
    let now = Instant::now();
    let mut versions = ViewVersions::default();
    versions.record_own(4);
    versions.record_reported(now, 4);
    assert!(
        !versions.is_behind(now + GRACE, GRACE),
        "as new as the peers"
    );
    versions.record_reported(now, 6);
    let plan = versions.plan(now, GRACE, false);
    assert_eq!(
        (plan.mode, plan.target_version),
        (ReadMode::Relaxed, 6),
        "the change may be on its way"
    );
    let plan = versions.plan(now + GRACE, GRACE, false);
    assert_eq!((plan.mode, plan.is_behind), (ReadMode::Exact, true));
    versions.record_own(plan.target_version);
    let plan = versions.plan(now + GRACE * 2, GRACE, false);
    assert_eq!((plan.mode, plan.is_behind), (ReadMode::Relaxed, false));
}

#[test]
fn a_version_that_is_told_again_does_not_put_off_the_reading() {
    let now = Instant::now();
    let mut versions = ViewVersions::default();
    versions.record_reported(now, 3);
    versions.record_reported(now + GRACE / 2, 5);
    versions.record_own(4);
    assert!(
        versions.is_behind(now + GRACE, GRACE),
        "4 came, 5 is missing"
    );
}

proptest! {
    /// Whatever is heard and read in whatever order, the view is behind in the end exactly if something newer
    /// was told than was read.
    #[test]
    fn a_view_is_behind_exactly_while_something_newer_was_told(
        steps in prop::collection::vec((any::<bool>(), 0_u64..20), 1..40)
    ) {
        let now = Instant::now();
        let mut versions = ViewVersions::default();
        let (mut own, mut told) = (0, 0);
        for (is_own, version) in steps {
            match is_own {
                true => {
                    own = own.max(version);
                    versions.record_own(version);
                }
                false => {
                    told = told.max(version);
                    versions.record_reported(now, version);
                }
            }
        }
        prop_assert_eq!(versions.is_behind(now + GRACE, GRACE), told > own);
        prop_assert_eq!(versions.own_version(), own);
    }
}
