//! The ledger of one entry: its callers' attempts and the shards that it owns or watches.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gs_protocol::claims::{ClaimCall, ClaimReply};
use gs_protocol::ids::EntryIdentity;
use gs_protocol::objects::{shard_key, shard_prefix};
use gs_protocol::platform::ObjectEntry;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::client::{ClaimClient, EntryMembers, ShardRouter};
use super::context::ShardContext;
use super::messages::{LedgerEffect, LedgerEvent};
use super::settings::LedgerSettings;
use super::shard::ShardSlot;

/// Interval between sweeps for open claims whose holder is gone.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounts {
    /// Shards that this entry owns, proven by a write.
    pub owned_shards: u64,
    /// Claims that are kept in those shards.
    pub stored_claims: u64,
    /// Attempts of this entry's callers that are not closed.
    pub open_attempts: u64,
    /// Writes of heads since this entry took the shards that it owns now.
    pub writes: u64,
}

/// The ledger of one entry.
#[derive(Debug)]
pub struct LedgerState {
    settings: LedgerSettings,
    members: EntryMembers,
    leaving: bool,
    client: ClaimClient,
    shards: Vec<ShardSlot>,
    serial: u64,
    random: Pcg64Mcg,
    swept_at: Instant,
    /// When the heads are listed next; none while a listing is under way.
    probe_at: Option<Instant>,
}

impl LedgerState {
    /// The ledger of an entry that knows no other entry yet.
    pub fn new(now: Instant, settings: LedgerSettings) -> Self {
        let shards = (0..settings.shards).map(|_| ShardSlot::new(now)).collect();
        Self {
            members: EntryMembers::new(),
            leaving: false,
            client: ClaimClient::new(settings.shards),
            shards,
            serial: 0,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            swept_at: now,
            probe_at: Some(now),
            settings,
        }
    }

    /// Counts for metrics.
    pub fn counts(&self) -> LedgerCounts {
        let mut counts = LedgerCounts {
            open_attempts: self.client.attempts() as u64,
            ..LedgerCounts::default()
        };
        let owned = self.shards.iter().filter_map(ShardSlot::owned);
        for shard in owned.filter(|shard| shard.is_proven()) {
            counts.owned_shards += 1;
            counts.stored_claims += shard.stored_claims();
            counts.writes += shard.writes();
        }
        counts
    }

    /// Takes one event. `now` is monotonic; `wall_ms` is milliseconds since 1970.
    pub fn handle(
        &mut self,
        now: Instant,
        wall_ms: u64,
        event: LedgerEvent,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let mut staged = Vec::new();
        self.take(now, wall_ms, event, &mut staged);
        self.pump_client(now, wall_ms, &mut staged);
        let mut queue = VecDeque::from(staged);
        while let Some(effect) = queue.pop_front() {
            let mut staged = Vec::new();
            match effect {
                LedgerEffect::Call { to, call } if to == self.settings.identity => {
                    self.called(now, wall_ms, &to, call, &mut staged);
                }
                LedgerEffect::Reply { to, reply } if to == self.settings.identity => {
                    self.replied(now, reply, &mut staged);
                    self.pump_client(now, wall_ms, &mut staged);
                }
                other => effects.push(other),
            }
            queue.extend(staged);
        }
    }

    fn take(
        &mut self,
        now: Instant,
        wall_ms: u64,
        event: LedgerEvent,
        effects: &mut Vec<LedgerEffect>,
    ) {
        match event {
            LedgerEvent::MembersUpdated(members) => self.see_members(now, members),
            LedgerEvent::RetentionUpdated(retention) => self.settings.retention = retention,
            LedgerEvent::ClaimRequested(demand) => self.client.demand(now, &demand, effects),
            LedgerEvent::AttemptFinished { attempt, answer } => {
                self.client.finish(now, attempt, answer, &self.settings);
            }
            LedgerEvent::AttemptReleased(attempt) => {
                self.client.release(now, attempt, &self.settings)
            }
            LedgerEvent::CallReceived { from, call } => {
                self.called(now, wall_ms, &from, call, effects)
            }
            LedgerEvent::ReplyReceived(reply) => self.replied(now, reply, effects),
            LedgerEvent::OperationCompleted { operation, reply } => {
                self.with_shard(now, wall_ms, operation.shard, effects, |slot, context| {
                    slot.stored(context, operation, &reply);
                });
            }
            LedgerEvent::HeadsListed(listed) => self.probed(now, wall_ms, listed, effects),
            LedgerEvent::Leaving => self.leave(now),
            LedgerEvent::Tick => self.tick(now, wall_ms, effects),
        }
    }

    /// Runs a step of a shard and whatever became due by it.
    fn with_shard(
        &mut self,
        now: Instant,
        wall_ms: u64,
        shard: u32,
        effects: &mut Vec<LedgerEffect>,
        step: impl FnOnce(&mut ShardSlot, &mut ShardContext),
    ) {
        let Some(slot) = self.shards.get_mut(shard as usize) else {
            return;
        };
        let mut context = ShardContext {
            now,
            wall_ms,
            settings: &self.settings,
            shard,
            serial: &mut self.serial,
            random: &mut self.random,
            effects,
        };
        step(slot, &mut context);
        slot.pump(&mut context);
    }

    fn called(
        &mut self,
        now: Instant,
        wall_ms: u64,
        from: &EntryIdentity,
        call: ClaimCall,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let shard = match &call {
            ClaimCall::Claim { id, .. }
            | ClaimCall::Finish { id, .. }
            | ClaimCall::Release { id, .. } => id.shard(self.settings.shards),
            ClaimCall::Vacated { shard } => *shard,
        };
        self.with_shard(now, wall_ms, shard, effects, |slot, context| {
            slot.call(context, from, call);
        });
    }

    fn replied(&mut self, now: Instant, reply: ClaimReply, effects: &mut Vec<LedgerEffect>) {
        self.client.replied(now, reply, &self.settings, effects);
    }

    fn pump_client(&mut self, now: Instant, wall_ms: u64, effects: &mut Vec<LedgerEffect>) {
        let router = ShardRouter {
            members: &self.members,
            shards: &self.shards,
        };
        self.client
            .pump(now, wall_ms, &self.settings, &router, effects);
    }

    fn tick(&mut self, now: Instant, wall_ms: u64, effects: &mut Vec<LedgerEffect>) {
        let sweeps = now.saturating_duration_since(self.swept_at) >= SWEEP_INTERVAL;
        if sweeps {
            self.swept_at = now;
        }
        self.probe(now, effects);
        let members = self.members.clone();
        let is_gone = |holder: &EntryIdentity| {
            let member = members.get(&holder.entry);
            member.is_some_and(|member| member.incarnation > holder.incarnation)
        };
        for shard in 0..self.settings.shards {
            self.with_shard(now, wall_ms, shard, effects, |slot, context| {
                if sweeps {
                    slot.sweep(context, is_gone);
                }
            });
        }
    }

    /// Asks for the versions of all heads with one call, if any is of interest.
    fn probe(&mut self, now: Instant, effects: &mut Vec<LedgerEffect>) {
        let own = &self.settings.identity;
        let is_due = self.probe_at.is_some_and(|at| at <= now);
        if is_due && self.shards.iter().any(|slot| slot.wants_probe(own)) {
            self.probe_at = None;
            let prefix = shard_prefix(&self.settings.environment);
            effects.push(LedgerEffect::ListHeads { prefix });
        }
    }

    fn probed(
        &mut self,
        now: Instant,
        wall_ms: u64,
        listed: Option<Vec<ObjectEntry>>,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let jitter = self.random.gen_range(0.5..1.5);
        self.probe_at = Some(now + self.settings.observe_interval.mul_f64(jitter));
        let Some(listed) = listed else {
            return;
        };
        for shard in 0..self.settings.shards {
            let key = shard_key(&self.settings.environment, shard);
            let found = listed.iter().find(|entry| entry.key == key);
            let version = found.map(|entry| entry.version);
            self.with_shard(now, wall_ms, shard, effects, |slot, context| {
                slot.probed(context, version);
            });
        }
    }

    fn see_members(&mut self, now: Instant, members: Vec<EntryIdentity>) {
        let members = members
            .into_iter()
            .map(|member| (member.entry.clone(), member));
        self.members = members.collect();
        self.route(now);
    }

    fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.route(now);
        for slot in &mut self.shards {
            slot.vacate(now);
        }
    }

    /// Chooses who should own each shard among the live entries.
    fn route(&mut self, now: Instant) {
        let own = &self.settings.identity;
        let leaving = self.leaving;
        let members: Vec<&EntryIdentity> = self
            .members
            .values()
            .filter(|member| !leaving || *member != own)
            .collect();
        for (shard, slot) in self.shards.iter_mut().enumerate() {
            let weight = |member: &&&EntryIdentity| {
                xxh3_64_with_seed(member.entry.as_str().as_bytes(), shard as u64)
            };
            let first = members.iter().max_by_key(weight).copied();
            let others = members.iter().filter(|member| Some(**member) != first);
            let standby = others.max_by_key(weight).copied() == Some(own);
            slot.prefer(now, first, standby);
        }
        self.client.keep_routes(now, &self.members);
    }
}
