//! The ledger of one entry: the attempts of its callers, and the shards that it owns or watches.

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
use super::shard::ShardState;

/// Interval between sweeps for abandoned claims.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Counts of the ledger for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounts {
    /// Shards that this entry owns, confirmed by a successful write.
    pub owned_shards: u64,
    /// Claims that are stored in those shards.
    pub stored_claims: u64,
    /// Attempts of this entry's callers whose end has not been written.
    pub open_attempts: u64,
    /// Writes of the heads of those shards since this entry took each over.
    pub writes: u64,
}

/// The ledger of one entry, as a state machine without I/O: it handles events and returns effects.
#[derive(Debug)]
pub struct LedgerState {
    settings: LedgerSettings,
    members: EntryMembers,
    leaving: bool,
    client: ClaimClient,
    shards: Vec<ShardState>,
    last_sequence: u64,
    random: Pcg64Mcg,
    last_sweep_at: Instant,
    /// When the heads may be listed next; none while a listing is in flight.
    next_listing_at: Option<Instant>,
}

impl LedgerState {
    /// Creates the ledger of an entry without known live entries.
    pub fn new(now: Instant, settings: LedgerSettings) -> Self {
        let shards = (0..settings.shards).map(|_| ShardState::new(now)).collect();
        Self {
            members: EntryMembers::new(),
            leaving: false,
            client: ClaimClient::new(settings.shards),
            shards,
            last_sequence: 0,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            last_sweep_at: now,
            next_listing_at: Some(now),
            settings,
        }
    }

    /// Returns the counts for metrics.
    pub fn counts(&self) -> LedgerCounts {
        let mut counts = LedgerCounts {
            open_attempts: self.client.attempt_count() as u64,
            ..LedgerCounts::default()
        };
        let owned = self.shards.iter().filter_map(ShardState::owned);
        for shard in owned.filter(|shard| shard.is_confirmed()) {
            counts.owned_shards += 1;
            counts.stored_claims += shard.stored_claims();
            counts.writes += shard.writes();
        }
        counts
    }

    /// Handles one event and appends its effects. `now` is monotonic; `wall_ms` is milliseconds
    /// since 1970. Calls and replies of this entry to itself are handled here and are not among the
    /// effects.
    pub fn handle(
        &mut self,
        now: Instant,
        wall_ms: u64,
        event: LedgerEvent,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let mut staged = Vec::new();
        self.handle_event(now, wall_ms, event, &mut staged);
        self.advance_client(now, wall_ms, &mut staged);
        let mut queue = VecDeque::from(staged);
        while let Some(effect) = queue.pop_front() {
            let mut staged = Vec::new();
            match effect {
                LedgerEffect::Call { to, call } if to == self.settings.identity => {
                    self.dispatch_call(now, wall_ms, &to, call, &mut staged);
                }
                LedgerEffect::Reply { to, reply } if to == self.settings.identity => {
                    self.dispatch_reply(now, reply, &mut staged);
                    self.advance_client(now, wall_ms, &mut staged);
                }
                other => effects.push(other),
            }
            queue.extend(staged);
        }
    }

    /// Handles one event. The effects include calls and replies of this entry to itself.
    fn handle_event(
        &mut self,
        now: Instant,
        wall_ms: u64,
        event: LedgerEvent,
        effects: &mut Vec<LedgerEffect>,
    ) {
        match event {
            LedgerEvent::MembersUpdated(members) => self.update_members(now, members),
            LedgerEvent::RetentionUpdated(retention) => self.settings.retention = retention,
            LedgerEvent::ClaimRequested(request) => {
                self.client.start_attempt(now, &request, effects);
            }
            LedgerEvent::AttemptFinished { attempt, answer } => {
                self.client
                    .finish_attempt(now, attempt, answer, &self.settings);
            }
            LedgerEvent::AttemptReleased(attempt) => {
                self.client.release_attempt(now, attempt, &self.settings);
            }
            LedgerEvent::CallReceived { from, call } => {
                self.dispatch_call(now, wall_ms, &from, call, effects);
            }
            LedgerEvent::ReplyReceived(reply) => self.dispatch_reply(now, reply, effects),
            LedgerEvent::OperationCompleted { operation, reply } => {
                self.with_shard(now, wall_ms, operation.shard, effects, |state, context| {
                    state.handle_store_reply(context, operation, &reply);
                });
            }
            LedgerEvent::HeadsListed(listed) => self.handle_listing(now, wall_ms, listed, effects),
            LedgerEvent::Leaving => self.start_leaving(now),
            LedgerEvent::Tick => self.tick(now, wall_ms, effects),
        }
    }

    /// Runs a step on a shard, then starts its operations that are due.
    fn with_shard(
        &mut self,
        now: Instant,
        wall_ms: u64,
        shard: u32,
        effects: &mut Vec<LedgerEffect>,
        step: impl FnOnce(&mut ShardState, &mut ShardContext),
    ) {
        let Some(state) = self.shards.get_mut(shard as usize) else {
            return;
        };
        let mut context = ShardContext {
            now,
            wall_ms,
            settings: &self.settings,
            shard,
            last_sequence: &mut self.last_sequence,
            random: &mut self.random,
            effects,
        };
        step(state, &mut context);
        state.advance(&mut context);
    }

    /// Passes a call from an entry to the shard that it is for.
    fn dispatch_call(
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
        self.with_shard(now, wall_ms, shard, effects, |state, context| {
            state.handle_call(context, from, call);
        });
    }

    fn dispatch_reply(&mut self, now: Instant, reply: ClaimReply, effects: &mut Vec<LedgerEffect>) {
        self.client
            .handle_reply(now, reply, &self.settings, effects);
    }

    fn advance_client(&mut self, now: Instant, wall_ms: u64, effects: &mut Vec<LedgerEffect>) {
        let router = ShardRouter {
            members: &self.members,
            shards: &self.shards,
        };
        self.client
            .advance(now, wall_ms, &self.settings, &router, effects);
    }

    /// Starts a listing of the heads, a sweep and the operations of all shards, each if it is due.
    fn tick(&mut self, now: Instant, wall_ms: u64, effects: &mut Vec<LedgerEffect>) {
        let is_sweep_due = now.saturating_duration_since(self.last_sweep_at) >= SWEEP_INTERVAL;
        if is_sweep_due {
            self.last_sweep_at = now;
        }
        self.start_listing(now, effects);
        let members = self.members.clone();
        let has_restarted = |holder: &EntryIdentity| {
            let member = members.get(&holder.entry);
            member.is_some_and(|member| member.incarnation > holder.incarnation)
        };
        for shard in 0..self.settings.shards {
            self.with_shard(now, wall_ms, shard, effects, |state, context| {
                if is_sweep_due {
                    state.sweep_claims(context, has_restarted);
                }
            });
        }
    }

    /// Lists the versions of all heads with one call, if the listing is due and a shard needs it.
    fn start_listing(&mut self, now: Instant, effects: &mut Vec<LedgerEffect>) {
        let own = &self.settings.identity;
        let is_due = self.next_listing_at.is_some_and(|at| at <= now);
        if is_due && self.shards.iter().any(|state| state.needs_listing(own)) {
            self.next_listing_at = None;
            let prefix = shard_prefix(&self.settings.environment);
            effects.push(LedgerEffect::ListHeads { prefix });
        }
    }

    /// Schedules the next listing and passes the listed versions to the shards.
    fn handle_listing(
        &mut self,
        now: Instant,
        wall_ms: u64,
        listed: Option<Vec<ObjectEntry>>,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let jitter = self.random.gen_range(0.5..1.5);
        self.next_listing_at = Some(now + self.settings.head_poll_interval.mul_f64(jitter));
        let Some(listed) = listed else {
            return;
        };
        for shard in 0..self.settings.shards {
            let key = shard_key(&self.settings.environment, shard);
            let found = listed.iter().find(|entry| entry.key == key);
            let version = found.map(|entry| entry.version);
            self.with_shard(now, wall_ms, shard, effects, |state, context| {
                state.observe_listing(context, version);
            });
        }
    }

    /// Replaces the live entries and assigns the shards again.
    fn update_members(&mut self, now: Instant, members: Vec<EntryIdentity>) {
        let members = members
            .into_iter()
            .map(|member| (member.entry.clone(), member));
        self.members = members.collect();
        self.assign_shards(now);
    }

    /// Excludes this entry from the choice of owners and hands over its shards.
    fn start_leaving(&mut self, now: Instant) {
        self.leaving = true;
        self.assign_shards(now);
        for state in &mut self.shards {
            state.vacate(now);
        }
    }

    /// Chooses the preferred owner and the standby of each shard by rendezvous hashing over the
    /// live entries.
    fn assign_shards(&mut self, now: Instant) {
        let own = &self.settings.identity;
        let leaving = self.leaving;
        let members: Vec<&EntryIdentity> = self
            .members
            .values()
            .filter(|member| !leaving || *member != own)
            .collect();
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let weight = |member: &&&EntryIdentity| {
                xxh3_64_with_seed(member.entry.as_str().as_bytes(), shard as u64)
            };
            let preferred = members.iter().max_by_key(weight).copied();
            let others = members.iter().filter(|member| Some(**member) != preferred);
            let standby = others.max_by_key(weight).copied() == Some(own);
            state.set_preferred(now, preferred, standby);
        }
        self.client.drop_dead_owners(now, &self.members);
    }
}
