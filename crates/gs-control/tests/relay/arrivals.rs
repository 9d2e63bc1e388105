//! What a relay passes on to its own data centre.

use gs_control::relay::ArrivalQueue;

use super::fleet::{members, report};

#[test]
fn what_another_relay_has_passed_on_is_not_sent_again() {
    let members = members(&[2]);
    let mut queue = ArrivalQueue::default();
    queue.push(report(&members[0], 3, 1));
    queue.push(report(&members[1], 3, 1));
    queue.remove_passed(&report(&members[0], 3, 1));
    queue.remove_passed(&report(&members[1], 2, 1));
    let passed = queue.take(usize::MAX);
    assert_eq!(passed, [report(&members[1], 3, 1)]);
    assert_eq!(queue.take(usize::MAX), []);
}

/// The other relay has passed on a load report that followed the regular one.
#[test]
fn a_presence_that_another_relay_has_not_passed_on_is_kept() {
    let member = members(&[1]).swap_remove(0);
    let mut queue = ArrivalQueue::default();
    queue.push(report(&member, 3, 1));
    let mut load = report(&member, 4, 2);
    load.presence = None;
    queue.remove_passed(&load);
    assert_eq!(queue.take(usize::MAX), [report(&member, 3, 1)]);
}
