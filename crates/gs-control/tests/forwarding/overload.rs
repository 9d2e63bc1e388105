//! Clients of several workspaces that send more than a fleet can run, and what they get.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::forwarding::{CallerOrder, RecentUsage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::support::{milliseconds, start};

/// How a client reacts to a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Returning {
    AsTold,
    AtOnce,
}

/// Clients of one workspace on one route.
#[derive(Clone, Debug)]
pub struct ClientGroup {
    pub workspace: &'static str,
    pub route: &'static str,
    pub rank: u8,
    /// Requests per second; each costs 1.
    pub rate: f64,
    /// Rate of the workspace's quota.
    pub quota: f64,
    pub target: Duration,
    pub returning: Returning,
    /// Whether one in ten requests is large.
    pub has_sizes: bool,
}

impl ClientGroup {
    pub fn new(workspace: &'static str, rate: f64, quota: f64) -> Self {
        Self {
            workspace,
            route: "chat",
            rank: 1,
            rate,
            quota,
            target: milliseconds(800),
            returning: Returning::AsTold,
            has_sizes: false,
        }
    }
}

/// What the requests of a group got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub requests: f64,
    pub on_time: f64,
    pub late: f64,
    /// Refusals of first attempts, and of clients that had come back.
    pub refused: f64,
    pub refused_again: f64,
    pub returned: f64,
    /// Large requests, and those of them that were served.
    pub large: f64,
    pub large_served: f64,
    /// Refusals of attempts that had waited in the queue for more than 100 ms.
    pub refused_late: f64,
}

impl Outcome {
    pub fn served(&self) -> f64 {
        (self.on_time + self.late) / self.requests
    }

    /// Returns the fraction of the returns of refused clients that were refused again.
    pub fn refused_again(&self) -> f64 {
        self.refused_again / self.returned.max(1.0)
    }

    pub fn first_refused(&self) -> f64 {
        self.refused / self.requests
    }
}

/// An attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub group: usize,
    pub requested_at: Instant,
    pub arrived_at: Instant,
    pub size: u64,
}

impl Attempt {
    fn is_first(&self) -> bool {
        self.requested_at == self.arrived_at
    }
}

/// A queue under test, in front of a fleet that runs a number of requests at a time.
pub trait QueueModel {
    /// Returns the delay that a client is told if it is refused at once.
    fn offer(
        &mut self,
        now: Instant,
        id: u64,
        attempt: &Attempt,
        order: CallerOrder,
    ) -> Option<Duration>;
    /// Returns the requests that start, whose sizes must fit, and those that are refused with their delays.
    fn advance(
        &mut self,
        now: Instant,
        fits: &mut dyn FnMut(u64) -> bool,
        share_of: &dyn Fn(&str) -> f64,
    ) -> (Vec<u64>, Vec<(u64, Duration)>);
    fn record_end(&mut self, _now: Instant, _took: Duration) {}
}

const TICK: Duration = Duration::from_millis(5);

/// Time that a client waits for an answer before it gives up.
const PATIENCE: Duration = Duration::from_secs(14);

/// Sizes of requests: one in ten is five times as large as the others.
const SIZES: (u64, u64) = (1, 5);

/// Runs clients for a time before a fleet that runs requests of `capacity` together, each for
/// `service_time` on average.
pub fn run(
    queue: &mut impl QueueModel,
    groups: &[ClientGroup],
    capacity: u64,
    service_time: Duration,
    length: Duration,
) -> Vec<Outcome> {
    let mut run = LoadRun {
        groups,
        service_time,
        rng: Pcg64Mcg::seed_from_u64(7),
        outcomes: vec![Outcome::default(); groups.len()],
        usage: RecentUsage::default(),
        running: Vec::new(),
        open: BTreeMap::new(),
        returns: Vec::new(),
        next_id: 0,
    };
    let first = start();
    let mut now = first;
    while now < first + length {
        run.step(now, queue, capacity);
        now += TICK;
    }
    for (group, outcome) in groups.iter().zip(&run.outcomes) {
        // Shown with --nocapture; the design note states these figures.
        println!(
            "{} rank {}: {} requests, {} on time, served {:.2}, first attempts refused {:.2}, returns {:.2}",
            group.workspace,
            group.rank,
            outcome.requests,
            outcome.on_time,
            outcome.served(),
            outcome.first_refused(),
            outcome.refused_again()
        );
    }
    run.outcomes
}

/// State of a run.
struct LoadRun<'g> {
    groups: &'g [ClientGroup],
    service_time: Duration,
    rng: Pcg64Mcg,
    outcomes: Vec<Outcome>,
    usage: RecentUsage,
    /// When each running request ends, how long it runs, and its size.
    running: Vec<(Instant, Duration, u64)>,
    /// Attempts in the queue.
    open: BTreeMap<u64, Attempt>,
    /// Attempts of refused clients that come back at their time of arrival.
    returns: Vec<Attempt>,
    next_id: u64,
}

impl LoadRun<'_> {
    fn step(&mut self, now: Instant, queue: &mut impl QueueModel, capacity: u64) {
        self.running.retain(|(ends_at, took, _)| {
            let is_running = *ends_at > now;
            if !is_running {
                queue.record_end(now, *took);
            }
            is_running
        });
        let mut arriving = self.first_attempts(now);
        arriving.extend(
            self.returns
                .extract_if(.., |attempt| attempt.arrived_at <= now),
        );
        for attempt in arriving {
            self.offer(now, queue, attempt);
        }
        let (groups, usage) = (self.groups, &self.usage);
        let quota = |name: &str| groups.iter().find(|group| group.workspace == name);
        let quota = |name: &str| quota(name).map_or(1.0, |group| group.quota);
        let share_of = |name: &str| usage.recent_cost(now, name) / quota(name);
        let mut used: u64 = self.running.iter().map(|(_, _, size)| size).sum();
        let mut fits = |size: u64| {
            let fits = used + size <= capacity;
            used += if fits { size } else { 0 };
            fits
        };
        let (started, refused) = queue.advance(now, &mut fits, &share_of);
        for id in started {
            self.start(now, id);
        }
        for (id, delay) in refused {
            let attempt = self.open.remove(&id).expect("a waiting request");
            self.refuse(now, attempt, delay);
        }
    }

    fn first_attempts(&mut self, now: Instant) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for (number, group) in self.groups.iter().enumerate() {
            if self.rng.gen_range(0.0..1.0) >= group.rate * TICK.as_secs_f64() {
                continue;
            }
            let size = match group.has_sizes && self.rng.gen_range(0.0..1.0) < 0.1 {
                true => SIZES.1,
                false => SIZES.0,
            };
            self.outcomes[number].requests += 1.0;
            self.outcomes[number].large += f64::from(u8::from(size == SIZES.1));
            attempts.push(Attempt {
                group: number,
                requested_at: now,
                arrived_at: now,
                size,
            });
        }
        attempts
    }

    fn offer(&mut self, now: Instant, queue: &mut impl QueueModel, attempt: Attempt) {
        let group = &self.groups[attempt.group];
        let returned = f64::from(u8::from(!attempt.is_first()));
        self.outcomes[attempt.group].returned += returned;
        let order = CallerOrder {
            rank: group.rank,
            workspace: group.workspace.to_owned(),
            route: group.route.to_owned(),
            share: self.usage.recent_cost(now, group.workspace) / group.quota,
            increment: 1.0 / group.quota,
            size: attempt.size,
            gives_up_at: Some(attempt.requested_at + PATIENCE),
            has_waited: false,
        };
        self.next_id += 1;
        match queue.offer(now, self.next_id, &attempt, order) {
            Some(delay) => self.refuse(now, attempt, delay),
            None => drop(self.open.insert(self.next_id, attempt)),
        }
    }

    fn start(&mut self, now: Instant, id: u64) {
        let attempt = self.open.remove(&id).expect("a waiting request");
        let group = &self.groups[attempt.group];
        let outcome = &mut self.outcomes[attempt.group];
        match now - attempt.requested_at < group.target {
            true => outcome.on_time += 1.0,
            false => outcome.late += 1.0,
        }
        outcome.large_served += f64::from(u8::from(attempt.size == SIZES.1));
        self.usage.record(now, group.workspace, 1.0);
        let took = self.service_time.mul_f64(self.rng.gen_range(0.5..1.5));
        self.running.push((now + took, took, attempt.size));
    }

    fn refuse(&mut self, now: Instant, mut attempt: Attempt, delay: Duration) {
        let outcome = &mut self.outcomes[attempt.group];
        match attempt.is_first() {
            true => outcome.refused += 1.0,
            false => outcome.refused_again += 1.0,
        }
        let held = now - attempt.arrived_at;
        outcome.refused_late += f64::from(u8::from(held > milliseconds(100)));
        let delay = match self.groups[attempt.group].returning {
            Returning::AsTold => delay,
            Returning::AtOnce => milliseconds(50),
        };
        attempt.arrived_at = now + delay;
        if attempt.arrived_at < attempt.requested_at + PATIENCE {
            self.returns.push(attempt);
        }
    }
}

/// Adds up the outcomes of the groups that a condition selects.
pub fn total<'o>(outcomes: impl IntoIterator<Item = &'o Outcome>) -> Outcome {
    let mut total = Outcome::default();
    for outcome in outcomes {
        total.requests += outcome.requests;
        total.on_time += outcome.on_time;
        total.late += outcome.late;
        total.refused += outcome.refused;
        total.refused_again += outcome.refused_again;
        total.returned += outcome.returned;
        total.large += outcome.large;
        total.large_served += outcome.large_served;
        total.refused_late += outcome.refused_late;
    }
    total
}

/// Twice as much as fits, from four workspaces of different sizes; `rate` requests per second fit.
pub fn twice_as_much(rate: f64) -> [ClientGroup; 4] {
    let parts = [("a", 1.0), ("b", 0.6), ("c", 0.2), ("d", 0.2)];
    parts.map(|(name, part)| ClientGroup::new(name, part * rate, part * rate / 2.0))
}

/// Guards against servers that idle or run what is late, against a workspace that is served less than the
/// others, and against requests that are held only to be refused.
pub fn assert_equal_parts(outcomes: &[Outcome], fitting: f64) {
    let all = total(outcomes);
    assert!(all.on_time > 0.9 * fitting, "{all:?}");
    for outcome in outcomes {
        let part = outcome.served() / all.served();
        assert!((0.8..1.25).contains(&part), "{part} {outcome:?}");
    }
    let refused = all.refused + all.refused_again;
    assert!(all.refused_late < 0.4 * refused, "{all:?}");
}

/// One workspace at 7.5 times its usual rate, and others at theirs; `rate` requests per second fit.
pub fn flooded(rate: f64) -> [ClientGroup; 3] {
    [
        ClientGroup::new("flood", 1.5 * rate, 0.2 * rate),
        ClientGroup::new("large", 0.4 * rate, 0.4 * rate),
        ClientGroup::new("small", 0.1 * rate, 0.1 * rate),
    ]
}

/// Guards against a flood that is paid by others, of whose requests a part is `owed`, and against one that is
/// shut out or gets less than its usual number of requests.
pub fn assert_flood_pays(outcomes: &[Outcome], owed: f64, usual: f64) {
    let all = total(outcomes);
    assert!(total(&outcomes[1..]).served() > owed, "{outcomes:?}");
    let others = outcomes[1..].iter();
    assert!(
        others
            .map(Outcome::served)
            .all(|served| served > owed - 0.1)
    );
    assert!(outcomes[0].on_time > usual, "{outcomes:?}");
    assert!(outcomes[0].served() > all.served() / 4.0, "{outcomes:?}");
}

/// Twice as much as fits, in three ranks; `rate` requests per second fit.
pub fn three_ranks(rate: f64) -> [ClientGroup; 3] {
    [("a", 0), ("b", 1), ("c", 3)].map(|(name, rank)| ClientGroup {
        rank,
        ..ClientGroup::new(name, 0.7 * rate, 0.5 * rate)
    })
}

/// Guards against less urgent requests that are served more often than urgent ones, and against ranks that
/// starve. `first` is what is owed to the first rank.
pub fn assert_ranks(outcomes: &[Outcome], first: f64) {
    let served: Vec<f64> = outcomes.iter().map(Outcome::served).collect();
    let is_ordered = served.is_sorted_by(|left, right| left >= right);
    assert!(is_ordered && served[0] > first, "{served:?}");
    assert!(served[2] > total(outcomes).served() / 4.0, "{served:?}");
}

/// Twice as much as fits by one workspace, half of whose clients repeat at once.
pub fn impatient(rate: f64, target: Duration) -> [ClientGroup; 2] {
    [Returning::AsTold, Returning::AtOnce].map(|returning| ClientGroup {
        returning,
        target,
        ..ClientGroup::new("a", rate, rate / 2.0)
    })
}

/// Guards against clients that gain by repeating at once.
pub fn assert_nothing_gained(outcomes: &[Outcome]) {
    assert!(outcomes.iter().all(|outcome| outcome.returned > 100.0));
    assert!(
        outcomes[1].served() < 1.1 * outcomes[0].served(),
        "{outcomes:?}"
    );
}

/// Twice as much as fits, by clients that come back as told and can do so in time.
pub fn patient(rate: f64, target: Duration) -> [ClientGroup; 2] {
    ["a", "b"].map(|name| ClientGroup {
        target,
        ..ClientGroup::new(name, rate, rate / 2.0)
    })
}

/// Guards against clients that came back as told and are refused again while others are served at their first
/// attempt.
pub fn assert_returns_preferred(outcomes: &[Outcome]) {
    let all = total(outcomes);
    assert!(all.returned > 500.0, "{all:?}");
    assert!(all.refused_again() < all.first_refused(), "{all:?}");
}
