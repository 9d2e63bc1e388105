//! Tests of the phases of a shutdown, and of the requests that are accepted in them.

use std::time::Duration;

use gs_control::forwarding::{RecentMaximum, RequestSpan, ShutdownPhase, ShutdownPlan};
use proptest::prelude::*;
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

fn limited(time: u64) -> RequestSpan {
    RequestSpan::Limited(milliseconds(time))
}

fn expected(time: u64) -> RequestSpan {
    RequestSpan::of_stream(milliseconds(14_000), Some(milliseconds(time)))
}

#[test_case(0, limited(7_500), true; "a limit within the grace period")]
#[test_case(0, limited(14_000), false; "a limit beyond the grace period")]
#[test_case(4_900, limited(6_000), false; "a limit beyond what is left")]
#[test_case(5_500, limited(600), true; "a limit within what is left")]
#[test_case(5_700, limited(600), false; "all requests are refused late")]
#[test_case(1_000, expected(5_000), true; "a stream that is expected to end")]
#[test_case(1_000, expected(7_000), false; "a stream that is not expected to end")]
#[test_case(1_300, expected(1_000), false; "streams that may last longer are refused first")]
#[test_case(1_300, RequestSpan::of_stream(milliseconds(2_000), None), true; "a stream that ends by its limit")]
#[test_case(0, RequestSpan::of_stream(milliseconds(14_000), None), false; "a stream of unknown length")]
fn a_request_is_accepted_if_it_ends_in_time(elapsed: u64, span: RequestSpan, is_admitted: bool) {
    let plan = ShutdownPlan::new(milliseconds(8_000));
    assert_eq!(plan.admits(milliseconds(elapsed), span), is_admitted);
}

proptest! {
    /// Guards against requests that are accepted although the process exits before their time limit.
    #[test]
    fn no_accepted_request_outlasts_the_process(grace in 0_u64..60_000, elapsed in 0_u64..70_000, limit in 0_u64..90_000) {
        let plan = ShutdownPlan::new(milliseconds(grace));
        if plan.admits(milliseconds(elapsed), limited(limit)) {
            prop_assert!(plan.phase(milliseconds(elapsed + limit)) < ShutdownPhase::Exit);
        }
    }
}

#[test]
fn the_longest_duration_is_forgotten_after_two_rounds() {
    let mut longest = RecentMaximum::default();
    assert_eq!(longest.longest(), Duration::ZERO);
    longest.record(milliseconds(9_000));
    let after = |longest: &mut RecentMaximum, count| {
        (0..count).fold(Duration::ZERO, |_, _| longest.record(milliseconds(1_000)))
    };
    assert_eq!(after(&mut longest, 199), milliseconds(9_000));
    assert_eq!(after(&mut longest, 1), milliseconds(1_000));
}
