//! Tests of the phases of a shutdown.

use gs_control::forwarding::{ShutdownPhase, ShutdownPlan};
use test_case::test_case;

use super::support::milliseconds;

#[test_case(0, ShutdownPhase::TakeAll)]
#[test_case(1_100, ShutdownPhase::TakeAll; "streams are accepted while they can end in time")]
#[test_case(1_300, ShutdownPhase::TakeShort)]
#[test_case(5_500, ShutdownPhase::TakeShort; "clients may use a resolved address for five seconds")]
#[test_case(5_700, ShutdownPhase::Finish)]
#[test_case(7_800, ShutdownPhase::Exit; "before the kill")]
fn phases_are_fractions_of_the_grace_period(elapsed: u64, expected: ShutdownPhase) {
    let plan = ShutdownPlan::new(milliseconds(8_000));
    assert_eq!(plan.phase(milliseconds(elapsed)), expected);
}
