//! Several entries over one store, with faults at random points.

use std::time::{Duration, Instant};

use gs_control::ledger::StoreReply;
use gs_control::ledger::{ClaimRequest, LedgerEffect, LedgerEvent, LedgerSettings, LedgerState};
use gs_protocol::claims::{ClaimCall, ClaimFingerprint, ClaimId, ClaimReply};
use gs_protocol::ids::{
    AttemptId, CallerName, EntryIdentity, EntryName, IdempotencyKey, Incarnation,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

use crate::service::ServiceRecord;
use crate::store::{ObjectStore, StoreCall};

const ENTRIES: usize = 3;
const ORDERS: usize = 12;
/// Distance from the end of the retention at which a key counts as about to expire.
const EDGE_MS: u64 = 1_500;
const EPOCH_MS: u64 = 1_700_000_000_000;
const RETENTION: Duration = Duration::from_secs(4);
const SKEW_LIMIT_MS: i64 = 1000;

/// Which faults happen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub crashes: bool,
    pub pauses: bool,
    pub outages: bool,
    pub lost: bool,
    pub twice: bool,
    pub views: bool,
    /// Most requests repeat a key that is about to expire.
    pub edge: bool,
}

impl Faults {
    /// Every fault.
    pub fn all() -> Self {
        Self {
            crashes: true,
            pauses: true,
            outages: true,
            lost: true,
            twice: true,
            views: true,
            edge: false,
        }
    }
}

struct Node {
    identity: EntryIdentity,
    ledger: LedgerState,
    paused: bool,
    withheld: Vec<LedgerEvent>,
    skew_ms: i64,
}

/// A message on its way.
#[derive(Clone, Debug)]
enum Message {
    Call {
        from: EntryIdentity,
        to: EntryIdentity,
        call: ClaimCall,
    },
    Reply {
        to: EntryIdentity,
        reply: ClaimReply,
    },
    Store(StoreCall),
    /// A listing of the store.
    Probe {
        from: EntryIdentity,
        prefix: String,
    },
    /// A call whose answer was given up, and which may still take effect.
    Ghost(LedgerEffect),
    /// The request itself, on its way to the service.
    Request {
        from: EntryIdentity,
        attempt: AttemptId,
    },
    /// What the service answered.
    Answer {
        to: EntryIdentity,
        event: LedgerEvent,
    },
}

/// The entries, the store, the service and everything on its way.
pub struct World {
    random: Pcg64Mcg,
    faults: Faults,
    start: Instant,
    elapsed: Duration,
    nodes: Vec<Node>,
    store: ObjectStore,
    messages: Vec<Message>,
    keys: Vec<IdempotencyKey>,
    outage: bool,
    pub service: ServiceRecord,
    pub replays: usize,
    attempts: u64,
}

fn identity(index: usize, incarnation: u64) -> EntryIdentity {
    let entry = EntryName::new(format!("entry-{index}"));
    EntryIdentity {
        entry,
        incarnation: Incarnation(incarnation),
    }
}

fn settings(identity: EntryIdentity, seed: u64) -> LedgerSettings {
    LedgerSettings {
        shards: 2,
        lease: Duration::from_millis(600),
        lease_margin: Duration::from_millis(50),
        head_poll_interval: Duration::from_millis(100),
        rebalance_after: Duration::from_secs(2),
        abandon_after: Duration::from_secs(5),
        retention: RETENTION,
        retention_margin: Duration::from_millis(100),
        allowed_clock_skew: Duration::from_millis(1000),
        max_first_attempt_age: Duration::from_secs(1),
        resend_after: Duration::from_millis(150),
        seal_threshold_bytes: 400,
        seed,
        ..LedgerSettings::new(identity, "trial")
    }
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let start = Instant::now();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let nodes = (0..ENTRIES).map(|index| {
            let identity = identity(index, 1);
            let ledger = LedgerState::new(start, settings(identity.clone(), seed));
            let skew_ms = random.gen_range(-SKEW_LIMIT_MS..=SKEW_LIMIT_MS);
            Node {
                identity,
                ledger,
                paused: false,
                withheld: Vec::new(),
                skew_ms,
            }
        });
        let nodes = nodes.collect();
        let mut world = Self {
            random,
            faults,
            start,
            elapsed: Duration::ZERO,
            nodes,
            store: ObjectStore::default(),
            messages: Vec::new(),
            keys: Vec::new(),
            outage: false,
            service: ServiceRecord::default(),
            replays: 0,
            attempts: 0,
        };
        (0..ENTRIES).for_each(|index| world.tell_members(index));
        world
    }

    fn tell_members(&mut self, index: usize) {
        let members = self
            .nodes
            .iter()
            .map(|node| node.identity.clone())
            .collect();
        self.give(index, LedgerEvent::MembersUpdated(members));
    }

    /// Gives an event to an entry, or withholds it while the entry is paused.
    fn give(&mut self, index: usize, event: LedgerEvent) {
        let now = self.start + self.elapsed;
        let node = &mut self.nodes[index];
        if node.paused {
            node.withheld.push(event);
            return;
        }
        let wall_ms =
            (EPOCH_MS + self.elapsed.as_millis() as u64).wrapping_add_signed(node.skew_ms);
        let mut effects = Vec::new();
        node.ledger.handle(now, wall_ms, event, &mut effects);
        let from = node.identity.clone();
        for effect in effects {
            self.carry_out(index, &from, effect);
        }
    }

    fn carry_out(&mut self, index: usize, from: &EntryIdentity, effect: LedgerEffect) {
        let from = from.clone();
        match effect {
            LedgerEffect::Read { operation, .. }
            | LedgerEffect::Write { operation, .. }
            | LedgerEffect::Remove { operation, .. } => {
                self.messages.push(Message::Store(StoreCall {
                    from,
                    operation,
                    effect,
                }));
            }
            LedgerEffect::ListHeads { prefix } => {
                self.messages.push(Message::Probe { from, prefix })
            }
            LedgerEffect::Call { to, call } => self.messages.push(Message::Call { from, to, call }),
            LedgerEffect::Reply { to, reply } => self.messages.push(Message::Reply { to, reply }),
            LedgerEffect::Grant(attempt) => {
                self.service.granted(attempt);
                if self.random.gen_bool(0.1) {
                    self.service.released(attempt);
                    self.give(index, LedgerEvent::AttemptReleased(attempt));
                } else {
                    self.messages.push(Message::Request { from, attempt });
                }
            }
            LedgerEffect::Replay { attempt, answer } => {
                self.replays += 1;
                self.service.replayed(attempt, &answer);
            }
            LedgerEffect::Refuse {
                attempt,
                reason,
                outcome,
            } => {
                self.service.refused(attempt, reason, outcome);
            }
        }
    }

    fn find(&self, identity: &EntryIdentity) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.identity == *identity)
    }

    /// One random step.
    pub fn step(&mut self) {
        match self.random.gen_range(0..100) {
            0..15 => self.pass_time(),
            15..25 => self.request(),
            25..27 if self.faults.pauses => self.toggle_pause(),
            27 if self.faults.crashes => self.crash(),
            33..35 if self.faults.views => self.change_view(),
            28 if self.faults.outages => self.outage = !self.outage && self.random.gen_bool(0.5),
            29..31 if self.faults.lost && !self.messages.is_empty() => self.lose_message(),
            31..33 if self.faults.twice && !self.messages.is_empty() => self.copy_message(),
            _ => self.deliver_any(),
        }
    }

    fn pass_time(&mut self) {
        self.elapsed += Duration::from_millis(self.random.gen_range(1..120));
        (0..ENTRIES).for_each(|index| self.give(index, LedgerEvent::Tick));
    }

    /// Sends a request under a new or an old key, at a random entry.
    fn request(&mut self) {
        if self.keys.is_empty() || self.random.gen_bool(0.4) {
            let ahead_ms = self.random.gen_range(-500..1500);
            self.add_key(ahead_ms);
        }
        let key = self.pick_key();
        let body = if self.random.gen_bool(0.1) {
            "other"
        } else {
            "order"
        };
        let index = self.random.gen_range(0..ENTRIES);
        self.demand(index, key, body);
    }

    /// A recent key, one about to expire, or any.
    fn pick_key(&mut self) -> IdempotencyKey {
        let recent = self.keys.len().saturating_sub(6);
        let now_ms = EPOCH_MS + self.elapsed.as_millis() as u64;
        let edge_ms = now_ms - RETENTION.as_millis() as u64;
        let near_edge = |key: &IdempotencyKey| {
            key.time_ms()
                .is_some_and(|made_ms| made_ms.abs_diff(edge_ms) < EDGE_MS)
        };
        let edge: Vec<_> = self.keys.iter().copied().filter(near_edge).collect();
        let edge = edge.choose(&mut self.random).copied();
        let edge_tenths = if self.faults.edge { 7 } else { 3 };
        match (self.random.gen_range(0..10), edge) {
            (tenth, Some(edge)) if tenth < edge_tenths => edge,
            (0..8, _) => self.keys[self.random.gen_range(recent..self.keys.len())],
            _ => self.keys[self.random.gen_range(0..self.keys.len())],
        }
    }

    fn add_key(&mut self, ahead_ms: i64) -> IdempotencyKey {
        let made_ms = (EPOCH_MS + self.elapsed.as_millis() as u64).wrapping_add_signed(ahead_ms);
        let low: u128 = u128::from(self.random.r#gen::<u64>() >> 2) | 2 << 62;
        let key = IdempotencyKey(Uuid::from_u128(u128::from(made_ms) << 80 | 7 << 76 | low));
        self.keys.push(key);
        key
    }

    fn demand(&mut self, index: usize, key: IdempotencyKey, body: &str) -> AttemptId {
        self.attempts += 1;
        let attempt = AttemptId(Uuid::from_u128(u128::from(self.attempts)));
        let caller = CallerName::new("desk");
        let fingerprint = ClaimFingerprint::of("POST", "/orders", body.as_bytes());
        self.service
            .begin(attempt, ClaimId::derive(&caller, key), fingerprint);
        let wait = Duration::from_millis(self.random.gen_range(100..1500));
        let deadline = self.start + self.elapsed + wait;
        let demand = ClaimRequest {
            attempt,
            caller,
            key,
            fingerprint,
            deadline,
        };
        self.give(index, LedgerEvent::ClaimRequested(demand));
        attempt
    }

    fn toggle_pause(&mut self) {
        let index = self.random.gen_range(0..ENTRIES);
        if self.nodes[index].paused {
            self.resume(index);
        } else {
            self.nodes[index].paused = true;
        }
    }

    fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for event in std::mem::take(&mut self.nodes[index].withheld) {
            self.give(index, event);
        }
    }

    /// Lets an entry take any of the others for dead or alive.
    fn change_view(&mut self) {
        let index = self.random.gen_range(0..ENTRIES);
        let mut members = Vec::new();
        for other in 0..ENTRIES {
            if other == index || self.random.gen_bool(0.5) {
                members.push(self.nodes[other].identity.clone());
            }
        }
        self.give(index, LedgerEvent::MembersUpdated(members));
    }

    /// Ends an entry at once and starts it again; what it had sent goes on without it.
    fn crash(&mut self) {
        let index = self.random.gen_range(0..ENTRIES);
        let now = self.start + self.elapsed;
        let node = &mut self.nodes[index];
        node.identity = identity(index, node.identity.incarnation.next().0);
        node.ledger = LedgerState::new(now, settings(node.identity.clone(), self.attempts));
        node.paused = false;
        node.withheld.clear();
        (0..ENTRIES).for_each(|index| self.tell_members(index));
    }

    fn lose_message(&mut self) {
        let at = self.random.gen_range(0..self.messages.len());
        let lost = self.messages.swap_remove(at);
        match lost {
            Message::Call { .. } | Message::Reply { .. } => {}
            other => self.messages.push(other),
        }
    }

    fn copy_message(&mut self) {
        let at = self.random.gen_range(0..self.messages.len());
        if let Message::Call { .. } | Message::Reply { .. } = &self.messages[at] {
            self.messages.push(self.messages[at].clone());
        }
    }

    fn deliver_any(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let at = self.random.gen_range(0..self.messages.len());
        let message = self.messages.swap_remove(at);
        self.deliver(message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Call { from, to, call } => {
                if let Some(index) = self.find(&to) {
                    self.give(index, LedgerEvent::CallReceived { from, call });
                }
            }
            Message::Reply { to, reply } => {
                if let Some(index) = self.find(&to) {
                    self.give(index, LedgerEvent::ReplyReceived(reply));
                }
            }
            Message::Store(call) => self.deliver_store(&call),
            Message::Probe { from, prefix } => {
                let is_lost = self.outage || (self.faults.lost && self.random.gen_bool(0.1));
                let listed = (!is_lost).then(|| self.store.list(&prefix));
                if let Some(index) = self.find(&from) {
                    self.give(index, LedgerEvent::HeadsListed(listed));
                }
            }
            Message::Ghost(effect) => {
                self.store.apply(&effect);
            }
            Message::Request { from, attempt } => self.serve(from, attempt),
            Message::Answer { to, event } => {
                if let Some(index) = self.find(&to) {
                    self.give(index, event);
                }
            }
        }
    }

    fn deliver_store(&mut self, call: &StoreCall) {
        let chance = if self.faults.lost {
            self.random.gen_range(0..20)
        } else {
            20
        };
        let reply = match chance {
            0 => {
                self.messages.push(Message::Ghost(call.effect.clone()));
                StoreReply::Unsettled
            }
            1 => {
                self.store.apply(&call.effect);
                StoreReply::Unsettled
            }
            2 => StoreReply::Unsettled,
            _ if self.outage => StoreReply::Refused,
            _ => self.store.apply(&call.effect),
        };
        let operation = call.operation;
        if let Some(index) = self.find(&call.from) {
            self.give(index, LedgerEvent::OperationCompleted { operation, reply });
        }
    }

    /// The service gets a request: it runs it, or says that it did not; its answer may be lost.
    fn serve(&mut self, from: EntryIdentity, attempt: AttemptId) {
        let event = if self.random.gen_bool(0.1) {
            self.service.released(attempt);
            LedgerEvent::AttemptReleased(attempt)
        } else {
            let answer = Some(self.service.run(attempt));
            let lost = self.faults.lost && self.random.gen_bool(0.1);
            LedgerEvent::AttemptFinished {
                attempt,
                answer: answer.filter(|_| !lost),
            }
        };
        self.messages.push(Message::Answer { to: from, event });
    }

    /// Ends all faults and lets everything run out; then a new order must run and be replayed.
    pub fn settle(&mut self) {
        self.faults = Faults::default();
        self.outage = false;
        (0..ENTRIES).for_each(|index| self.resume(index));
        self.nodes.iter_mut().for_each(|node| node.skew_ms = 0);
        (0..ENTRIES).for_each(|index| self.tell_members(index));
        self.run_for(Duration::from_secs(8));
        let key = self.order_until_run();
        let replays = self.replays;
        (0..ENTRIES).for_each(|index| {
            self.demand(index, key, "order");
        });
        self.run_for(Duration::from_secs(2));
        assert_eq!(
            self.replays,
            replays + ENTRIES,
            "the order was not replayed at every entry"
        );
    }

    /// Makes new orders until the service has run one.
    fn order_until_run(&mut self) -> IdempotencyKey {
        for _ in 0..ORDERS {
            let key = self.add_key(0);
            let runs = self.service.runs();
            let attempt = self.demand(0, key, "order");
            self.run_for(Duration::from_secs(3));
            assert!(self.service.is_answered(attempt), "{attempt} got no answer");
            if self.service.runs() > runs {
                return key;
            }
        }
        panic!("none of {ORDERS} new orders ran after the faults");
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while self.elapsed < end {
            self.elapsed += Duration::from_millis(10);
            (0..ENTRIES).for_each(|index| self.give(index, LedgerEvent::Tick));
            for _ in 0..self.messages.len() {
                let message = self.messages.swap_remove(0);
                self.deliver(message);
            }
        }
    }
}
