//! How long clients have asked already.

use std::time::Duration;

use gs_control::forwarding::LongestDeadline;

use super::support::milliseconds;

#[test]
fn a_client_that_comes_back_has_less_time_left() {
    let mut longest = LongestDeadline::default();
    assert_eq!(longest.passed(milliseconds(14_000)), Duration::ZERO);
    assert_eq!(longest.passed(milliseconds(11_500)), milliseconds(2_500));
    assert_eq!(longest.passed(milliseconds(14_000)), Duration::ZERO);
}

/// Clients that now begin with less time are not taken for late for good.
#[test]
fn an_older_longest_deadline_is_forgotten() {
    let mut longest = LongestDeadline::default();
    longest.passed(milliseconds(14_000));
    let passed: Vec<Duration> = (0..250)
        .map(|_| longest.passed(milliseconds(9_000)))
        .collect();
    assert_eq!(passed[0], milliseconds(5_000));
    assert_eq!(passed[249], Duration::ZERO);
}
