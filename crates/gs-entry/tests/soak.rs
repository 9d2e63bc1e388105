//! A short soak run under seeded faults that must not violate any guarantee.

use std::time::Duration;

use gs_standin::harness::ProgramDirectory;
use gs_standin::soak::{FaultKind, SoakOptions, plan_faults, run_soak};

/// Seed whose short schedule has faults of entries, engines and the platform, two at once and
/// twice in a row.
const SEED: u64 = 317;

#[actix_rt::test]
async fn a_short_fault_schedule_causes_no_violation() {
    let options = SoakOptions {
        seed: SEED,
        minutes: 0.17,
        callers: 8,
        leave_slack_ms: 3_000,
        plan_only: false,
    };
    let programs = ProgramDirectory::containing(env!("CARGO_BIN_EXE_gs-entry"));
    let report = run_soak(programs, &options).await.expect("the soak runs");
    assert!(report.violations().is_empty(), "{report}");
    let completed = report
        .requests()
        .filter(|(_, outcome, _)| *outcome == "whole");
    assert!(
        completed.map(|(.., count)| count).sum::<u64>() > 0,
        "{report}"
    );
}

#[test]
fn a_schedule_depends_on_its_seed_only() {
    let hour = Duration::from_secs(3_600);
    let steps = plan_faults(SEED, hour);
    assert_eq!(steps, plan_faults(SEED, hour));
    assert_ne!(steps, plan_faults(SEED + 1, hour));
    let first_minute = plan_faults(SEED, Duration::from_secs(60));
    assert_eq!(steps[..first_minute.len()], first_minute);
    let kinds = || {
        steps
            .iter()
            .flat_map(|step| &step.faults)
            .map(|fault| fault.kind)
    };
    for kind in [
        FaultKind::EntryKilled,
        FaultKind::PlatformSilent,
        FaultKind::TransfersStalled,
    ] {
        assert!(kinds().any(|found| found == kind), "{kind:?}");
    }
}
