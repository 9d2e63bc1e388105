//! The queue of streams under bursts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, AdmissionVerdict, FleetBacklog, StartClass,
    StreamDemand, StreamShape, TicketId, WaitingCounts, WaitingStream,
};
use proptest::prelude::*;
use test_case::test_case;

use super::support::{milliseconds, start};

/// Ten streams end in a second, and none waits elsewhere.
const PACE: FleetBacklog = FleetBacklog {
    peers_waiting: WaitingCounts {
        on_time: 0,
        late: 0,
    },
    completions_per_second: 10.0,
};

const TARGET: Duration = Duration::from_millis(800);

fn stream(asked: Instant, target: Duration) -> WaitingStream {
    arrived_later(asked, asked, target)
}

fn arrived_later(asked: Instant, arrived: Instant, target: Duration) -> WaitingStream {
    WaitingStream {
        arrived_at: arrived,
        demand: StreamDemand {
            service: "notes".into(),
            shape: StreamShape {
                held_tokens: 5_000,
                remaining_tokens: 4_000,
            },
        },
        requested_at: asked,
        latency_target: target,
    }
}

fn waits(verdict: &AdmissionVerdict) -> TicketId {
    let AdmissionVerdict::Queued(ticket) = *verdict else {
        panic!("{verdict:?}");
    };
    ticket
}

/// Starts at most `room` streams.
fn advance(
    queue: &mut AdmissionQueue,
    now: Instant,
    mut room: u32,
) -> (Vec<TicketId>, Vec<TicketId>) {
    let effects = queue.advance(
        now,
        || 0.5,
        |_, _| {
            room = room.checked_sub(1)?;
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
fn a_stream_starts_at_once_where_there_is_room() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let ticket = waits(&queue.offer(start(), stream(start(), TARGET), PACE, 0.5));
    assert_eq!(advance(&mut queue, start(), 1), (vec![ticket], vec![]));
    assert!(queue.is_empty());
}

#[test]
fn the_first_event_that_is_due_first_goes_first() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let patient = waits(&queue.offer(start(), stream(start(), TARGET * 3), PACE, 0.5));
    let urgent = waits(&queue.offer(start(), stream(start(), TARGET), PACE, 0.5));
    assert_eq!(advance(&mut queue, start(), 2).0, [urgent, patient]);
}

#[test]
fn a_stream_that_comes_back_late_goes_after_those_on_time_and_leaves_room() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let asked = start() - Duration::from_secs(3);
    let late = waits(&queue.offer(start(), arrived_later(asked, start(), TARGET), PACE, 0.5));
    let fresh = waits(&queue.offer(start(), stream(start(), TARGET), PACE, 0.5));
    let mut classes = Vec::new();
    let effects = queue.advance(
        start(),
        || 0.5,
        |_, class| {
            classes.push(class);
            Some(())
        },
    );
    let expected = [fresh, late].map(|ticket| AdmissionEffect::Start {
        ticket,
        placement: (),
    });
    assert_eq!(effects, expected);
    assert_eq!(classes, [StartClass::OnTime, StartClass::Late]);
    let settings = queue.settings();
    assert!(settings.memory_fraction(classes[1]) < settings.memory_fraction(classes[0]));
}

#[test]
fn a_late_stream_is_refused_at_once_while_others_wait_that_can_be_on_time() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    waits(&queue.offer(start(), stream(start(), TARGET), PACE, 0.5));
    let asked = start() - Duration::from_secs(3);
    let verdict = queue.offer(start(), arrived_later(asked, start(), TARGET), PACE, 0.5);
    assert!(matches!(verdict, AdmissionVerdict::Refused { .. }));
}

#[test]
fn a_stream_is_refused_when_it_cannot_be_on_time_any_more() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let ticket = waits(&queue.offer(start(), stream(start(), TARGET), PACE, 0.5));
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
    let ticket = waits(&queue.offer(start(), stream(start(), TARGET), PACE, 0.5));
    queue.withdraw(ticket);
    assert_eq!(advance(&mut queue, start() + TARGET, 5), (vec![], vec![]));
}

/// The rest of the target after the lead is 470 ms, in which five streams start.
#[test_case(0, 10.0, 5; "the queue of this entry alone")]
#[test_case(3, 10.0, 2; "streams that wait elsewhere count too")]
#[test_case(9, 10.0, 0; "the room is spoken for elsewhere")]
#[test_case(0, 0.0, 1; "nothing runs, so that no room will come")]
fn what_would_wait_too_long_is_refused_at_its_arrival(elsewhere: u32, ends: f64, admitted: usize) {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let pace = FleetBacklog {
        peers_waiting: WaitingCounts {
            on_time: elsewhere,
            late: 50,
        },
        completions_per_second: ends,
    };
    let waiting = (0..10)
        .map(|_| queue.offer(start(), stream(start(), TARGET), pace, 0.5))
        .filter(|verdict| matches!(verdict, AdmissionVerdict::Queued(_)));
    assert_eq!(waiting.count(), admitted);
}

/// A burst of twice what the engines start for four seconds: four in ten are turned away at once, and
/// nobody waits for nothing for long.
#[test]
fn a_burst_is_turned_away_at_its_arrival() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let mut arrived: BTreeMap<TicketId, Instant> = BTreeMap::new();
    let (mut asked, mut at_once, mut held, mut started) = (0, 0, 0, 0);
    for tick in 0..400_u64 {
        let now = start() + milliseconds(tick * 10);
        // 20 ask and 10 start in a second.
        if tick % 5 == 0 {
            asked += 1;
            match queue.offer(now, stream(now, TARGET), PACE, 0.5) {
                AdmissionVerdict::Queued(ticket) => drop(arrived.insert(ticket, now)),
                AdmissionVerdict::Refused { .. } => at_once += 1,
            }
        }
        let (begun, refused) = advance(&mut queue, now, u32::from(tick % 10 == 0));
        started += begun.len();
        for ticket in begun {
            assert!(now - arrived[&ticket] <= TARGET);
        }
        held += refused.len();
    }
    assert_eq!(asked, 80);
    assert!(started >= 38, "every start is used: {started}");
    assert!(held * 10 <= asked, "few are held and refused: {held}");
    assert!(
        at_once * 10 >= asked * 3,
        "most of the others are refused at once: {at_once}"
    );
}

proptest! {
    /// Each stream that waits is started or refused once, and none waits beyond its time.
    #[test]
    fn every_ticket_ends_once(
        steps in prop::collection::vec((0..3u8, 0..900u64, 0..200u64, 0..3u32), 1..80),
    ) {
        let mut queue = AdmissionQueue::new(AdmissionSettings::default());
        let mut now = start();
        let mut open: BTreeMap<TicketId, Instant> = BTreeMap::new();
        for (offers, age, pause, room) in steps {
            now += milliseconds(pause);
            for _ in 0..offers {
                let asked = now - milliseconds(age);
                if let AdmissionVerdict::Queued(ticket) = queue.offer(now, arrived_later(asked, now, TARGET), PACE, 0.5) {
                    prop_assert!(open.insert(ticket, now).is_none());
                }
            }
            let (started, refused) = advance(&mut queue, now, room);
            for ticket in started.into_iter().chain(refused) {
                prop_assert!(open.remove(&ticket).is_some());
            }
            prop_assert_eq!(queue.len(), open.len());
            let longest = milliseconds(1_500);
            prop_assert!(open.values().all(|since| now - *since <= longest));
        }
    }
}
