//! Entries over a store with a fixed delay, in simulated time.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use gs_control::ledger::{
    ClaimRequest, LedgerEffect, LedgerEvent, LedgerSettings, LedgerState, StoreReply,
};
use gs_protocol::claims::{ClaimFingerprint, KeptAnswer};
use gs_protocol::ids::{
    AttemptId, CallerName, EntryIdentity, EntryName, IdempotencyKey, Incarnation, ObjectVersion,
};
use gs_protocol::platform::ObjectEntry;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

use crate::ANSWER_BYTES;

const EPOCH_MS: u64 = 1_700_000_000_000;
const TICK: Duration = Duration::from_millis(20);
/// One way between an entry and the store.
const STORE_DELAY: Duration = Duration::from_micros(2_500);
/// One way between two entries.
const PEER_DELAY: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_millis(20);

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub entries: usize,
    /// Claims a second.
    pub rate: u32,
    pub time: Duration,
    pub seed: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            entries: 7,
            rate: 100,
            time: Duration::from_secs(30),
            seed: 1,
        }
    }
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    pub granted: Vec<Duration>,
    pub writes: u64,
    pub written_bytes: u64,
    pub reads: u64,
    pub listings: u64,
    pub largest_head: usize,
}

impl FleetReport {
    /// A quantile of the time from a demand to its grant, in milliseconds.
    pub fn grant_ms(&self, quantile: f64) -> f64 {
        let mut sorted = self.granted.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let at = (last as f64 * quantile) as usize;
        sorted.get(at).copied().unwrap_or_default().as_secs_f64() * 1e3
    }
}

enum Step {
    Event(LedgerEvent),
    /// A call reaches the store.
    Store(LedgerEffect),
    Arrival,
}

/// Heads with their values; of segments only the size, as nothing reads them here.
#[derive(Default)]
struct SizeStore {
    objects: HashMap<String, (ObjectVersion, Vec<u8>, usize)>,
    revision: u64,
}

/// The simulation.
pub struct ClaimFleet {
    plan: FleetPlan,
    start: Instant,
    elapsed: Duration,
    entries: Vec<Option<LedgerState>>,
    steps: BTreeMap<(Duration, u64), (usize, Step)>,
    number: u64,
    store: SizeStore,
    random: Pcg64Mcg,
    demanded: HashMap<AttemptId, Duration>,
    report: FleetReport,
}

fn identity(index: usize) -> EntryIdentity {
    let entry = EntryName::new(format!("entry-{index}"));
    EntryIdentity {
        entry,
        incarnation: Incarnation(1),
    }
}

impl ClaimFleet {
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
            number: 0,
            store: SizeStore::default(),
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            demanded: HashMap::new(),
            report: FleetReport::default(),
        };
        fleet.tell_members(0);
        for index in 0..plan.entries {
            fleet.add(index, Duration::ZERO, Step::Event(LedgerEvent::Tick));
        }
        // The first claims come once every shard has an owner.
        fleet.add(0, Duration::from_secs(1), Step::Arrival);
        fleet
    }

    fn tell_members(&mut self, first: usize) {
        let members: Vec<EntryIdentity> = (first..self.plan.entries).map(identity).collect();
        for index in first..self.plan.entries {
            let event = LedgerEvent::MembersUpdated(members.clone());
            self.add(index, Duration::ZERO, Step::Event(event));
        }
    }

    fn add(&mut self, index: usize, after: Duration, step: Step) {
        self.number += 1;
        self.steps
            .insert((self.elapsed + after, self.number), (index, step));
    }

    pub fn run(&mut self) {
        let end = self.elapsed + self.plan.time + Duration::from_secs(1);
        self.run_while(|fleet| fleet.elapsed < end);
    }

    fn run_while(&mut self, goes_on: impl Fn(&Self) -> bool) {
        while goes_on(self) {
            let Some(((at, _), (index, step))) = self.steps.pop_first() else {
                return;
            };
            self.elapsed = at;
            self.take(index, step);
        }
    }

    fn take(&mut self, index: usize, step: Step) {
        match step {
            Step::Arrival => self.arrive(),
            Step::Store(effect) => self.reach_store(index, &effect),
            Step::Event(event) => {
                if matches!(event, LedgerEvent::Tick) && self.entries[index].is_some() {
                    self.add(index, TICK, Step::Event(LedgerEvent::Tick));
                }
                self.give(index, event);
            }
        }
    }

    fn arrive(&mut self) {
        let gap = Duration::from_secs(1) / self.plan.rate;
        let gap = gap.mul_f64(self.random.gen_range(0.5..1.5));
        self.add(0, gap, Step::Arrival);
        let live = (0..self.plan.entries).filter(|index| self.entries[*index].is_some());
        let live: Vec<usize> = live.collect();
        let index = live[self.random.gen_range(0..live.len())];
        let low = u128::from(self.random.r#gen::<u64>() >> 2) | 2 << 62;
        let key = u128::from(self.wall_ms()) << 80 | 7 << 76 | low;
        let demand = ClaimRequest {
            attempt: AttemptId(Uuid::from_u128(u128::from(self.number))),
            caller: CallerName::new("desk"),
            key: IdempotencyKey(Uuid::from_u128(key)),
            fingerprint: ClaimFingerprint::of("POST", "/orders", &low.to_be_bytes()),
            deadline: self.start + self.elapsed + Duration::from_secs(10),
        };
        self.demanded.insert(demand.attempt, self.elapsed);
        self.give(index, LedgerEvent::ClaimRequested(demand));
    }

    fn wall_ms(&self) -> u64 {
        EPOCH_MS + self.elapsed.as_millis() as u64
    }

    fn give(&mut self, index: usize, event: LedgerEvent) {
        let (now, wall_ms) = (self.start + self.elapsed, self.wall_ms());
        let Some(entry) = &mut self.entries[index] else {
            return;
        };
        let mut effects = Vec::new();
        entry.handle(now, wall_ms, event, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: LedgerEffect) {
        let from = identity(index);
        match effect {
            LedgerEffect::Call { to, call } => {
                let event = LedgerEvent::CallReceived { from, call };
                self.add(index_of(&to), PEER_DELAY, Step::Event(event));
            }
            LedgerEffect::Reply { to, reply } => {
                self.add(
                    index_of(&to),
                    PEER_DELAY,
                    Step::Event(LedgerEvent::ReplyReceived(reply)),
                );
            }
            LedgerEffect::Grant(attempt) => {
                let demanded = self.demanded.remove(&attempt).unwrap_or_default();
                self.report.granted.push(self.elapsed - demanded);
                let body = vec![b'x'; ANSWER_BYTES];
                let content_type = "application/json".to_owned();
                let answer = Some(KeptAnswer {
                    status: 200,
                    content_type,
                    body,
                });
                let event = LedgerEvent::AttemptFinished { attempt, answer };
                self.add(index, RUN_TIME, Step::Event(event));
            }
            LedgerEffect::Replay { .. } | LedgerEffect::Refuse { .. } => {}
            effect => self.add(index, STORE_DELAY, Step::Store(effect)),
        }
    }

    fn reach_store(&mut self, index: usize, effect: &LedgerEffect) {
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
                return self.add(index, STORE_DELAY, Step::Event(event));
            }
            _ => return,
        };
        let event = LedgerEvent::OperationCompleted { operation, reply };
        self.add(index, STORE_DELAY, Step::Event(event));
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
            self.report.largest_head = self.report.largest_head.max(value.len());
        }
        let kept = if is_head { value.to_vec() } else { Vec::new() };
        self.store
            .objects
            .insert(key.to_owned(), (version, kept, value.len()));
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

    /// Ends the first entry; the others see it after a time. Returns the time until all shards are owned.
    pub fn end_entry(&mut self, seen_after: Duration) -> Duration {
        let ended_at = self.elapsed;
        self.entries[0] = None;
        self.run_while(|fleet| fleet.elapsed < ended_at + seen_after);
        self.tell_members(1);
        let limit = ended_at + Duration::from_secs(60);
        self.run_while(|fleet| fleet.owned() < SHARDS && fleet.elapsed < limit);
        self.elapsed - ended_at
    }

    fn owned(&self) -> u64 {
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

const SHARDS: u64 = 16;

fn index_of(entry: &EntryIdentity) -> usize {
    let number = entry.entry.as_str().rsplit('-').next();
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}
