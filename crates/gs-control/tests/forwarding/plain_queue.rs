//! Tests of the queue of plain requests under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    CallerOrder, CapacityTracker, DirectorySettings, FreeServer, HeldRequest, LimitSettings,
    LimitTracker, LoadSettings, LoadTracker, OriginSettings, OriginTracker, PlacementView,
    PlainDecision, PlainEffect, PlainPlacement, PlainQueue, PlainSettings, ServerDirectory,
    ServerLoad, ServiceCapacity, TicketId, choose_free_server, service_capacity,
};
use test_case::test_case;

use super::overload::{
    Attempt, ClientGroup, Outcome, QueueModel, assert_equal_parts, assert_flood_pays,
    assert_nothing_gained, assert_ranks, assert_returns_preferred, flooded, impatient, patient,
    run, three_ranks, twice_as_much,
};
use super::support::{milliseconds, server, start};

/// Requests that the servers complete per second.
const RATE: f64 = 40.0;

/// Time limit of the requests.
const TIME_LIMIT: Duration = Duration::from_secs(14);

/// Servers with 12 slots in all, of one entry.
const CAPACITY: ServiceCapacity = ServiceCapacity {
    slots: 12,
    entries: 1,
    own_requests: 12,
};

/// The queue of one entry that is alone in front of the servers.
struct PlainModel {
    queue: PlainQueue,
    tickets: BTreeMap<TicketId, u64>,
    targets: Vec<Duration>,
}

fn request(attempt: &Attempt, target: Duration, order: CallerOrder) -> HeldRequest {
    HeldRequest {
        service: "desk".into(),
        excluded: Vec::new(),
        order,
        requested_at: attempt.requested_at,
        arrived_at: attempt.arrived_at,
        latency_target: target,
        answer_due: attempt.requested_at + TIME_LIMIT,
    }
}

impl QueueModel for PlainModel {
    fn offer(
        &mut self,
        now: Instant,
        id: u64,
        attempt: &Attempt,
        order: CallerOrder,
    ) -> Option<Duration> {
        let held = request(attempt, self.targets[attempt.group], order);
        let draw = id as f64 * 0.618 % 1.0;
        match self.queue.offer(now, held, CAPACITY, draw) {
            PlainDecision::Held(ticket) => {
                self.tickets.insert(ticket, id);
                None
            }
            PlainDecision::Refused { retry_after } => Some(retry_after),
        }
    }

    fn advance(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(u64) -> bool,
        share_of: &dyn Fn(&str) -> f64,
    ) -> (Vec<u64>, Vec<(u64, Duration)>) {
        self.queue.refresh_shares(now, share_of);
        let find = |held: &HeldRequest| match fits(held.order.size) {
            true => PlainPlacement::Free(()),
            false => PlainPlacement::Full,
        };
        let effects = self.queue.advance(now, |_| CAPACITY, || 0.5, find);
        let mut decided = (Vec::new(), Vec::new());
        for effect in effects {
            match effect {
                PlainEffect::Send { ticket, .. } => {
                    decided.0.extend(self.tickets.remove(&ticket));
                }
                PlainEffect::Refuse {
                    ticket,
                    retry_after,
                } => {
                    let id = self.tickets.remove(&ticket);
                    decided.1.extend(id.map(|id| (id, retry_after)));
                }
                other => panic!("{other:?}"),
            }
        }
        decided
    }

    fn record_end(&mut self, now: Instant, took: Duration) {
        self.queue.record_answer(now, &"desk".into(), took);
    }
}

/// Runs clients for a minute before servers that complete 40 requests per second.
fn run_plain(groups: &[ClientGroup]) -> Vec<Outcome> {
    let mut model = PlainModel {
        queue: PlainQueue::new(PlainSettings::default()),
        tickets: BTreeMap::new(),
        targets: groups.iter().map(|group| group.target).collect(),
    };
    let service_time = milliseconds(300);
    let length = Duration::from_secs(60);
    run(
        &mut model,
        groups,
        u64::from(CAPACITY.slots),
        service_time,
        length,
    )
}

#[test]
fn twice_as_much_as_fits_is_served_on_time_in_equal_parts() {
    assert_equal_parts(&run_plain(&twice_as_much(RATE)), RATE * 60.0);
}

#[test]
fn a_workspace_at_7_5_times_its_usual_load_pays_for_it_itself() {
    assert_flood_pays(&run_plain(&flooded(RATE)), 0.97, 0.2 * RATE * 60.0);
}

#[test]
fn urgent_ranks_are_served_more_often_and_none_starves() {
    assert_ranks(&run_plain(&three_ranks(RATE)), 0.95);
}

#[test]
fn clients_that_repeat_at_once_gain_nothing() {
    assert_nothing_gained(&run_plain(&impatient(RATE, milliseconds(800))));
}

#[test]
fn clients_that_came_back_as_told_are_refused_less_often_than_new_ones() {
    assert_returns_preferred(&run_plain(&patient(RATE, Duration::from_secs(5))));
}

fn held(rank: u8, workspace: &str, share: f64) -> HeldRequest {
    let attempt = Attempt {
        group: 0,
        requested_at: start(),
        arrived_at: start(),
        size: 1,
    };
    let order = CallerOrder {
        rank,
        workspace: workspace.to_owned(),
        route: "x".to_owned(),
        share,
        increment: 1.0,
        size: 1,
        gives_up_at: None,
        has_waited: false,
    };
    request(&attempt, milliseconds(800), order)
}

/// Offers requests at one moment to a queue; returns it with their tickets.
fn holding(requests: Vec<HeldRequest>) -> (PlainQueue, Vec<TicketId>) {
    let mut queue = PlainQueue::new(PlainSettings::default());
    let now = requests[0].arrived_at;
    let tickets = requests
        .into_iter()
        .map(|request| match queue.offer(now, request, CAPACITY, 0.5) {
            PlainDecision::Held(ticket) => ticket,
            refused @ PlainDecision::Refused { .. } => panic!("{refused:?}"),
        })
        .collect();
    (queue, tickets)
}

fn advance<P>(
    queue: &mut PlainQueue,
    now: Instant,
    find: impl FnMut(&HeldRequest) -> PlainPlacement<P>,
) -> Vec<PlainEffect<P>> {
    queue.advance(now, |_| CAPACITY, || 0.5, find)
}

#[test]
fn held_requests_go_by_rank_then_share_then_due_time() {
    let requests = vec![held(1, "a", 0.0), held(0, "b", 5.0), held(0, "c", 4.5)];
    let now = requests[0].arrived_at;
    let (mut queue, tickets) = holding(requests);
    let sent = advance(&mut queue, now, |_| PlainPlacement::Free(()));
    let sent = sent.iter().map(|effect| match effect {
        PlainEffect::Send { ticket, .. } => *ticket,
        other => panic!("{other:?}"),
    });
    let expected = [tickets[2], tickets[1], tickets[0]];
    assert_eq!(sent.collect::<Vec<_>>(), expected);
    assert!(queue.is_empty());
}

/// Guards against requests that are held beyond half of their latency target or their deadline.
#[test_case(TIME_LIMIT, 400; "half of the latency target")]
#[test_case(milliseconds(150), 150; "the deadline")]
fn a_request_is_held_for_a_bounded_time(time_limit: Duration, held_ms: u64) {
    let mut bounded = held(0, "a", 0.0);
    bounded.answer_due = bounded.arrived_at + time_limit;
    let arrived = bounded.arrived_at;
    let (mut queue, tickets) = holding(vec![bounded]);
    let full = |_: &HeldRequest| PlainPlacement::<()>::Full;
    let before = arrived + milliseconds(held_ms - 1);
    assert_eq!(advance(&mut queue, before, full), []);
    let effects = advance(&mut queue, arrived + milliseconds(held_ms), full);
    let [PlainEffect::Refuse { ticket, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(ticket, tickets[0]);
}

/// Guards against an entry that refuses everything because reports of peers are old.
#[test]
fn an_entry_without_running_requests_sends_the_first_after_its_hold() {
    let requests = vec![held(0, "a", 0.0), held(0, "b", 1.0)];
    let held_until = requests[1].arrived_at + milliseconds(400);
    let (mut queue, tickets) = holding(requests);
    let idle = ServiceCapacity {
        own_requests: 0,
        ..CAPACITY
    };
    let full = |_: &HeldRequest| PlainPlacement::<()>::Full;
    let effects = queue.advance(held_until, |_| idle, || 0.5, full);
    let [
        PlainEffect::SendAnyway { ticket },
        PlainEffect::Refuse { .. },
    ] = effects[..]
    else {
        panic!("{effects:?}");
    };
    assert_eq!(ticket, tickets[0]);
}

#[test]
fn a_withdrawn_request_is_not_sent_and_one_without_servers_is_released() {
    let requests = vec![held(0, "a", 0.0), held(0, "b", 0.0)];
    let now = requests[0].arrived_at;
    let (mut queue, tickets) = holding(requests);
    queue.withdraw(tickets[0]);
    let effects = advance(&mut queue, now, |_| PlainPlacement::<()>::NoServer);
    let released = PlainEffect::Release { ticket: tickets[1] };
    assert_eq!(effects, [released]);
}

/// Guards against a retried request whose remaining servers are full and that holds up the others.
#[test]
fn a_request_that_excludes_servers_does_not_hold_up_others() {
    let mut retried = held(0, "a", 0.0);
    retried.excluded = vec!["server-1".into()];
    let now = retried.arrived_at;
    let (mut queue, _) = holding(vec![retried, held(1, "b", 0.0)]);
    let effects = advance(&mut queue, now, |request| {
        match request.excluded.is_empty() {
            true => PlainPlacement::Free(()),
            false => PlainPlacement::Full,
        }
    });
    assert!(
        matches!(effects[..], [PlainEffect::Send { .. }]),
        "{effects:?}"
    );
}

/// Guards against requests that are held while a server has a free slot or a short queue, and against ones that
/// are sent to servers with long queues by the load of all entries or that have just refused a request.
#[test]
fn a_server_is_free_until_its_queue_is_long_or_it_refuses() {
    let now = start();
    let data_centre = "north".into();
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    directory.apply_list(now, vec![server(1, None), server(2, None)]);
    let (limits, origins) = (
        LimitTracker::new(LimitSettings::default()),
        OriginTracker::new(now, OriginSettings::default()),
    );
    let mut loads = LoadTracker::new(LoadSettings::default());
    let choose = |loads: &LoadTracker, excluded: &[_]| {
        let view = PlacementView {
            now,
            salt: 1,
            data_centre: &data_centre,
            directory: &directory,
            loads,
            limits: &limits,
            origins: &origins,
            capacity: &CapacityTracker::default(),
        };
        assert_eq!(service_capacity(&view, &"notes".into(), 3).slots, 8);
        choose_free_server(&view, &"notes".into(), excluded)
    };
    let (first, second) = (server(1, None).name, server(2, None).name);
    for _ in 0..9 {
        loads.add(&first, ServerLoad::REQUEST);
    }
    assert_eq!(
        choose(&loads, std::slice::from_ref(&second)),
        FreeServer::Free(first.clone())
    );
    loads.add(&first, ServerLoad::REQUEST);
    assert_eq!(choose(&loads, &[]), FreeServer::Free(second.clone()));
    assert_eq!(
        choose(&loads, std::slice::from_ref(&second)),
        FreeServer::Full
    );
    assert_eq!(
        choose(&loads, &[first, second.clone()]),
        FreeServer::NoServer
    );
    loads.record_full(now, &second);
    assert_eq!(choose(&loads, &[]), FreeServer::Full);
}
