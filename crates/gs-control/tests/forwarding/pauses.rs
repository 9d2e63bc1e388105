//! Tests of pauses that servers ask an entry for.

use std::time::{Duration, Instant};

use gs_control::forwarding::{LimitSettings, LimitTracker};
use gs_protocol::ids::ServerName;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use super::support::{milliseconds, start};

fn name() -> ServerName {
    "server-1".into()
}

fn tracker() -> LimitTracker {
    LimitTracker::new(LimitSettings::default())
}

/// Returns whether a request may be sent, and counts it if so.
fn send(tracker: &mut LimitTracker, now: Instant) -> bool {
    let may_send = tracker.wait(now, &name()).is_zero();
    if may_send {
        tracker.record_sent(now, &name());
    }
    may_send
}

#[test]
fn after_a_pause_one_request_goes_before_the_others() {
    let now = start();
    let mut tracker = tracker();
    let pause = Duration::from_secs(4);
    assert_eq!(
        tracker.record_pause(now, &name(), now, Some(pause)),
        Some(pause)
    );
    assert_eq!(tracker.wait(now, &name()), pause);
    let end = now + pause;
    assert!(send(&mut tracker, end));
    assert!(!send(&mut tracker, end + milliseconds(1)));
    let answered = end + milliseconds(40);
    tracker.record_pause(answered, &name(), end, None);
    assert!(send(&mut tracker, answered));
    assert!(send(&mut tracker, answered));
}

#[test]
fn an_unanswered_request_after_a_pause_holds_others_for_a_bounded_time() {
    let now = start();
    let mut tracker = tracker();
    tracker.record_pause(now, &name(), now, Some(Duration::from_secs(1)));
    let end = now + Duration::from_secs(1);
    assert!(send(&mut tracker, end));
    let timeout = LimitSettings::default().probe_timeout;
    assert!(!send(&mut tracker, end + timeout - milliseconds(1)));
    assert!(send(&mut tracker, end + timeout));
}

#[test_case(Duration::from_secs(5), Duration::from_secs(5))]
#[test_case(Duration::MAX, LimitSettings::default().max_pause; "bounded")]
#[test_case(Duration::ZERO, Duration::ZERO; "none")]
fn a_pause_has_a_bound(asked: Duration, kept: Duration) {
    let now = start();
    let mut tracker = tracker();
    tracker.record_pause(now, &name(), now, Some(asked));
    assert_eq!(tracker.wait(now, &name()), kept);
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_pause() {
    let now = start();
    let mut tracker = tracker();
    let pause = Duration::from_secs(4);
    tracker.record_pause(now, &name(), now, Some(pause));
    tracker.record_pause(now + milliseconds(1), &name(), now, None);
    assert!(tracker.is_paused(now + milliseconds(2), &name()));
    tracker.record_pause(now, &name(), now, Some(milliseconds(10)));
    assert_eq!(
        tracker.wait(now, &name()),
        pause,
        "a shorter pause does not replace it"
    );
    tracker.end_pause(&name());
    assert!(tracker.wait(now, &name()).is_zero());
}

#[test]
fn pauses_are_not_reported() {
    let now = start();
    let mut tracker = tracker();
    tracker.record_pause(now, &name(), now, Some(Duration::from_secs(4)));
    assert!(tracker.digest(now).is_empty());
}

/// A server asks for pauses at random; its answers take up to 200 ms and overtake each other.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn pauses_are_kept_and_a_sound_server_is_not_idle(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut now = start();
    let mut tracker = tracker();
    let mut busy_until = now;
    let mut told_until = now;
    let mut answers: Vec<(Instant, Instant, Option<Duration>)> = Vec::new();
    let mut last_sent = now;
    for _ in 0..60_000 {
        now += milliseconds(rng.gen_range(1..10));
        answers.retain(|(at, sent_at, pause)| {
            if *at > now {
                return true;
            }
            if let Some(pause) = pause {
                told_until = told_until.max(now + *pause);
            }
            tracker.record_pause(now, &name(), *sent_at, *pause);
            false
        });
        if rng.gen_bool(0.001) {
            busy_until = now + milliseconds(rng.gen_range(500..5_000));
        }
        if send(&mut tracker, now) {
            assert!(now >= told_until, "a request in the pause");
            last_sent = now;
            let pause = (now < busy_until).then(|| busy_until - now);
            let answered = now + milliseconds(rng.gen_range(5..200));
            answers.push((answered, now, pause));
        }
        let idle = now.saturating_duration_since(last_sent.max(told_until));
        assert!(
            idle <= LimitSettings::default().probe_timeout,
            "idle for {idle:?}"
        );
    }
}
