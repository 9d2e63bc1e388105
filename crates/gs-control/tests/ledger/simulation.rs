//! A simulation of several entries over one object store, with messages in random order and random
//! faults.

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

use crate::service::ServiceModel;
use crate::store::{ObjectStore, StoreCall};

const ENTRIES: usize = 3;
/// Maximum number of new requests sent after the faults; one of them must run.
const MAX_RECOVERY_REQUESTS: usize = 12;
/// Distance from the end of its retention within which a key counts as about to expire.
const EXPIRY_WINDOW_MS: u64 = 1_500;
/// The time at which the simulation starts, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_700_000_000_000;
const RETENTION: Duration = Duration::from_secs(4);
/// Largest offset of an entry's wall clock from the simulated time.
const MAX_CLOCK_SKEW_MS: i64 = 1000;

/// The kinds of faults that a simulation injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Entries crash and restart with a new incarnation.
    pub crashes: bool,
    /// Entries stop handling events for a while.
    pub pauses: bool,
    /// The store refuses all calls for a while.
    pub outages: bool,
    /// Calls and replies between entries, and replies of store and service, are lost. A store call
    /// without reply may also take effect late or not at all.
    pub lost_messages: bool,
    /// Calls and replies between entries are delivered twice.
    pub duplicates: bool,
    /// Entries disagree about which others are live.
    pub diverging_views: bool,
    /// Most requests repeat a key that is about to expire.
    pub expiring_keys: bool,
}

impl Faults {
    /// All faults, with keys that are about to expire at their default share.
    pub fn all() -> Self {
        Self {
            crashes: true,
            pauses: true,
            outages: true,
            lost_messages: true,
            duplicates: true,
            diverging_views: true,
            expiring_keys: false,
        }
    }
}

/// An entry, with the events that it has not handled while paused.
struct SimulatedEntry {
    identity: EntryIdentity,
    ledger: LedgerState,
    paused: bool,
    deferred_events: Vec<LedgerEvent>,
    /// Offset of the entry's wall clock, in milliseconds.
    skew_ms: i64,
}

/// A message in transit.
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
    /// A listing of the heads in the store.
    ListHeads {
        from: EntryIdentity,
        prefix: String,
    },
    /// A store call whose sender already received `Unsettled`, and which takes effect late.
    LateStoreCall(LedgerEffect),
    /// A granted request, sent to the service.
    Request {
        from: EntryIdentity,
        attempt: AttemptId,
    },
    /// The result of a request, sent by the service.
    Answer {
        to: EntryIdentity,
        event: LedgerEvent,
    },
}

/// The entries, the store, the service and all messages in transit.
pub struct Simulation {
    random: Pcg64Mcg,
    faults: Faults,
    start: Instant,
    elapsed: Duration,
    entries: Vec<SimulatedEntry>,
    store: ObjectStore,
    messages: Vec<Message>,
    keys: Vec<IdempotencyKey>,
    outage: bool,
    pub service: ServiceModel,
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

impl Simulation {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let start = Instant::now();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let entries = (0..ENTRIES).map(|index| {
            let identity = identity(index, 1);
            let ledger = LedgerState::new(start, settings(identity.clone(), seed));
            let skew_ms = random.gen_range(-MAX_CLOCK_SKEW_MS..=MAX_CLOCK_SKEW_MS);
            SimulatedEntry {
                identity,
                ledger,
                paused: false,
                deferred_events: Vec::new(),
                skew_ms,
            }
        });
        let entries = entries.collect();
        let mut simulation = Self {
            random,
            faults,
            start,
            elapsed: Duration::ZERO,
            entries,
            store: ObjectStore::default(),
            messages: Vec::new(),
            keys: Vec::new(),
            outage: false,
            service: ServiceModel::default(),
            replays: 0,
            attempts: 0,
        };
        (0..ENTRIES).for_each(|index| simulation.send_members(index));
        simulation
    }

    /// Sends an entry the identities of all entries.
    fn send_members(&mut self, index: usize) {
        let members = self
            .entries
            .iter()
            .map(|entry| entry.identity.clone())
            .collect();
        self.deliver_event(index, LedgerEvent::MembersUpdated(members));
    }

    /// Passes an event to an entry, or defers it while the entry is paused.
    fn deliver_event(&mut self, index: usize, event: LedgerEvent) {
        let now = self.start + self.elapsed;
        let entry = &mut self.entries[index];
        if entry.paused {
            entry.deferred_events.push(event);
            return;
        }
        let wall_ms =
            (EPOCH_MS + self.elapsed.as_millis() as u64).wrapping_add_signed(entry.skew_ms);
        let mut effects = Vec::new();
        entry.ledger.handle(now, wall_ms, event, &mut effects);
        let from = entry.identity.clone();
        for effect in effects {
            self.apply_effect(index, &from, effect);
        }
    }

    /// Turns an effect into a message or passes it to the service.
    fn apply_effect(&mut self, index: usize, from: &EntryIdentity, effect: LedgerEffect) {
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
                self.messages.push(Message::ListHeads { from, prefix });
            }
            LedgerEffect::Call { to, call } => self.messages.push(Message::Call { from, to, call }),
            LedgerEffect::Reply { to, reply } => self.messages.push(Message::Reply { to, reply }),
            LedgerEffect::Grant(attempt) => {
                self.service.record_grant(attempt);
                if self.random.gen_bool(0.1) {
                    self.service.record_release(attempt);
                    self.deliver_event(index, LedgerEvent::AttemptReleased(attempt));
                } else {
                    self.messages.push(Message::Request { from, attempt });
                }
            }
            LedgerEffect::Replay { attempt, answer } => {
                self.replays += 1;
                self.service.check_replay(attempt, &answer);
            }
            LedgerEffect::Refuse {
                attempt,
                reason,
                outcome,
            } => {
                self.service.check_refusal(attempt, reason, outcome);
            }
        }
    }

    /// Returns the index of an entry; none if this incarnation has crashed.
    fn find_entry(&self, identity: &EntryIdentity) -> Option<usize> {
        self.entries
            .iter()
            .position(|entry| entry.identity == *identity)
    }

    /// Runs one random step: time, a request, a fault or the delivery of a message.
    pub fn step(&mut self) {
        match self.random.gen_range(0..100) {
            0..15 => self.advance_time(),
            15..25 => self.send_random_request(),
            25..27 if self.faults.pauses => self.toggle_pause(),
            27 if self.faults.crashes => self.crash_entry(),
            33..35 if self.faults.diverging_views => self.change_view(),
            28 if self.faults.outages => self.outage = !self.outage && self.random.gen_bool(0.5),
            29..31 if self.faults.lost_messages && !self.messages.is_empty() => self.drop_message(),
            31..33 if self.faults.duplicates && !self.messages.is_empty() => {
                self.duplicate_message();
            }
            _ => self.deliver_random_message(),
        }
    }

    /// Advances the time by a random interval and sends all entries a tick.
    fn advance_time(&mut self) {
        self.elapsed += Duration::from_millis(self.random.gen_range(1..120));
        (0..ENTRIES).for_each(|index| self.deliver_event(index, LedgerEvent::Tick));
    }

    /// Sends a request with a new or an earlier key to a random entry.
    fn send_random_request(&mut self) {
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
        self.send_request(index, key, body);
    }

    /// Picks a key that is about to expire, one of the last six, or any earlier one.
    fn pick_key(&mut self) -> IdempotencyKey {
        let recent = self.keys.len().saturating_sub(6);
        let now_ms = EPOCH_MS + self.elapsed.as_millis() as u64;
        let expiry_ms = now_ms - RETENTION.as_millis() as u64;
        let is_expiring = |key: &IdempotencyKey| {
            key.time_ms()
                .is_some_and(|created_ms| created_ms.abs_diff(expiry_ms) < EXPIRY_WINDOW_MS)
        };
        let expiring: Vec<_> = self.keys.iter().copied().filter(is_expiring).collect();
        let expiring = expiring.choose(&mut self.random).copied();
        let expiring_tenths = if self.faults.expiring_keys { 7 } else { 3 };
        match (self.random.gen_range(0..10), expiring) {
            (tenth, Some(expiring)) if tenth < expiring_tenths => expiring,
            (0..8, _) => self.keys[self.random.gen_range(recent..self.keys.len())],
            _ => self.keys[self.random.gen_range(0..self.keys.len())],
        }
    }

    /// Adds a UUIDv7 key whose time is this far ahead of the simulated time.
    fn add_key(&mut self, ahead_ms: i64) -> IdempotencyKey {
        let created_ms = (EPOCH_MS + self.elapsed.as_millis() as u64).wrapping_add_signed(ahead_ms);
        let low: u128 = u128::from(self.random.r#gen::<u64>() >> 2) | 2 << 62;
        let key = IdempotencyKey(Uuid::from_u128(
            u128::from(created_ms) << 80 | 7 << 76 | low,
        ));
        self.keys.push(key);
        key
    }

    fn send_request(&mut self, index: usize, key: IdempotencyKey, body: &str) -> AttemptId {
        self.attempts += 1;
        let attempt = AttemptId(Uuid::from_u128(u128::from(self.attempts)));
        let caller = CallerName::new("desk");
        let fingerprint = ClaimFingerprint::compute("POST", "/orders", body.as_bytes());
        self.service
            .record_attempt(attempt, ClaimId::derive(&caller, key), fingerprint);
        let wait = Duration::from_millis(self.random.gen_range(100..1500));
        let deadline = self.start + self.elapsed + wait;
        let request = ClaimRequest {
            attempt,
            caller,
            key,
            fingerprint,
            deadline,
        };
        self.deliver_event(index, LedgerEvent::ClaimRequested(request));
        attempt
    }

    fn toggle_pause(&mut self) {
        let index = self.random.gen_range(0..ENTRIES);
        if self.entries[index].paused {
            self.resume(index);
        } else {
            self.entries[index].paused = true;
        }
    }

    fn resume(&mut self, index: usize) {
        self.entries[index].paused = false;
        for event in std::mem::take(&mut self.entries[index].deferred_events) {
            self.deliver_event(index, event);
        }
    }

    /// Sends an entry a random set of live entries, which need not be true.
    fn change_view(&mut self) {
        let index = self.random.gen_range(0..ENTRIES);
        let mut members = Vec::new();
        for other in 0..ENTRIES {
            if other == index || self.random.gen_bool(0.5) {
                members.push(self.entries[other].identity.clone());
            }
        }
        self.deliver_event(index, LedgerEvent::MembersUpdated(members));
    }

    /// Crashes an entry and restarts it with the next incarnation. Messages that it sent stay in
    /// transit.
    fn crash_entry(&mut self) {
        let index = self.random.gen_range(0..ENTRIES);
        let now = self.start + self.elapsed;
        let entry = &mut self.entries[index];
        entry.identity = identity(index, entry.identity.incarnation.next().0);
        entry.ledger = LedgerState::new(now, settings(entry.identity.clone(), self.attempts));
        entry.paused = false;
        entry.deferred_events.clear();
        (0..ENTRIES).for_each(|index| self.send_members(index));
    }

    /// Drops a random message in transit if it is a call or reply between entries.
    fn drop_message(&mut self) {
        let index = self.random.gen_range(0..self.messages.len());
        let lost = self.messages.swap_remove(index);
        match lost {
            Message::Call { .. } | Message::Reply { .. } => {}
            other => self.messages.push(other),
        }
    }

    /// Duplicates a random message in transit if it is a call or reply between entries.
    fn duplicate_message(&mut self) {
        let index = self.random.gen_range(0..self.messages.len());
        if let Message::Call { .. } | Message::Reply { .. } = &self.messages[index] {
            self.messages.push(self.messages[index].clone());
        }
    }

    fn deliver_random_message(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.random.gen_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        self.deliver_message(message);
    }

    fn deliver_message(&mut self, message: Message) {
        match message {
            Message::Call { from, to, call } => {
                if let Some(index) = self.find_entry(&to) {
                    self.deliver_event(index, LedgerEvent::CallReceived { from, call });
                }
            }
            Message::Reply { to, reply } => {
                if let Some(index) = self.find_entry(&to) {
                    self.deliver_event(index, LedgerEvent::ReplyReceived(reply));
                }
            }
            Message::Store(call) => self.deliver_store_call(&call),
            Message::ListHeads { from, prefix } => {
                let is_lost =
                    self.outage || (self.faults.lost_messages && self.random.gen_bool(0.1));
                let listed = (!is_lost).then(|| self.store.list(&prefix));
                if let Some(index) = self.find_entry(&from) {
                    self.deliver_event(index, LedgerEvent::HeadsListed(listed));
                }
            }
            Message::LateStoreCall(effect) => {
                self.store.apply(&effect);
            }
            Message::Request { from, attempt } => self.serve_request(from, attempt),
            Message::Answer { to, event } => {
                if let Some(index) = self.find_entry(&to) {
                    self.deliver_event(index, event);
                }
            }
        }
    }

    /// Applies a store call and delivers its reply. With lost messages the call may be applied
    /// late, or applied or dropped without a reply.
    fn deliver_store_call(&mut self, call: &StoreCall) {
        let chance = if self.faults.lost_messages {
            self.random.gen_range(0..20)
        } else {
            20
        };
        let reply = match chance {
            0 => {
                self.messages
                    .push(Message::LateStoreCall(call.effect.clone()));
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
        if let Some(index) = self.find_entry(&call.from) {
            self.deliver_event(index, LedgerEvent::OperationCompleted { operation, reply });
        }
    }

    /// Lets the service run a request or report that it did not run it. The answer of a run may be
    /// lost.
    fn serve_request(&mut self, from: EntryIdentity, attempt: AttemptId) {
        let event = if self.random.gen_bool(0.1) {
            self.service.record_release(attempt);
            LedgerEvent::AttemptReleased(attempt)
        } else {
            let answer = Some(self.service.run_request(attempt));
            let lost = self.faults.lost_messages && self.random.gen_bool(0.1);
            LedgerEvent::AttemptFinished {
                attempt,
                answer: answer.filter(|_| !lost),
            }
        };
        self.messages.push(Message::Answer { to: from, event });
    }

    /// Ends all faults and checks that the ledger recovers: a new request must run once, and
    /// repeats of its key must be replayed at every entry.
    pub fn check_recovery(&mut self) {
        self.faults = Faults::default();
        self.outage = false;
        (0..ENTRIES).for_each(|index| self.resume(index));
        self.entries.iter_mut().for_each(|entry| entry.skew_ms = 0);
        (0..ENTRIES).for_each(|index| self.send_members(index));
        self.run_for(Duration::from_secs(8));
        let key = self.send_until_run();
        let replays = self.replays;
        (0..ENTRIES).for_each(|index| {
            self.send_request(index, key, "order");
        });
        self.run_for(Duration::from_secs(2));
        assert_eq!(
            self.replays,
            replays + ENTRIES,
            "the answer was not replayed at every entry"
        );
    }

    /// Sends new requests until the service has run one, and returns its key.
    fn send_until_run(&mut self) -> IdempotencyKey {
        for _ in 0..MAX_RECOVERY_REQUESTS {
            let key = self.add_key(0);
            let runs = self.service.run_count();
            let attempt = self.send_request(0, key, "order");
            self.run_for(Duration::from_secs(3));
            assert!(
                self.service.is_answered(attempt),
                "{attempt} was not granted, replayed or refused"
            );
            if self.service.run_count() > runs {
                return key;
            }
        }
        panic!("none of {MAX_RECOVERY_REQUESTS} new requests ran after the faults ended");
    }

    /// Runs simulated time in steps of 10 ms, delivering messages without faults.
    fn run_for(&mut self, duration: Duration) {
        let end = self.elapsed + duration;
        while self.elapsed < end {
            self.elapsed += Duration::from_millis(10);
            (0..ENTRIES).for_each(|index| self.deliver_event(index, LedgerEvent::Tick));
            for _ in 0..self.messages.len() {
                let message = self.messages.swap_remove(0);
                self.deliver_message(message);
            }
        }
    }
}
