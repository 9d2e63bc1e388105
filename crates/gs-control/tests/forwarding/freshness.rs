//! Tests of which entries use exact reads, and when a view counts as stale.

use std::time::{Duration, Instant};

use gs_control::forwarding::{
    FreshnessSettings, ReadMode, RegistryVersion, ViewVersions, is_exact_reader,
};
use gs_protocol::ids::EntryName;
use proptest::prelude::*;
use test_case::test_case;

const GRACE: Duration = Duration::from_millis(300);

/// Returns a revision in the first era of the registry.
fn revision(revision: u64) -> RegistryVersion {
    RegistryVersion { era: 1, revision }
}

fn names(count: usize) -> Vec<EntryName> {
    let names = (0..count).map(|number| EntryName::new(format!("entry-{number}")));
    names.collect()
}

#[test_case(1, 1)]
#[test_case(7, 7; "all entries of a small fleet")]
#[test_case(78, 8)]
#[test_case(350, 8)]
fn a_few_entries_of_a_large_fleet_use_exact_reads(entries: usize, expected: usize) {
    let settings = FreshnessSettings::default();
    let names = names(entries);
    let readers = names.iter().filter(|own| {
        let others: Vec<EntryName> = names.iter().filter(|name| name != own).cloned().collect();
        is_exact_reader(own, &others, settings.exact_readers)
    });
    assert_eq!(readers.count(), expected);
}

#[test]
fn a_failed_reader_is_replaced() {
    let settings = FreshnessSettings::default();
    let names = names(20);
    let others = |own: &EntryName, failed: &EntryName| -> Vec<EntryName> {
        let others = names.iter().filter(|name| *name != own && *name != failed);
        others.cloned().collect()
    };
    let reads = |own: &EntryName, failed: &EntryName| {
        is_exact_reader(own, &others(own, failed), settings.exact_readers)
    };
    let failed = names.iter().find(|own| reads(own, own)).expect("a reader");
    let readers = names
        .iter()
        .filter(|own| *own != failed && reads(own, failed));
    assert_eq!(readers.count(), settings.exact_readers);
}

#[test]
fn a_view_that_remains_behind_is_read_exactly() {
    let now = Instant::now();
    let mut versions = ViewVersions::default();
    versions.record_own(revision(4));
    versions.record_reported(now, revision(4));
    assert!(
        !versions.is_behind(now + GRACE, GRACE),
        "as new as the version of the peers"
    );
    versions.record_reported(now, revision(6));
    let plan = versions.plan(now, GRACE, false);
    assert_eq!(
        (plan.mode, plan.target_version),
        (ReadMode::Relaxed, revision(6)),
        "the change may be in transit"
    );
    let plan = versions.plan(now + GRACE, GRACE, false);
    assert_eq!((plan.mode, plan.is_behind), (ReadMode::Exact, true));
    versions.record_own(plan.target_version);
    let plan = versions.plan(now + GRACE * 2, GRACE, false);
    assert_eq!((plan.mode, plan.is_behind), (ReadMode::Relaxed, false));
}

#[test]
fn newer_reports_do_not_restart_the_grace_period() {
    let now = Instant::now();
    let mut versions = ViewVersions::default();
    versions.record_reported(now, revision(3));
    versions.record_reported(now + GRACE / 2, revision(5));
    versions.record_own(revision(4));
    assert!(
        versions.is_behind(now + GRACE, GRACE),
        "version 5 is still missing"
    );
}

proptest! {
    /// For any order of reports and reads, the view is behind exactly if a newer version was
    /// reported than was read.
    #[test]
    fn a_view_is_behind_exactly_if_a_newer_version_was_reported(
        steps in prop::collection::vec((any::<bool>(), 0_u64..3, 0_u64..20), 1..40)
    ) {
        let now = Instant::now();
        let mut versions = ViewVersions::default();
        let (mut own, mut reported) = (RegistryVersion::default(), RegistryVersion::default());
        for (is_own, era, revision) in steps {
            let version = RegistryVersion { era, revision };
            match is_own {
                true => {
                    own = own.max(version);
                    versions.record_own(version);
                }
                false => {
                    reported = reported.max(version);
                    versions.record_reported(now, version);
                }
            }
        }
        prop_assert_eq!(versions.is_behind(now + GRACE, GRACE), reported > own);
        prop_assert_eq!(versions.own_version(), own);
    }
}

#[test]
fn a_revision_given_out_again_after_a_restore_is_newer() {
    let now = Instant::now();
    let mut versions = ViewVersions::default();
    versions.record_own(revision(40));
    let restored = RegistryVersion {
        era: 2,
        revision: 12,
    };
    versions.record_reported(now, restored);
    assert!(versions.is_behind(now + GRACE, GRACE));
    versions.record_own(restored);
    assert!(!versions.is_behind(now + GRACE, GRACE));
    assert!(restored.number() > revision(40).number());
}
