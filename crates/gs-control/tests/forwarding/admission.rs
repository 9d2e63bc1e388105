//! Tests of the admission of streams, also under bursts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionDecision, AdmissionEffect, AdmissionQueue, AdmissionSettings, FleetBacklog,
    RankCounts, SoftwareNeed, StartClass, StreamDemand, StreamShape, TicketId, WaitingCounts,
    WaitingStream,
};
use proptest::prelude::*;
use test_case::test_case;

use super::support::{milliseconds, start};

/// Ten streams complete per second, and none waits at other entries.
const BACKLOG: FleetBacklog = FleetBacklog {
    peers_waiting: WaitingCounts {
        on_time: 0,
        late: 0,
        by_rank: RankCounts::NONE,
    },
    completions_per_second: 10.0,
    engines_wait: Duration::ZERO,
};

const TARGET: Duration = Duration::from_millis(800);

fn stream(requested_at: Instant, target: Duration) -> WaitingStream {
    retried_stream(requested_at, requested_at, target)
}

fn retried_stream(requested_at: Instant, arrived: Instant, target: Duration) -> WaitingStream {
    WaitingStream {
        arrived_at: arrived,
        demand: StreamDemand {
            service: "notes".into(),
            shape: StreamShape {
                held_tokens: 5_000,
                remaining_tokens: 4_000,
            },
            software: SoftwareNeed::Any,
        },
        requested_at,
        latency_target: target,
        order: None,
    }
}

fn queued(decision: &AdmissionDecision) -> TicketId {
    let AdmissionDecision::Queued(ticket) = *decision else {
        panic!("{decision:?}");
    };
    ticket
}

/// Starts at most `capacity` streams; returns the started and the refused tickets.
fn advance(
    queue: &mut AdmissionQueue,
    now: Instant,
    mut capacity: u32,
) -> (Vec<TicketId>, Vec<TicketId>) {
    let effects = queue.advance(
        now,
        || 0.5,
        |_, _| {
            capacity = capacity.checked_sub(1)?;
            Some(())
        },
    );
    let mut started = Vec::new();
    let mut refused = Vec::new();
    for effect in effects {
        match effect {
            AdmissionEffect::Start { ticket, .. } => started.push(ticket),
            AdmissionEffect::Refuse { ticket, .. } => refused.push(ticket),
        }
    }
    (started, refused)
}

#[test]
fn a_stream_starts_at_once_if_an_engine_has_capacity() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let ticket = queued(&queue.offer(start(), stream(start(), TARGET), BACKLOG, 0.5));
    assert_eq!(advance(&mut queue, start(), 1), (vec![ticket], vec![]));
    assert!(queue.is_empty());
}

#[test]
fn streams_start_in_order_of_their_deadlines() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let relaxed = queued(&queue.offer(start(), stream(start(), TARGET * 3), BACKLOG, 0.5));
    let urgent = queued(&queue.offer(start(), stream(start(), TARGET), BACKLOG, 0.5));
    assert_eq!(advance(&mut queue, start(), 2).0, [urgent, relaxed]);
}

#[test]
fn a_late_retry_starts_after_streams_on_time_and_may_use_less_memory() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let requested_at = start() - Duration::from_secs(3);
    let late = queued(&queue.offer(
        start(),
        retried_stream(requested_at, start(), TARGET),
        BACKLOG,
        0.5,
    ));
    let on_time = queued(&queue.offer(start(), stream(start(), TARGET), BACKLOG, 0.5));
    let mut classes = Vec::new();
    let effects = queue.advance(
        start(),
        || 0.5,
        |_, class| {
            classes.push(class);
            Some(())
        },
    );
    let expected = [on_time, late].map(|ticket| AdmissionEffect::Start {
        ticket,
        placement: (),
    });
    assert_eq!(effects, expected);
    assert_eq!(classes, [StartClass::OnTime, StartClass::Late]);
    let settings = queue.settings();
    assert!(settings.memory_fraction(classes[1]) < settings.memory_fraction(classes[0]));
}

#[test]
fn a_late_stream_is_refused_while_one_that_can_be_on_time_waits() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    queued(&queue.offer(start(), stream(start(), TARGET), BACKLOG, 0.5));
    let requested_at = start() - Duration::from_secs(3);
    let decision = queue.offer(
        start(),
        retried_stream(requested_at, start(), TARGET),
        BACKLOG,
        0.5,
    );
    assert!(matches!(decision, AdmissionDecision::Refused { .. }));
}

#[test]
fn a_queued_stream_is_refused_once_it_cannot_be_on_time() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let ticket = queued(&queue.offer(start(), stream(start(), TARGET), BACKLOG, 0.5));
    assert_eq!(
        advance(&mut queue, start() + milliseconds(400), 0),
        (vec![], vec![])
    );
    assert_eq!(
        advance(&mut queue, start() + milliseconds(500), 0),
        (vec![], vec![ticket])
    );
}

#[test]
fn a_withdrawn_stream_neither_starts_nor_is_refused() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let ticket = queued(&queue.offer(start(), stream(start(), TARGET), BACKLOG, 0.5));
    queue.withdraw(ticket);
    assert_eq!(advance(&mut queue, start() + TARGET, 5), (vec![], vec![]));
}

/// The target minus the prefill lead leaves 470 ms, in which five streams start.
#[test_case(0, 10.0, 5; "the queue of this entry alone")]
#[test_case(3, 10.0, 2; "streams that wait at peers count")]
#[test_case(9, 10.0, 0; "streams that wait at peers use all capacity")]
#[test_case(0, 0.0, 1; "no stream runs so none will complete")]
fn a_stream_that_would_wait_too_long_is_refused_on_arrival(
    peers_on_time: u32,
    completions_per_second: f64,
    admitted: usize,
) {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let backlog = FleetBacklog {
        peers_waiting: WaitingCounts {
            on_time: peers_on_time,
            late: 50,
            by_rank: RankCounts::NONE,
        },
        completions_per_second,
        engines_wait: Duration::ZERO,
    };
    let waiting = (0..10)
        .map(|_| queue.offer(start(), stream(start(), TARGET), backlog, 0.5))
        .filter(|decision| matches!(decision, AdmissionDecision::Queued(_)));
    assert_eq!(waiting.count(), admitted);
}

/// Guards against a queue that holds streams only to refuse them later. For four seconds, twice as
/// many streams arrive as the engines can start. At least three in ten are refused on arrival, at
/// most one in ten is refused after waiting, and every started one starts within its target.
#[test]
fn the_excess_of_a_burst_is_refused_on_arrival() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let mut arrived: BTreeMap<TicketId, Instant> = BTreeMap::new();
    let (mut offered, mut refused_on_arrival, mut refused_late, mut started) = (0, 0, 0, 0);
    for tick in 0..400_u64 {
        let now = start() + milliseconds(tick * 10);
        // 20 arrive and 10 start per second.
        if tick % 5 == 0 {
            offered += 1;
            match queue.offer(now, stream(now, TARGET), BACKLOG, 0.5) {
                AdmissionDecision::Queued(ticket) => drop(arrived.insert(ticket, now)),
                AdmissionDecision::Refused { .. } => refused_on_arrival += 1,
            }
        }
        let (starting, refused) = advance(&mut queue, now, u32::from(tick % 10 == 0));
        started += starting.len();
        for ticket in starting {
            assert!(now - arrived[&ticket] <= TARGET);
        }
        refused_late += refused.len();
    }
    assert_eq!(offered, 80);
    assert!(started >= 38, "capacity is used: {started}");
    assert!(
        refused_late * 10 <= offered,
        "few are refused after waiting: {refused_late}"
    );
    assert!(
        refused_on_arrival * 10 >= offered * 3,
        "most others are refused on arrival: {refused_on_arrival}"
    );
}

proptest! {
    /// Each queued stream is started or refused exactly once, and none waits longer than the limit.
    #[test]
    fn every_queued_stream_is_started_or_refused_once(
        steps in prop::collection::vec((0..3u8, 0..900u64, 0..200u64, 0..3u32), 1..80),
    ) {
        let mut queue = AdmissionQueue::new(AdmissionSettings::default());
        let mut now = start();
        let mut open: BTreeMap<TicketId, Instant> = BTreeMap::new();
        for (offers, age, pause, capacity) in steps {
            now += milliseconds(pause);
            for _ in 0..offers {
                let requested_at = now - milliseconds(age);
                if let AdmissionDecision::Queued(ticket) = queue.offer(now, retried_stream(requested_at, now, TARGET), BACKLOG, 0.5) {
                    prop_assert!(open.insert(ticket, now).is_none());
                }
            }
            let (started, refused) = advance(&mut queue, now, capacity);
            for ticket in started.into_iter().chain(refused) {
                prop_assert!(open.remove(&ticket).is_some());
            }
            prop_assert_eq!(queue.len(), open.len());
            let longest = milliseconds(1_500);
            prop_assert!(open.values().all(|since| now - *since <= longest));
        }
    }
}

#[test]
fn a_stream_is_refused_at_once_if_all_engines_pause_for_longer_than_it_can_wait() {
    let now = start();
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let pause = Duration::from_secs(9);
    let backlog = FleetBacklog {
        engines_wait: pause,
        ..BACKLOG
    };
    let target = Duration::from_millis(800);
    let decision = queue.offer(now, stream(now, target), backlog, 0.5);
    assert_eq!(decision, AdmissionDecision::Refused { retry_after: pause });
    let short = FleetBacklog {
        engines_wait: Duration::from_millis(100),
        ..BACKLOG
    };
    let decision = queue.offer(now, stream(now, target), short, 0.5);
    assert!(matches!(decision, AdmissionDecision::Queued(_)));
}
