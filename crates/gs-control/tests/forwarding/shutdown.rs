//! The phases of a shutdown.

use gs_control::forwarding::{ShutdownPhase, ShutdownPlan};
use test_case::test_case;

use super::support::milliseconds;

#[test_case(0, ShutdownPhase::TakeAll)]
#[test_case(1_100, ShutdownPhase::TakeAll; "streams that end in time are taken")]
#[test_case(1_300, ShutdownPhase::TakeShort)]
#[test_case(5_500, ShutdownPhase::TakeShort; "clients keep an address for five seconds")]
#[test_case(5_700, ShutdownPhase::Finish)]
#[test_case(7_800, ShutdownPhase::Exit; "before the kill")]
fn phases_follow_the_grace(since: u64, expected: ShutdownPhase) {
    let plan = ShutdownPlan::new(milliseconds(8_000));
    assert_eq!(plan.phase(milliseconds(since)), expected);
}
