//! A simulated fleet of entries that hold requests to a quota.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    CostUnit, QuotaDecision, QuotaDigest, QuotaSettings, QuotaSpec, QuotaTracker, WorkspaceSpec,
};
use gs_protocol::ids::{EntryName, Incarnation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Cost of a request, in tokens.
pub const COST: u64 = 6_000;

/// Rate and burst of a large workspace, in tokens.
pub const LARGE: f64 = 385_579.0;

/// Rate and burst of a small workspace, in tokens.
pub const SMALL: f64 = 11_567.0;

/// Permitted overrun in addition to the fraction.
const SLACK: f64 = 120_000.0;

pub fn settings() -> QuotaSettings {
    QuotaSettings {
        slack: SLACK,
        ..QuotaSettings::default()
    }
}

pub fn workspace(rate: f64) -> Arc<WorkspaceSpec> {
    let quota = (rate > 0.0).then_some(QuotaSpec { rate, burst: rate });
    Arc::new(WorkspaceSpec {
        name: "w".to_owned(),
        rank: None,
        unit: CostUnit::Tokens { plain: COST },
        quota,
    })
}

fn entry_name(entry: usize) -> EntryName {
    EntryName::new(format!("entry-{entry}"))
}

/// Returns the cost that is permitted in any window.
fn bound(rate: f64) -> f64 {
    let rule = settings();
    (rate * rule.window.as_secs_f64() + rate) * (1.0 + rule.overage) + rule.slack
}

/// A report on its way to an entry.
struct Flight {
    to: usize,
    from: usize,
    number: u64,
    incarnation: u64,
    digest: Rc<QuotaDigest>,
}

struct SimEntry {
    tracker: QuotaTracker,
    incarnation: u64,
    number: u64,
    is_up: bool,
    restarts_at: Option<Instant>,
    last_regular: Instant,
    is_report_due: bool,
    /// Newest report that was applied of each peer.
    latest: BTreeMap<usize, (u64, u64)>,
    /// Group of entries that hear each other.
    group: usize,
}

/// Conditions of a simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub min_delay: Duration,
    pub max_delay: Duration,
    pub loss: f64,
    pub duplicates: f64,
    /// Time between two regular reports.
    pub interval: Duration,
    pub max_silence: Duration,
}

impl Network {
    /// A network of a fleet of this size, with the intervals of `gs-gateway`.
    pub fn of(entries: usize) -> Self {
        let interval = Duration::from_millis(400 + 10 * entries.min(25) as u64);
        let relay = match entries {
            0..=16 => Duration::ZERO,
            _ => Duration::from_millis(800.max(8 * entries as u64)),
        };
        Self {
            min_delay: Duration::from_millis(20),
            max_delay: Duration::from_millis(150),
            loss: 0.03,
            duplicates: 0.02,
            interval: interval + relay / 2,
            max_silence: (interval + relay).mul_f64(2.2),
        }
    }
}

pub struct Fleet {
    now: Instant,
    start: Instant,
    rate: f64,
    network: Network,
    entries: Vec<SimEntry>,
    /// Reports by the time at which they arrive.
    flights: BTreeMap<Instant, Vec<Flight>>,
    rng: Pcg64Mcg,
    /// Admitted cost, with the time.
    admitted: VecDeque<(Instant, u64)>,
    in_window: u64,
    max_in_window: u64,
    pub total: u64,
    pub refused: u64,
}

impl Fleet {
    pub fn new(entries: usize, rate: f64, network: Network, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            start: now,
            rate,
            network,
            entries: Vec::new(),
            flights: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            admitted: VecDeque::new(),
            in_window: 0,
            max_in_window: 0,
            total: 0,
            refused: 0,
        };
        for entry in 0..entries {
            let tracker = fleet.start_tracker(entry, entries);
            let phase = network.interval.mul_f64(fleet.rng.gen_range(0.0..1.0));
            fleet.entries.push(SimEntry {
                tracker,
                incarnation: 1,
                number: 0,
                is_up: true,
                restarts_at: None,
                last_regular: now - phase,
                is_report_due: false,
                latest: BTreeMap::new(),
                group: 0,
            });
        }
        fleet
    }

    fn start_tracker(&self, entry: usize, entries: usize) -> QuotaTracker {
        let mut tracker = QuotaTracker::new(self.now, settings(), self.network.max_silence);
        tracker.set_workspaces(self.now, &[workspace(self.rate)]);
        let others: Vec<EntryName> = (0..entries)
            .filter(|other| *other != entry)
            .map(entry_name)
            .collect();
        tracker.set_peers(self.now, &others, true);
        tracker
    }

    /// Ends an entry; it starts again after `pause` with nothing known.
    pub fn kill(&mut self, entry: usize, pause: Duration) {
        self.entries[entry].is_up = false;
        self.entries[entry].restarts_at = Some(self.now + pause);
    }

    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        for entry in &mut self.entries {
            entry.tracker.set_workspaces(self.now, &[workspace(rate)]);
        }
    }

    /// Puts the entries below `split` into one group and the others into another one.
    pub fn cut(&mut self, group: impl Fn(usize) -> usize) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            entry.group = group(number);
        }
    }

    /// Returns the size of a Poisson sample with a small mean.
    fn poisson(&mut self, mean: f64) -> usize {
        let (limit, mut product, mut count) = ((-mean).exp(), 1.0, 0);
        loop {
            product *= self.rng.gen_range(0.0..1.0);
            if product <= limit {
                return count;
            }
            count += 1;
        }
    }

    /// Runs the fleet for a time while callers ask for `demand` tokens a second at random entries below
    /// `used_entries`.
    pub fn run(&mut self, time: Duration, demand: f64, used_entries: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.restart_due();
            self.deliver();
            let arrivals = self.poisson(demand * STEP.as_secs_f64() / COST as f64);
            for _ in 0..arrivals {
                let entry = self.rng.gen_range(0..used_entries);
                self.request(entry);
            }
            self.report();
        }
    }

    fn request(&mut self, entry: usize) {
        let draw = self.rng.gen_range(0.0..1.0);
        let target = &mut self.entries[entry];
        if !target.is_up {
            return;
        }
        match target.tracker.take(self.now, "w", COST, draw) {
            QuotaDecision::Admitted { is_report_due } => {
                target.is_report_due |= is_report_due;
                self.count(COST);
            }
            QuotaDecision::Refused(refusal) => {
                self.refused += COST;
                assert!(refusal.retry_after >= settings().min_retry);
                assert!(refusal.retry_after <= settings().max_retry);
            }
        }
    }

    fn count(&mut self, cost: u64) {
        self.total += cost;
        self.in_window += cost;
        self.admitted.push_back((self.now, cost));
        let window = settings().window;
        while let Some((at, old)) = self.admitted.front().copied()
            && self.now - at > window
        {
            self.in_window -= old;
            self.admitted.pop_front();
        }
        self.max_in_window = self.max_in_window.max(self.in_window);
    }

    fn restart_due(&mut self) {
        for number in 0..self.entries.len() {
            let restarts_at = self.entries[number].restarts_at;
            if restarts_at.is_none_or(|at| at > self.now) {
                continue;
            }
            let tracker = self.start_tracker(number, self.entries.len());
            let entry = &mut self.entries[number];
            entry.tracker = tracker;
            entry.incarnation += 1;
            entry.number = 0;
            entry.is_up = true;
            entry.restarts_at = None;
            entry.latest.clear();
            entry.is_report_due = true;
        }
    }

    fn report(&mut self) {
        for from in 0..self.entries.len() {
            let entry = &mut self.entries[from];
            let is_regular = self.now - entry.last_regular >= self.network.interval;
            if !entry.is_up || !(is_regular || entry.is_report_due) {
                continue;
            }
            if is_regular {
                entry.last_regular = self.now;
            }
            entry.is_report_due = false;
            entry.number += 1;
            let (number, incarnation, group) = (entry.number, entry.incarnation, entry.group);
            let digest = Rc::new(entry.tracker.digest(self.now));
            for to in 0..self.entries.len() {
                if to == from || self.entries[to].group != group {
                    continue;
                }
                let copies = match self.rng.gen_range(0.0..1.0) {
                    draw if draw < self.network.loss => 0,
                    draw if draw < self.network.loss + self.network.duplicates => 2,
                    _ => 1,
                };
                for _ in 0..copies {
                    let delay = self.rng.gen_range(0.0..1.0);
                    let spread = self.network.max_delay - self.network.min_delay;
                    let arrives_at = self.now + self.network.min_delay + spread.mul_f64(delay);
                    self.flights.entry(arrives_at).or_default().push(Flight {
                        to,
                        from,
                        number,
                        incarnation,
                        digest: Rc::clone(&digest),
                    });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let waiting = self.flights.split_off(&(now + Duration::from_nanos(1)));
        let due = std::mem::replace(&mut self.flights, waiting);
        for flight in due.into_values().flatten() {
            let entry = &mut self.entries[flight.to];
            let version = (flight.incarnation, flight.number);
            let known = entry.latest.get(&flight.from);
            if !entry.is_up || known.is_some_and(|known| *known >= version) {
                continue;
            }
            entry.latest.insert(flight.from, version);
            let peer = entry_name(flight.from);
            let incarnation = Incarnation(flight.incarnation);
            entry
                .tracker
                .apply_digest(now, &peer, incarnation, &flight.digest);
        }
    }

    /// Asserts the bound in all windows so far.
    pub fn assert_bound(&self, rate: f64, case: &str) {
        let (most, bound) = (self.max_in_window as f64, bound(rate));
        println!(
            "{case}: most {most}, {:.2} of the bound; admitted {} refused {} in {:?}",
            most / bound,
            self.total,
            self.refused,
            self.now - self.start
        );
        assert!(most <= bound, "{most} in a window, {bound} are permitted");
    }

    /// Forgets what was counted, to begin another measurement.
    pub fn reset_counts(&mut self) {
        (self.total, self.refused) = (0, 0);
        (self.in_window, self.max_in_window) = (0, 0);
        self.admitted.clear();
    }
}
