//! Tests of the bytes that servers are sent at once.

use gs_control::forwarding::{BodyOutcome, IntakeSettings, IntakeTracker, SentBody};
use gs_protocol::ids::ServerName;
use test_case::test_case;

const MEGABYTE: u64 = 1_000_000;

/// Sends bodies of a megabyte until the server is full; returns them.
fn fill(tracker: &mut IntakeTracker, server: &ServerName, peers: u32) -> Vec<SentBody> {
    let mut sent = Vec::new();
    while tracker.admits(server, Some(1), MEGABYTE, peers) {
        sent.push(tracker.record_sent(server, Some(1), MEGABYTE, peers));
        assert!(sent.len() < 10_000, "no bound");
    }
    sent
}

fn end(tracker: &mut IntakeTracker, server: &ServerName, sent: Vec<SentBody>, end: BodyOutcome) {
    for body in sent {
        tracker.record_end(server, body, end);
    }
}

/// Guards against bounds that a server can never outgrow, or that grow without proof.
#[test_case(BodyOutcome::Answered, true; "answers prove what a server holds")]
#[test_case(BodyOutcome::GivenUp, false; "what is given up proves nothing")]
fn a_bound_grows_by_what_a_server_has_held(outcome: BodyOutcome, grows: bool) {
    let (mut tracker, server) = (IntakeTracker::new(IntakeSettings::default()), "s0".into());
    let first = fill(&mut tracker, &server, 0);
    let count = first.len();
    assert_eq!(count, 8);
    end(&mut tracker, &server, first, outcome);
    let second = fill(&mut tracker, &server, 0).len();
    assert_eq!(second, if grows { 10 } else { 8 });
}

/// Simulates a server that crashes when it holds more than its memory.
#[test_case(3)]
#[test_case(20)]
#[test_case(60)]
fn a_server_that_crashes_is_sent_less(memory: usize) {
    let (mut tracker, server) = (IntakeTracker::new(IntakeSettings::default()), "s0".into());
    let (mut crashes, mut answered) = (0, 0);
    for _ in 0..400 {
        let sent = fill(&mut tracker, &server, 0);
        match sent.len() > memory {
            true => {
                crashes += 1;
                end(&mut tracker, &server, sent, BodyOutcome::Broken);
            }
            false => {
                answered += sent.len();
                end(&mut tracker, &server, sent, BodyOutcome::Answered);
            }
        }
    }
    // After a crash, the bound grows by a body each round, from half of what was too much.
    assert!(crashes <= 1 + 2 * 400 / memory, "{crashes} crashes");
    assert!(answered > 400 * memory / 3, "{answered} answered");
}

/// Guards against entries that each send a server as much as it can hold.
#[test]
fn the_bodies_of_peers_count() {
    let (mut tracker, server) = (IntakeTracker::new(IntakeSettings::default()), "s0".into());
    for _ in 0..50 {
        let body = tracker.record_sent(&server, Some(1), MEGABYTE, 0);
        tracker.record_end(&server, body, BodyOutcome::GivenUp);
    }
    assert_eq!(fill(&mut tracker, &server, 5).len(), 3);
}

#[test]
fn a_small_body_and_one_to_an_idle_server_never_wait() {
    let (mut tracker, server) = (IntakeTracker::new(IntakeSettings::default()), "s0".into());
    assert!(tracker.admits(&server, Some(1), 900 * MEGABYTE, 0));
    fill(&mut tracker, &server, 0);
    assert!(tracker.admits(&server, Some(1), 65_536, 0));
    assert!(!tracker.admits(&server, Some(1), 900 * MEGABYTE, 0));
}

/// Guards against bytes of an earlier start that hold up the next one.
#[test]
fn a_new_start_of_a_server_holds_nothing() {
    let (mut tracker, server) = (IntakeTracker::new(IntakeSettings::default()), "s0".into());
    let sent = fill(&mut tracker, &server, 0);
    assert!(tracker.admits(&server, Some(2), MEGABYTE, 0));
    tracker.record_sent(&server, Some(2), MEGABYTE, 0);
    end(&mut tracker, &server, sent, BodyOutcome::Broken);
    assert!(tracker.admits(&server, Some(2), 7 * MEGABYTE, 0));
    tracker.retain_servers(|_| false);
    assert!(tracker.admits(&server, Some(2), 900 * MEGABYTE, 0));
}
