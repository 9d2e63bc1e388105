//! A simulation of entries over an object store with a fixed delay.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use gs_control::ledger::{
    ClaimRequest, LedgerEffect, LedgerEvent, LedgerSettings, LedgerState, StoreReply,
};
use gs_protocol::claims::{ClaimFingerprint, StoredAnswer};
use gs_protocol::ids::{
    AttemptId, CallerName, EntryIdentity, EntryName, IdempotencyKey, Incarnation, ObjectVersion,
};
use gs_protocol::platform::ObjectEntry;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

use crate::ANSWER_BYTES;

/// The time at which the simulation starts, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Interval between the timer events of an entry.
const TICK: Duration = Duration::from_millis(20);
/// One-way delay between an entry and the store.
const STORE_DELAY: Duration = Duration::from_micros(2_500);
/// One-way delay between two entries.
const PEER_DELAY: Duration = Duration::from_millis(5);
/// Time for which each granted request runs.
const RUN_TIME: Duration = Duration::from_millis(20);

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub entries: usize,
    /// Requests for claims per second, at all entries together.
    pub claims_per_second: u32,
    /// Simulated time in which claims are requested.
    pub duration: Duration,
    pub seed: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            entries: 7,
            claims_per_second: 100,
            duration: Duration::from_secs(30),
            seed: 1,
        }
    }
}

/// The measurements of a simulation.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    /// Simulated time from the request to the grant of each claim.
    pub grant_latencies: Vec<Duration>,
    /// Writes of heads and segments, failed ones included.
    pub writes: u64,
    pub written_bytes: u64,
    pub reads: u64,
    pub listings: u64,
    pub largest_head_bytes: usize,
}

impl FleetReport {
    /// Returns a quantile of the grant latencies, in milliseconds.
    pub fn grant_latency_ms(&self, quantile: f64) -> f64 {
        let mut sorted = self.grant_latencies.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let index = (last as f64 * quantile) as usize;
        sorted.get(index).copied().unwrap_or_default().as_secs_f64() * 1e3
    }
}

/// A step that is scheduled at a simulated time.
enum SimulationStep {
    /// An event reaches an entry.
    Event(LedgerEvent),
    /// A call reaches the object store.
    Store(LedgerEffect),
    /// A caller requests the next claim.
    ClaimArrival,
}

/// The objects by key, with version, value and size in bytes. Values of segments are not stored, as
/// no claim of the simulation repeats a key.
#[derive(Default)]
struct ObjectStore {
    objects: HashMap<String, (ObjectVersion, Vec<u8>, usize)>,
    revision: u64,
}

/// The entries, the object store and the scheduled steps.
pub struct FleetSimulation {
    plan: FleetPlan,
    start: Instant,
    elapsed: Duration,
    /// The entries; none for one that was stopped.
    entries: Vec<Option<LedgerState>>,
    steps: BTreeMap<(Duration, u64), (usize, SimulationStep)>,
    /// The number of the last scheduled step, which orders steps of the same time.
    last_sequence: u64,
    store: ObjectStore,
    random: Pcg64Mcg,
    requested_at: HashMap<AttemptId, Duration>,
    report: FleetReport,
}

fn identity(index: usize) -> EntryIdentity {
    let entry = EntryName::new(format!("entry-{index}"));
    EntryIdentity {
        entry,
        incarnation: Incarnation(1),
    }
}

impl FleetSimulation {
    pub fn new(plan: FleetPlan) -> Self {
        let start = Instant::now();
        let entries = (0..plan.entries).map(|index| {
            let settings = LedgerSettings {
                seed: plan.seed + index as u64,
                ..LedgerSettings::new(identity(index), "bench")
            };
            Some(LedgerState::new(start, settings))
        });
        let mut fleet = Self {
            plan,
            start,
            elapsed: Duration::ZERO,
            entries: entries.collect(),
            steps: BTreeMap::new(),
            last_sequence: 0,
            store: ObjectStore::default(),
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            requested_at: HashMap::new(),
            report: FleetReport::default(),
        };
        fleet.send_members(0);
        for index in 0..plan.entries {
            fleet.schedule(
                index,
                Duration::ZERO,
                SimulationStep::Event(LedgerEvent::Tick),
            );
        }
        // The first claim is requested after one second, when every shard has an owner.
        fleet.schedule(0, Duration::from_secs(1), SimulationStep::ClaimArrival);
        fleet
    }

    fn send_members(&mut self, first: usize) {
        let members: Vec<EntryIdentity> = (first..self.plan.entries).map(identity).collect();
        for index in first..self.plan.entries {
            let event = LedgerEvent::MembersUpdated(members.clone());
            self.schedule(index, Duration::ZERO, SimulationStep::Event(event));
        }
    }

    fn schedule(&mut self, index: usize, after: Duration, step: SimulationStep) {
        self.last_sequence += 1;
        self.steps
            .insert((self.elapsed + after, self.last_sequence), (index, step));
    }

    pub fn run(&mut self) {
        let end = self.elapsed + self.plan.duration + Duration::from_secs(1);
        self.run_while(|fleet| fleet.elapsed < end);
    }

    fn run_while(&mut self, should_continue: impl Fn(&Self) -> bool) {
        while should_continue(self) {
            let Some(((at, _), (index, step))) = self.steps.pop_first() else {
                return;
            };
            self.elapsed = at;
            self.handle_step(index, step);
        }
    }

    fn handle_step(&mut self, index: usize, step: SimulationStep) {
        match step {
            SimulationStep::ClaimArrival => self.request_claim(),
            SimulationStep::Store(effect) => self.apply_store_call(index, &effect),
            SimulationStep::Event(event) => {
                if matches!(event, LedgerEvent::Tick) && self.entries[index].is_some() {
                    self.schedule(index, TICK, SimulationStep::Event(LedgerEvent::Tick));
                }
                self.deliver_event(index, event);
            }
        }
    }

    fn request_claim(&mut self) {
        let gap = Duration::from_secs(1) / self.plan.claims_per_second;
        let gap = gap.mul_f64(self.random.gen_range(0.5..1.5));
        self.schedule(0, gap, SimulationStep::ClaimArrival);
        let live = (0..self.plan.entries).filter(|index| self.entries[*index].is_some());
        let live: Vec<usize> = live.collect();
        let index = live[self.random.gen_range(0..live.len())];
        let random_bits = u128::from(self.random.r#gen::<u64>() >> 2) | 2 << 62;
        let key = u128::from(self.wall_ms()) << 80 | 7 << 76 | random_bits;
        let request = ClaimRequest {
            attempt: AttemptId(Uuid::from_u128(u128::from(self.last_sequence))),
            caller: CallerName::new("desk"),
            key: IdempotencyKey(Uuid::from_u128(key)),
            fingerprint: ClaimFingerprint::compute("POST", "/orders", &random_bits.to_be_bytes()),
            deadline: self.start + self.elapsed + Duration::from_secs(10),
        };
        self.requested_at.insert(request.attempt, self.elapsed);
        self.deliver_event(index, LedgerEvent::ClaimRequested(request));
    }

    fn wall_ms(&self) -> u64 {
        EPOCH_MS + self.elapsed.as_millis() as u64
    }

    fn deliver_event(&mut self, index: usize, event: LedgerEvent) {
        let (now, wall_ms) = (self.start + self.elapsed, self.wall_ms());
        let Some(entry) = &mut self.entries[index] else {
            return;
        };
        let mut effects = Vec::new();
        entry.handle(now, wall_ms, event, &mut effects);
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, index: usize, effect: LedgerEffect) {
        let from = identity(index);
        match effect {
            LedgerEffect::Call { to, call } => {
                let event = LedgerEvent::CallReceived { from, call };
                self.schedule(entry_index(&to), PEER_DELAY, SimulationStep::Event(event));
            }
            LedgerEffect::Reply { to, reply } => {
                self.schedule(
                    entry_index(&to),
                    PEER_DELAY,
                    SimulationStep::Event(LedgerEvent::ReplyReceived(reply)),
                );
            }
            LedgerEffect::Grant(attempt) => {
                let requested_at = self.requested_at.remove(&attempt).unwrap_or_default();
                self.report
                    .grant_latencies
                    .push(self.elapsed - requested_at);
                let body = vec![b'x'; ANSWER_BYTES];
                let content_type = "application/json".to_owned();
                let answer = Some(StoredAnswer {
                    status: 200,
                    content_type,
                    body,
                });
                let event = LedgerEvent::AttemptFinished { attempt, answer };
                self.schedule(index, RUN_TIME, SimulationStep::Event(event));
            }
            LedgerEffect::Replay { .. } | LedgerEffect::Refuse { .. } => {}
            effect => self.schedule(index, STORE_DELAY, SimulationStep::Store(effect)),
        }
    }

    fn apply_store_call(&mut self, index: usize, effect: &LedgerEffect) {
        let (operation, reply) = match effect {
            LedgerEffect::Read { operation, key } => {
                self.report.reads += 1;
                let found = self.store.objects.get(key);
                let found = found.map(|(version, value, _)| (*version, value.clone()));
                (*operation, StoreReply::Read(found))
            }
            LedgerEffect::Write {
                operation,
                key,
                value,
                expected,
            } => {
                self.report.writes += 1;
                self.report.written_bytes += value.len() as u64;
                (*operation, self.write(key, value, *expected))
            }
            LedgerEffect::ListHeads { prefix } => {
                self.report.listings += 1;
                let listed = self.list(prefix);
                let event = LedgerEvent::HeadsListed(Some(listed));
                return self.schedule(index, STORE_DELAY, SimulationStep::Event(event));
            }
            _ => return,
        };
        let event = LedgerEvent::OperationCompleted { operation, reply };
        self.schedule(index, STORE_DELAY, SimulationStep::Event(event));
    }

    fn write(&mut self, key: &str, value: &[u8], expected: Option<ObjectVersion>) -> StoreReply {
        let version = self.store.objects.get(key).map(|(version, ..)| *version);
        if version != expected {
            return StoreReply::Conflict;
        }
        self.store.revision += 1;
        let version = ObjectVersion(self.store.revision);
        let is_head = key.contains("/claims/");
        if is_head {
            self.report.largest_head_bytes = self.report.largest_head_bytes.max(value.len());
        }
        let stored_value = if is_head { value.to_vec() } else { Vec::new() };
        self.store
            .objects
            .insert(key.to_owned(), (version, stored_value, value.len()));
        StoreReply::Written(version)
    }

    fn list(&self, prefix: &str) -> Vec<ObjectEntry> {
        let found = self
            .store
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, (version, ..))| ObjectEntry {
                key: key.clone(),
                version: *version,
            })
            .collect()
    }

    /// Stops the first entry, which the others detect after the given time. Returns the time from
    /// the stop until all shards have an owner, at most 60 s after.
    pub fn stop_entry(&mut self, detected_after: Duration) -> Duration {
        let stopped_at = self.elapsed;
        self.entries[0] = None;
        self.run_while(|fleet| fleet.elapsed < stopped_at + detected_after);
        self.send_members(1);
        let limit = stopped_at + Duration::from_secs(60);
        self.run_while(|fleet| fleet.owned_shards() < SHARDS && fleet.elapsed < limit);
        self.elapsed - stopped_at
    }

    fn owned_shards(&self) -> u64 {
        self.entries
            .iter()
            .flatten()
            .map(|entry| entry.counts().owned_shards)
            .sum()
    }

    pub fn report(&self) -> FleetReport {
        self.report.clone()
    }

    pub fn stored_bytes(&self) -> usize {
        self.store.objects.values().map(|(_, _, bytes)| bytes).sum()
    }

    pub fn stored_objects(&self) -> usize {
        self.store.objects.len()
    }
}

/// The default of `LedgerSettings::shards`.
const SHARDS: u64 = 16;

fn entry_index(entry: &EntryIdentity) -> usize {
    let number = entry.entry.as_str().rsplit('-').next();
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}
