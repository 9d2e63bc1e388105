//! Tests of the estimate of how long a client has been retrying.

use std::time::Duration;

use gs_control::forwarding::DeadlineTracker;
use test_case::test_case;

use super::support::milliseconds;

#[test]
fn a_shorter_deadline_is_taken_for_a_retry() {
    let mut tracker = DeadlineTracker::default();
    assert_eq!(
        tracker.record_deadline(milliseconds(14_000)),
        Duration::ZERO
    );
    assert_eq!(
        tracker.record_deadline(milliseconds(11_500)),
        milliseconds(2_500)
    );
    assert_eq!(
        tracker.record_deadline(milliseconds(14_000)),
        Duration::ZERO
    );
}

/// Guards against clients that now start with shorter deadlines being taken for retrying ones
/// forever.
#[test]
fn an_old_longest_deadline_expires() {
    let mut tracker = DeadlineTracker::default();
    tracker.record_deadline(milliseconds(14_000));
    let elapsed: Vec<Duration> = (0..250)
        .map(|_| tracker.record_deadline(milliseconds(9_000)))
        .collect();
    assert_eq!(elapsed[0], milliseconds(5_000));
    assert_eq!(elapsed[249], Duration::ZERO);
}

/// Guards against first attempts being queued as late retries. The initial deadlines of clients
/// differ by a seventh.
#[test_case(14_000, 0; "the longest initial deadline")]
#[test_case(13_200, 0; "a usual initial deadline")]
#[test_case(12_000, 0; "the shortest initial deadline")]
#[test_case(11_800, 2_200; "a retry")]
fn a_short_initial_deadline_is_not_taken_for_a_retry(deadline: u64, elapsed: u64) {
    let mut tracker = DeadlineTracker::default();
    tracker.record_deadline(milliseconds(14_000));
    assert_eq!(
        tracker.record_deadline(milliseconds(deadline)),
        milliseconds(elapsed)
    );
}
