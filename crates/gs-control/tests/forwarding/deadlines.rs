//! How long clients have asked already.

use std::time::Duration;

use gs_control::forwarding::DeadlineTracker;
use test_case::test_case;

use super::support::milliseconds;

#[test]
fn a_client_that_comes_back_has_less_time_left() {
    let mut longest = DeadlineTracker::default();
    assert_eq!(
        longest.record_deadline(milliseconds(14_000)),
        Duration::ZERO
    );
    assert_eq!(
        longest.record_deadline(milliseconds(11_500)),
        milliseconds(2_500)
    );
    assert_eq!(
        longest.record_deadline(milliseconds(14_000)),
        Duration::ZERO
    );
}

/// Clients that now begin with less time are not taken for late for good.
#[test]
fn an_older_longest_deadline_is_forgotten() {
    let mut longest = DeadlineTracker::default();
    longest.record_deadline(milliseconds(14_000));
    let passed: Vec<Duration> = (0..250)
        .map(|_| longest.record_deadline(milliseconds(9_000)))
        .collect();
    assert_eq!(passed[0], milliseconds(5_000));
    assert_eq!(passed[249], Duration::ZERO);
}

/// Clients whose patience differs by a seventh all ask for the first time: none is taken for one that comes
/// back and put behind the others.
#[test_case(14_000, 0; "the most patient")]
#[test_case(13_200, 0; "a usual one")]
#[test_case(12_000, 0; "the least patient")]
#[test_case(11_800, 2_200; "one that comes back")]
fn an_impatient_client_does_not_come_back(deadline: u64, passed: u64) {
    let mut longest = DeadlineTracker::default();
    longest.record_deadline(milliseconds(14_000));
    assert_eq!(
        longest.record_deadline(milliseconds(deadline)),
        milliseconds(passed)
    );
}
