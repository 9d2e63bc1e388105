//! Tests of the order of streams of several workspaces under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionDecision, AdmissionEffect, AdmissionQueue, AdmissionSettings, CallerOrder,
    FleetBacklog, RankWaiting, RecentUsage, SoftwareNeed, StartClass, StreamDemand, StreamShape,
    TicketId, WaitingCounts, WaitingStream,
};
use gs_control::relay::EntryLoad;
use test_case::test_case;

use super::overload::{
    Attempt, ClientGroup, Outcome, QueueModel, assert_equal_parts, assert_flood_pays,
    assert_nothing_gained, assert_ranks, assert_returns_preferred, flooded, impatient, patient,
    run, three_ranks, total, twice_as_much,
};
use super::support::{milliseconds, start};

/// The admission queue of one entry in front of engines that run `slots` streams.
struct StreamQueue {
    queue: AdmissionQueue,
    tickets: BTreeMap<TicketId, u64>,
    targets: Vec<Duration>,
    backlog: FleetBacklog,
    /// The workspaces of the streams that have started.
    started: Vec<String>,
}

impl StreamQueue {
    fn new(groups: &[ClientGroup], completions_per_second: f64) -> Self {
        Self {
            queue: AdmissionQueue::new(AdmissionSettings::default()),
            tickets: BTreeMap::new(),
            targets: groups.iter().map(|group| group.target).collect(),
            backlog: FleetBacklog {
                completions_per_second,
                ..FleetBacklog::default()
            },
            started: Vec::new(),
        }
    }
}

fn stream(attempt: &Attempt, target: Duration, order: Option<CallerOrder>) -> WaitingStream {
    WaitingStream {
        demand: StreamDemand {
            service: "notes".into(),
            shape: StreamShape {
                held_tokens: 5_000,
                remaining_tokens: 4_000,
            },
            software: SoftwareNeed::Any,
        },
        requested_at: attempt.requested_at,
        arrived_at: attempt.arrived_at,
        latency_target: target,
        order,
    }
}

impl QueueModel for StreamQueue {
    fn offer(
        &mut self,
        now: Instant,
        id: u64,
        attempt: &Attempt,
        order: CallerOrder,
    ) -> Option<Duration> {
        let waiting = stream(attempt, self.targets[attempt.group], Some(order));
        let draw = id as f64 * 0.618 % 1.0;
        match self.queue.offer(now, waiting, self.backlog, draw) {
            AdmissionDecision::Queued(ticket) => {
                self.tickets.insert(ticket, id);
                None
            }
            AdmissionDecision::Refused { retry_after } => Some(retry_after),
        }
    }

    fn advance(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(u64) -> bool,
        share_of: &dyn Fn(&str) -> f64,
    ) -> (Vec<u64>, Vec<(u64, Duration)>) {
        self.queue.refresh_shares(now, share_of);
        let started = &mut self.started;
        let start = |stream: &WaitingStream, _| {
            let order = stream.order.as_ref().expect("a rank");
            let fits = fits(order.size);
            started.extend(fits.then(|| order.workspace.clone()));
            fits.then_some(())
        };
        let mut effects = self.queue.advance(now, || 0.5, start);
        effects.extend(self.queue.refuse_hopeless(now, self.backlog, || 0.5));
        let mut decided = (Vec::new(), Vec::new());
        for effect in effects {
            match effect {
                AdmissionEffect::Start { ticket, .. } => {
                    decided.0.extend(self.tickets.remove(&ticket));
                }
                AdmissionEffect::Refuse {
                    ticket,
                    retry_after,
                } => {
                    let id = self.tickets.remove(&ticket);
                    decided.1.extend(id.map(|id| (id, retry_after)));
                }
            }
        }
        decided
    }
}

/// Entries of a fleet that share engines, with reports of their waiting streams that are 100 to 200 ms old.
/// Each entry knows the usage of workspaces at itself only.
struct StreamFleet {
    entries: Vec<StreamQueue>,
    usage: Vec<RecentUsage>,
    reports: [Vec<WaitingCounts>; 2],
    reported_at: Instant,
    quotas: BTreeMap<String, f64>,
    first: usize,
}

impl StreamFleet {
    fn new(groups: &[ClientGroup], entries: usize, completions_per_second: f64) -> Self {
        let quotas = groups.iter();
        let quotas = quotas.map(|group| (group.workspace.to_owned(), group.quota));
        let queue = || StreamQueue::new(groups, completions_per_second);
        Self {
            entries: std::iter::repeat_with(queue).take(entries).collect(),
            usage: vec![RecentUsage::default(); entries],
            reports: [
                vec![WaitingCounts::default(); entries],
                vec![WaitingCounts::default(); entries],
            ],
            reported_at: start(),
            quotas: quotas.collect(),
            first: 0,
        }
    }

    fn share(&self, entry: usize, now: Instant, workspace: &str) -> f64 {
        self.usage[entry].recent_cost(now, workspace) / self.quotas[workspace]
    }

    /// Replaces the reports from time to time, and what each entry knows of the others.
    fn exchange_reports(&mut self, now: Instant) {
        if now.saturating_duration_since(self.reported_at) < milliseconds(100) {
            return;
        }
        self.reported_at = now;
        let counts = self.entries.iter().map(|entry| entry.queue.waiting());
        let counts = counts.collect();
        self.reports[0] = std::mem::replace(&mut self.reports[1], counts);
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let mut peers = WaitingCounts::default();
            for (_, counts) in (0..)
                .zip(&self.reports[0])
                .filter(|(other, _)| *other != number)
            {
                peers.on_time += counts.on_time;
                peers.late += counts.late;
                peers.by_rank.add_all(&counts.by_rank);
            }
            entry.backlog.peers_waiting = peers;
        }
    }
}

impl QueueModel for StreamFleet {
    fn offer(
        &mut self,
        now: Instant,
        id: u64,
        attempt: &Attempt,
        mut order: CallerOrder,
    ) -> Option<Duration> {
        let entry = id as usize * 7 % self.entries.len();
        order.share = self.share(entry, now, &order.workspace);
        self.entries[entry].offer(now, id, attempt, order)
    }

    fn advance(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(u64) -> bool,
        _: &dyn Fn(&str) -> f64,
    ) -> (Vec<u64>, Vec<(u64, Duration)>) {
        self.exchange_reports(now);
        self.first += 1;
        let mut decided = (Vec::new(), Vec::new());
        for number in 0..self.entries.len() {
            let entry = (self.first + number) % self.entries.len();
            let names = self.quotas.keys();
            let shares: BTreeMap<String, f64> = names
                .map(|name| (name.clone(), self.share(entry, now, name)))
                .collect();
            let share_of = |name: &str| shares[name];
            let queue = &mut self.entries[entry];
            let (started, refused) = queue.advance(now, fits, &share_of);
            for workspace in std::mem::take(&mut queue.started) {
                self.usage[entry].record(now, &workspace, 1.0);
            }
            decided.0.extend(started);
            decided.1.extend(refused);
        }
        decided
    }
}

/// Runs clients for a minute before a fleet of entries that completes 40 streams per second.
fn run_fleet(groups: &[ClientGroup], entries: usize) -> Vec<Outcome> {
    let mut fleet = StreamFleet::new(groups, entries, 40.0);
    let service_time = Duration::from_secs(2);
    run(
        &mut fleet,
        groups,
        80,
        service_time,
        Duration::from_secs(60),
    )
}

/// Guards against a flood whose backlog at peers has the requests of others refused. Entries order their own
/// requests only, so that the part of the others falls with the number of entries.
#[test_case(6, 0.85; "6 entries")]
#[test_case(24, 0.75; "24 entries")]
#[test_case(75, 0.7; "75 entries")]
fn a_flood_at_all_entries_is_paid_by_itself_mostly(entries: usize, owed: f64) {
    assert_flood_pays(&run_fleet(&flooded(40.0), entries), owed, 8.0 * 60.0);
}

#[test]
fn urgent_ranks_are_served_more_often_by_a_fleet() {
    assert_ranks(&run_fleet(&three_ranks(40.0), 12), 0.6);
}

/// Runs clients for two minutes before engines that complete ten streams per second.
fn run_streams(groups: &[ClientGroup]) -> Vec<Outcome> {
    let mut queue = StreamQueue::new(groups, 10.0);
    let service_time = Duration::from_secs(2);
    run(
        &mut queue,
        groups,
        20,
        service_time,
        Duration::from_secs(120),
    )
}

#[test]
fn twice_as_much_as_fits_is_served_on_time_in_equal_parts() {
    assert_equal_parts(&run_streams(&twice_as_much(10.0)), 1_200.0);
}

#[test]
fn a_workspace_at_7_5_times_its_usual_load_pays_for_it_itself() {
    assert_flood_pays(&run_streams(&flooded(10.0)), 0.9, 2.0 * 120.0);
}

#[test]
fn urgent_ranks_are_served_more_often_and_none_starves() {
    assert_ranks(&run_streams(&three_ranks(10.0)), 0.8);
}

#[test_case(milliseconds(800); "where a return is always late")]
#[test_case(Duration::from_secs(5); "where a return can be on time")]
fn clients_that_repeat_at_once_gain_nothing(target: Duration) {
    assert_nothing_gained(&run_streams(&impatient(10.0, target)));
}

#[test]
fn clients_that_came_back_as_told_are_refused_less_often_than_new_ones() {
    assert_returns_preferred(&run_streams(&patient(10.0, Duration::from_secs(6))));
}

/// Load: twice as much memory as there is, one request in ten five times as large as the others. Guards
/// against large requests that others always overtake.
#[test]
fn the_largest_tenth_is_served_at_least_half_as_often() {
    let group = |name| ClientGroup {
        has_sizes: true,
        ..ClientGroup::new(name, 21.0, 10.0)
    };
    let groups = [group("a"), group("b")];
    let mut queue = StreamQueue::new(&groups, 21.0);
    let service_time = Duration::from_secs(2);
    let outcomes = run(
        &mut queue,
        &groups,
        60,
        service_time,
        Duration::from_secs(60),
    );
    let all = total(&outcomes);
    let large = all.large_served / all.large;
    assert!(large > all.served() / 2.0, "{large} {all:?}");
}

fn ranked_order(rank: u8, workspace: &str, share: f64) -> CallerOrder {
    CallerOrder {
        rank,
        workspace: workspace.to_owned(),
        route: "chat".to_owned(),
        share,
        increment: 1.0,
        size: 1,
        gives_up_at: None,
        has_waited: false,
    }
}

/// Offers streams of the given orders; returns their tickets in the order in which they start.
fn start_order(orders: &[Option<CallerOrder>]) -> Vec<TicketId> {
    let backlog = FleetBacklog {
        completions_per_second: 100.0,
        ..FleetBacklog::default()
    };
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    for order in orders {
        let attempt = Attempt {
            group: 0,
            requested_at: start(),
            arrived_at: start(),
            size: 1,
        };
        let waiting = stream(&attempt, milliseconds(800), order.clone());
        queue.offer(start(), waiting, backlog, 0.5);
    }
    let effects = queue.advance(start(), || 0.5, |_, _| Some(()));
    let tickets = effects.into_iter().map(|effect| match effect {
        AdmissionEffect::Start { ticket, .. } | AdmissionEffect::Refuse { ticket, .. } => ticket,
    });
    tickets.collect()
}

#[test]
fn streams_go_by_rank_then_by_share_and_without_workspaces_by_time() {
    let orders = [(1, "a", 0.0), (0, "b", 5.0), (0, "c", 4.5), (0, "c", 4.5)];
    let orders = orders.map(|(rank, name, share)| Some(ranked_order(rank, name, share)));
    // The first stream of c raises its share by 1, above that of b.
    assert_eq!(start_order(&orders), [2, 1, 3, 0]);
    assert_eq!(start_order(&[None, None, None]), [0, 1, 2]);
}

/// Guards against one service without memory that holds up the streams of all others.
#[test_case(true, 1; "with ranks")]
#[test_case(false, 0; "without ranks as before")]
fn a_stream_without_a_placement_holds_up_its_own_service(has_ranks: bool, started: usize) {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    for service in ["full", "full", "free"] {
        let attempt = Attempt {
            group: 0,
            requested_at: start(),
            arrived_at: start(),
            size: 1,
        };
        let order = has_ranks.then(|| ranked_order(0, "a", 0.0));
        let mut waiting = stream(&attempt, milliseconds(800), order);
        waiting.demand.service = service.into();
        let backlog = FleetBacklog {
            completions_per_second: 100.0,
            ..FleetBacklog::default()
        };
        queue.offer(start(), waiting, backlog, 0.5);
    }
    let place =
        |stream: &WaitingStream, _| (stream.demand.service.as_str() == "free").then_some(());
    assert_eq!(queue.advance(start(), || 0.5, place).len(), started);
}

/// Guards against a report that grows where no workspaces are configured, and against ranks that are lost
/// on the way.
#[test]
fn reports_hold_the_waiting_streams_by_rank_only_where_there_are_ranks() {
    let mut load = EntryLoad::default();
    load.waiting.on_time = 3;
    load.waiting.late = 2;
    let text = serde_json::to_string(&load).expect("a report");
    assert_eq!(text, "[3,2,[],[],[],[],[],[],[]]");
    load.waiting.by_rank.add(
        0,
        RankWaiting {
            on_time: 1,
            late: 2,
        },
    );
    load.waiting.by_rank.add(
        200,
        RankWaiting {
            on_time: 2,
            late: 0,
        },
    );
    let text = serde_json::to_string(&load).expect("a report");
    let read: EntryLoad = serde_json::from_str(&text).expect("a report");
    assert_eq!(read, load);
    let ranks = &read.waiting.by_rank;
    assert_eq!(ranks.before(StartClass::OnTime, 255), 1);
    assert_eq!(ranks.at(StartClass::OnTime, 255), 2);
}
