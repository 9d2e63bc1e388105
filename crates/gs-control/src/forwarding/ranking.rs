//! The order of waiting requests where the configuration has workspaces: by rank, then by what their
//! workspaces were served recently, then by due time.
//!
//! Strict ranks alone would serve the least urgent requests never while the fleet is overloaded. A rank
//! or a route that is served far less often than all therefore goes first until it has its floor.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::admission::{StartClass, TicketId};
use super::ranks::{CallerOrder, RANK_COUNT, RankCounts};
use super::returns::{ReturnLedger, ReturnState};
use super::shares::DecayedSum;

/// Half-life of the counts of offered and served requests.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(10);

/// How often a rank or a route is served at least, as a fraction of how often all requests are. A
/// quarter is owed; the rest is a margin, since each entry knows its own requests only.
const SERVED_FLOOR: f64 = 0.35;

/// How often the largest tenth of a route's requests is served at least, as a fraction of how often all
/// of the route are. Half is owed.
const LARGE_FLOOR: f64 = 0.65;

/// Number of requests that a group is assumed to have had before its first one, so that a single refusal
/// does not put it below its floor.
const PRIOR_REQUESTS: f64 = 2.0;

/// Step of the estimate of the size that nine of ten requests of a route do not exceed.
const SIZE_STEP: f64 = 0.1;

/// Shares that differ by less than this are equal, so that their requests go by due time.
const SHARE_STEP: f64 = 1e-3;

/// Requests that are compared with others in how often they are served.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ServedGroup {
    All,
    Rank(usize),
    Route(String),
    /// The largest tenth of a route's requests.
    Large(String),
}

/// Decided and served requests of a group, decayed. Those that still wait are not decided.
#[derive(Clone, Copy, Debug)]
struct ServedCounts {
    decided: DecayedSum,
    served: DecayedSum,
}

impl ServedCounts {
    fn new(now: Instant) -> Self {
        Self {
            decided: DecayedSum::new(now, COUNT_HALF_LIFE),
            served: DecayedSum::new(now, COUNT_HALF_LIFE),
        }
    }

    /// Returns how often requests are served, from 0 to 1. A group of few requests counts as `prior`.
    fn rate(&self, now: Instant, prior: f64) -> f64 {
        let served = self.served.value(now) + PRIOR_REQUESTS * prior;
        served / (self.decided.value(now) + PRIOR_REQUESTS)
    }
}

/// Place of a waiting request. The order of the fields is that of the comparison.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RankedKey {
    class: StartClass,
    /// 0 for a request that goes first because of a floor, otherwise its rank and 1.
    tier: usize,
    /// The share in steps of [`SHARE_STEP`].
    share: u64,
    has_waited: Reverse<bool>,
    due: Instant,
    ticket: TicketId,
}

impl RankedKey {
    /// Whether the request goes first because its rank or route has not got its floor.
    fn is_promoted(&self) -> bool {
        self.tier == 0
    }

    pub fn class(&self) -> StartClass {
        self.class
    }

    pub fn ticket(&self) -> TicketId {
        self.ticket
    }
}

/// The ranks and routes that are served less often than their floors.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedFloors<'a> {
    ranks: [bool; RANK_COUNT],
    routes: BTreeSet<&'a str>,
    /// The routes whose large requests are served less often than their floor.
    large: BTreeSet<&'a str>,
}

/// Returns a share in steps of [`SHARE_STEP`].
fn share_steps(share: f64) -> u64 {
    (share.max(0.0) / SHARE_STEP) as u64
}

/// The mix of workspaces among the requests that have arrived at this entry lately. The requests that wait
/// at peers are assumed to have the same mix.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalMix {
    /// Shares in ascending order, each with the requests of all workspaces up to it.
    by_share: Vec<(u64, f64)>,
    total: f64,
}

impl ArrivalMix {
    /// Returns the fraction of requests that come from workspaces with a smaller share, or from the
    /// workspace itself, which has sent `own`.
    fn fraction_ahead(&self, share: u64, own: f64) -> f64 {
        if self.total <= 0.0 {
            return 1.0;
        }
        let smaller = self.by_share.partition_point(|(other, _)| *other < share);
        let before = smaller
            .checked_sub(1)
            .map_or(0.0, |last| self.by_share[last].1);
        ((before + own) / self.total).min(1.0)
    }
}

/// When a request was sent, and when its answer or first event is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerTiming {
    pub requested_at: Instant,
    pub arrived_at: Instant,
    pub latency_target: Duration,
}

impl CallerTiming {
    /// Returns the due time by which requests are ordered. A client that repeats at once is ordered like
    /// one that has just sent its first attempt.
    fn due(&self, has_waited: bool) -> Instant {
        let from = match has_waited {
            true => self.requested_at,
            false => self.arrived_at,
        };
        from + self.latency_target
    }
}

/// What the order depends on besides the requests: the shares of their workspaces, and how often ranks
/// and routes were served.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankedOrder {
    shares: BTreeMap<String, f64>,
    arrivals: BTreeMap<String, DecayedSum>,
    served: BTreeMap<ServedGroup, ServedCounts>,
    /// Size that nine of ten requests of a route do not exceed, by route.
    large_sizes: BTreeMap<String, f64>,
    returns: ReturnLedger,
}

impl RankedOrder {
    /// Takes a new request into account.
    pub fn record_offered(&mut self, now: Instant, order: &CallerOrder) {
        self.shares.insert(order.workspace.clone(), order.share);
        let arrivals = self.arrivals.entry(order.workspace.clone());
        let arrivals = arrivals.or_insert_with(|| DecayedSum::new(now, COUNT_HALF_LIFE));
        arrivals.add(now, 1.0);
        let size = order.size as f64;
        let large = self.large_sizes.entry(order.route.clone()).or_insert(size);
        *large *= match size > *large {
            true => 1.0 + 0.9 * SIZE_STEP,
            false => 1.0 - 0.1 * SIZE_STEP,
        };
    }

    /// Takes into account that a request is sent to a server.
    pub fn record_served(&mut self, now: Instant, order: &CallerOrder) {
        if let Some(share) = self.shares.get_mut(&order.workspace) {
            *share += order.increment;
        }
        self.record_decided(now, order, 1.0);
    }

    /// Takes into account that a request is refused.
    pub fn record_refused(&mut self, now: Instant, order: &CallerOrder) {
        self.record_decided(now, order, 0.0);
    }

    fn record_decided(&mut self, now: Instant, order: &CallerOrder, served: f64) {
        for group in self.groups(order) {
            let counts = self.served.entry(group);
            let counts = counts.or_insert_with(|| ServedCounts::new(now));
            counts.decided.add(now, 1.0);
            counts.served.add(now, served);
        }
    }

    /// Replaces the shares of all known workspaces.
    pub fn refresh_shares(&mut self, now: Instant, mut share_of: impl FnMut(&str) -> f64) {
        self.arrivals.retain(|_, sum| !sum.is_negligible(now));
        self.served
            .retain(|_, counts| !counts.decided.is_negligible(now));
        let Self {
            shares, arrivals, ..
        } = self;
        shares.retain(|workspace, _| arrivals.contains_key(workspace));
        for (workspace, share) in shares {
            *share = share_of(workspace);
        }
    }

    /// Returns the place of a request.
    pub fn key(
        &self,
        floors: &ServedFloors<'_>,
        class: StartClass,
        order: &CallerOrder,
        timing: &CallerTiming,
        ticket: TicketId,
    ) -> RankedKey {
        let share = self.shares.get(&order.workspace).copied();
        RankedKey {
            class,
            tier: match self.is_underserved(floors, order) {
                true => 0,
                false => order.level() + 1,
            },
            share: share_steps(share.unwrap_or(order.share)),
            has_waited: Reverse(order.has_waited),
            due: timing.due(order.has_waited),
            ticket,
        }
    }

    /// Sorts requests. Each counts for its workspace's share when those behind it are compared, so that
    /// workspaces of equal shares take turns and the number of requests ahead of one is known.
    pub fn sort<T>(&self, mut requests: Vec<(RankedKey, &CallerOrder, T)>) -> Vec<(RankedKey, T)> {
        requests.sort_by_key(|(key, _, _)| *key);
        let mut added: BTreeMap<&str, f64> = BTreeMap::new();
        let mut sorted = Vec::with_capacity(requests.len());
        for (key, order, request) in requests {
            let added = added.entry(&order.workspace).or_default();
            let share = key.share.saturating_add(share_steps(*added));
            *added += order.increment;
            sorted.push((RankedKey { share, ..key }, request));
        }
        sorted.sort_by_key(|(key, _)| *key);
        sorted
    }

    /// Returns the mix of workspaces among the requests that have arrived lately.
    pub fn arrival_mix(&self, now: Instant) -> ArrivalMix {
        let arrivals = self.arrivals.iter().map(|(workspace, arrivals)| {
            let share = self.shares.get(workspace).copied().unwrap_or_default();
            (share_steps(share), arrivals.value(now))
        });
        let mut by_share: Vec<(u64, f64)> = arrivals.collect();
        by_share.sort_by_key(|(share, _)| *share);
        let mut total = 0.0;
        for (_, count) in &mut by_share {
            total += *count;
            *count = total;
        }
        ArrivalMix { by_share, total }
    }

    /// Estimates how many of the requests that wait at peers are ahead of a request: those of better
    /// ranks, and of its own rank those of its own workspace and of workspaces with smaller shares.
    pub fn peers_ahead(
        &self,
        now: Instant,
        key: &RankedKey,
        order: &CallerOrder,
        mix: &ArrivalMix,
        peers: &RankCounts,
    ) -> f64 {
        if key.is_promoted() {
            return 0.0;
        }
        let own = self.arrivals.get(&order.workspace);
        let own = own.map_or(0.0, |arrivals| arrivals.value(now));
        let better = peers.before(key.class, order.rank);
        f64::from(better)
            + mix.fraction_ahead(key.share, own) * f64::from(peers.at(key.class, order.rank))
    }

    /// Returns how many requests per second this entry has sent to servers lately.
    fn served_per_second(&self, now: Instant) -> f64 {
        let all = self.served.get(&ServedGroup::All);
        all.map_or(0.0, |counts| counts.served.rate(now))
    }

    /// Determines whether the client of a new request came back as told. A client that this entry has not
    /// refused lately is judged by its age, since another entry may have refused it. Returns the time that
    /// a client which came back early has left until it should return.
    pub fn recognize_return(
        &mut self,
        now: Instant,
        order: &mut CallerOrder,
        timing: &CallerTiming,
        shortest_return: Duration,
        draw: f64,
    ) -> Option<Duration> {
        let state = self
            .returns
            .recognize(now, &order.workspace, order.gives_up_at);
        let age = timing
            .arrived_at
            .saturating_duration_since(timing.requested_at);
        order.has_waited = match state {
            ReturnState::AsTold => true,
            ReturnState::Early { .. } => false,
            ReturnState::Unknown => age >= shortest_return,
        };
        match state {
            // Requests that one client sends at the same moment look like repeats; they must not all come
            // back at the same moment.
            ReturnState::Early { left } => Some(left + shortest_return.mul_f64(draw / 2.0)),
            ReturnState::AsTold | ReturnState::Unknown => None,
        }
    }

    /// Returns the time after which a refused client should return: when the backlog has gone and those
    /// who were told to return earlier, at its rank or a better one, have been served. If its request can
    /// still be on time, it is told to return in half of the time that is left, `on_time_left`, at the
    /// latest. `draw`, from 0 to 1, spreads the returns.
    pub fn return_delay(
        &mut self,
        now: Instant,
        order: &CallerOrder,
        backlog: Duration,
        on_time_left: Duration,
        bounds: (Duration, Duration),
        draw: f64,
    ) -> Duration {
        let expected = self.returns.expected(now, order.level()) as f64;
        let returns = Duration::try_from_secs_f64(expected / self.served_per_second(now));
        let (shortest, longest) = bounds;
        let longest = match on_time_left / 2 > shortest {
            true => longest.min(on_time_left / 2),
            false => longest,
        };
        let room = backlog.max(returns.unwrap_or_default());
        let room = room.clamp(shortest, longest);
        let delay = room + room.mul_f64(0.5 * draw.clamp(0.0, 1.0));
        self.returns.promise(
            now,
            &order.workspace,
            order.gives_up_at,
            order.level(),
            delay,
        );
        delay
    }

    fn groups(&self, order: &CallerOrder) -> Vec<ServedGroup> {
        let mut groups = vec![
            ServedGroup::All,
            ServedGroup::Rank(order.level()),
            ServedGroup::Route(order.route.clone()),
        ];
        if self.is_large(order) {
            groups.push(ServedGroup::Large(order.route.clone()));
        }
        groups
    }

    fn is_large(&self, order: &CallerOrder) -> bool {
        let large = self.large_sizes.get(&order.route);
        large.is_some_and(|large| order.size as f64 > *large)
    }

    /// Returns which ranks and routes are served less often than their floors.
    pub fn floors(&self, now: Instant) -> ServedFloors<'_> {
        let rate = |group: &ServedGroup, prior: f64| {
            let counts = self.served.get(group);
            counts.map_or(prior, |counts| counts.rate(now, prior))
        };
        let all = rate(&ServedGroup::All, 1.0);
        let mut floors = ServedFloors::default();
        for group in self.served.keys() {
            match group {
                ServedGroup::All => {}
                ServedGroup::Rank(level) => {
                    floors.ranks[*level] = rate(group, all) < SERVED_FLOOR * all;
                }
                ServedGroup::Route(route) if rate(group, all) < SERVED_FLOOR * all => {
                    floors.routes.insert(route);
                }
                ServedGroup::Route(_) => {}
                ServedGroup::Large(route) => {
                    let of_route = rate(&ServedGroup::Route(route.clone()), all);
                    if rate(group, of_route) < LARGE_FLOOR * of_route {
                        floors.large.insert(route);
                    }
                }
            }
        }
        floors
    }

    /// Whether the rank, the route or the size of a request is served less often than its floor.
    fn is_underserved(&self, floors: &ServedFloors<'_>, order: &CallerOrder) -> bool {
        let route = order.route.as_str();
        floors.ranks[order.level()]
            || floors.routes.contains(route)
            || (floors.large.contains(route) && self.is_large(order))
    }
}
