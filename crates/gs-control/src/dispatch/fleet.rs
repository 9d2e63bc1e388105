//! The model engines that this entry knows, and the open ones of each model by role and load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::engine::{CacheChange, CacheEvents, EngineRole};
use gs_protocol::ids::{DataCentreName, ModelName, ServerName};
use gs_protocol::prefix::PieceHash;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::messages::ServerObservation;
use super::prefix_index::{PrefixHolder, PrefixIndex, PrefixMatch};
use super::role_index::{LoadKey, RoleIndex};
use super::server_load::ServerWork;
use super::server_record::{ServerId, ServerRecord, SlotShare};
use super::settings::DispatchSettings;
use gs_document::settings::PlacementPolicy;

/// Steps in which decode load is compared, per full batch.
const DECODE_LOAD_STEPS: u64 = 64;

/// Steps in which prefill load is compared, in microseconds.
const PREFILL_LOAD_STEP_US: u64 = 2_000;

/// The open servers of one model.
#[derive(Clone, Debug, Default)]
pub struct ModelPool {
    /// Servers that continue streams.
    pub decode: RoleIndex,
    /// Servers that compute prompts.
    pub prefill: RoleIndex,
    /// Prefill servers whose queue is longer than a long prompt's bound.
    pub long_queue_count: usize,
}

impl ModelPool {
    /// Whether a request can be placed at all.
    pub fn has_both_roles(&self) -> bool {
        !self.decode.is_empty() && !self.prefill.is_empty()
    }

    fn index_mut(&mut self, role: EngineRole) -> &mut RoleIndex {
        match role {
            EngineRole::Decode => &mut self.decode,
            EngineRole::Prefill => &mut self.prefill,
        }
    }
}

/// Where a server is listed.
#[derive(Clone, Debug)]
struct IndexPosition {
    role: EngineRole,
    models: Vec<ModelName>,
    data_centre: DataCentreName,
    key: LoadKey,
    has_long_queue: bool,
}

/// Model engines by name, and by model, role and load.
#[derive(Clone, Debug)]
pub struct FleetTable {
    servers: BTreeMap<ServerId, ServerRecord>,
    names: BTreeMap<ServerName, ServerId>,
    pools: BTreeMap<ModelName, ModelPool>,
    positions: BTreeMap<ServerId, IndexPosition>,
    backoffs: BTreeSet<(Instant, ServerId)>,
    leaving: BTreeMap<ServerName, Instant>,
    prefixes: PrefixIndex,
    next_server: ServerId,
    long_prefill_bound: Duration,
    time_origin: Option<Instant>,
}

impl FleetTable {
    /// An empty table.
    pub fn new(prefix_capacity: usize) -> Self {
        Self {
            servers: BTreeMap::new(),
            names: BTreeMap::new(),
            pools: BTreeMap::new(),
            positions: BTreeMap::new(),
            backoffs: BTreeSet::new(),
            leaving: BTreeMap::new(),
            prefixes: PrefixIndex::new(prefix_capacity),
            next_server: 0,
            long_prefill_bound: Duration::MAX,
            time_origin: None,
        }
    }

    /// The server with an identity.
    pub fn server(&self, server: ServerId) -> Option<&ServerRecord> {
        self.servers.get(&server)
    }

    /// The identity of a named server.
    pub fn find_server(&self, name: &ServerName) -> Option<ServerId> {
        self.names.get(name).copied()
    }

    /// Sets the wait from which a prefill server counts as busy with a long prompt.
    pub fn set_long_prefill_bound(&mut self, bound: Duration) {
        self.long_prefill_bound = bound;
    }

    /// The wait from which a prefill server counts as busy with a long prompt.
    pub fn long_prefill_bound(&self) -> Duration {
        self.long_prefill_bound
    }

    /// Whether a server is kept from new work for a time.
    pub fn has_backoffs(&self) -> bool {
        !self.backoffs.is_empty()
    }

    /// All known servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// The open servers of a model.
    pub fn pool(&self, model: &ModelName) -> Option<&ModelPool> {
        self.pools.get(model)
    }

    /// The open servers of a model, to take turns.
    pub fn pool_mut(&mut self, model: &ModelName) -> Option<&mut ModelPool> {
        self.pools.get_mut(model)
    }

    /// Whether a server is an open prefill server of a model.
    pub fn is_open_prefill(&self, server: ServerId, model: &ModelName) -> bool {
        self.positions.get(&server).is_some_and(|position| {
            position.role == EngineRole::Prefill && position.models.contains(model)
        })
    }

    /// The load by which an open server is ordered.
    pub fn indexed_load(&self, server: ServerId) -> Option<u64> {
        self.positions
            .get(&server)
            .map(|position| position.key.load)
    }

    /// Takes in a load report.
    pub fn apply_load_report(
        &mut self,
        now: Instant,
        observation: &ServerObservation,
        settings: &DispatchSettings,
        peers: u32,
        rng: &mut Pcg64Mcg,
    ) {
        let name = &observation.report.server;
        if observation.report.leaving {
            self.leaving.insert(name.clone(), now);
        }
        let server = match self.find_server(name) {
            Some(server) => server,
            None => self.add_server(now, observation, rng.r#gen()),
        };
        if let Some(record) = self.servers.get_mut(&server) {
            let remainder_draw = rng.r#gen();
            let share = SlotShare {
                peers,
                remainder_draw,
            };
            record.apply_report(now, observation, settings.load_lag, share);
            record.reset_cache_on_restart(observation.report.boot);
        }
        self.reindex(now, server, settings);
    }

    /// Takes in cache events of a known server.
    pub fn apply_cache_events(&mut self, name: &ServerName, events: &CacheEvents) {
        let Some(server) = self.find_server(name) else {
            return;
        };
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        record.reset_cache_on_restart(events.boot);
        for event in &events.events {
            if event.number <= record.last_cache_event {
                continue;
            }
            record.last_cache_event = event.number;
            match event.change {
                CacheChange::Stored => {
                    record.stored_blocks += 1;
                    self.prefixes
                        .record(event.piece, prefix_holder(server, record));
                }
                CacheChange::Evicted => self.prefixes.remove(event.piece, server),
            }
        }
        record.last_cache_event = record.last_cache_event.max(events.last);
    }

    /// Gives a server nothing new until its reports say otherwise for long enough.
    pub fn mark_leaving(&mut self, now: Instant, name: &ServerName, settings: &DispatchSettings) {
        self.leaving.insert(name.clone(), now);
        if let Some(server) = self.find_server(name) {
            self.reindex(now, server, settings);
        }
    }

    /// Takes a server out until its next load report.
    pub fn mark_lost(&mut self, now: Instant, name: &ServerName, settings: &DispatchSettings) {
        let Some(server) = self.find_server(name) else {
            return;
        };
        if let Some(record) = self.servers.get_mut(&server) {
            record.is_lost = true;
        }
        self.reindex(now, server, settings);
        self.remove_if_unused(server);
    }

    /// Changes a server and lists it anew.
    pub fn update_server(
        &mut self,
        now: Instant,
        server: ServerId,
        settings: &DispatchSettings,
        change: impl FnOnce(&mut ServerRecord),
    ) {
        if let Some(record) = self.servers.get_mut(&server) {
            change(record);
        }
        self.reindex(now, server, settings);
        self.remove_if_unused(server);
    }

    /// Lists servers whose hold has ended.
    pub fn end_backoffs(&mut self, now: Instant, settings: &DispatchSettings) {
        while let Some((until, server)) = self.backoffs.first().copied() {
            if until > now {
                return;
            }
            self.backoffs.pop_first();
            self.reindex(now, server, settings);
        }
    }

    /// Servers that hold a prefix of a prompt, the longest match first.
    pub fn find_prefix(&self, prefix_hashes: &[PieceHash]) -> Vec<PrefixMatch> {
        self.prefixes.find(prefix_hashes, |holder| {
            self.servers.get(&holder.server).is_some_and(|record| {
                let stored_since = record.stored_blocks.saturating_sub(holder.blocks_at_use);
                holder.epoch == record.cache_epoch && stored_since < u64::from(record.report.pieces)
            })
        })
    }

    /// Remembers that a server holds, or is about to hold, the prefixes of a prompt.
    pub fn record_prompt(
        &mut self,
        server: ServerId,
        prefix_hashes: &[PieceHash],
        stored_blocks: u32,
    ) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        record.stored_blocks += u64::from(stored_blocks);
        let holder = prefix_holder(server, record);
        self.prefixes.record_prompt(prefix_hashes, holder);
    }

    /// Forgets that a server holds the prefixes of a prompt.
    pub fn remove_prompt(&mut self, server: ServerId, prefix_hashes: &[PieceHash]) {
        self.prefixes.remove_prompt(prefix_hashes, server);
    }

    fn add_server(&mut self, now: Instant, observation: &ServerObservation, salt: u32) -> ServerId {
        let server = self.next_server;
        self.next_server += 1;
        self.time_origin.get_or_insert(now);
        let name = observation.report.server.clone();
        self.names.insert(name, server);
        self.servers
            .insert(server, ServerRecord::new(now, observation, salt));
        server
    }

    fn remove_if_unused(&mut self, server: ServerId) {
        let Some(record) = self.servers.get(&server) else {
            return;
        };
        if record.is_lost && record.own_work() == ServerWork::default() {
            self.names.remove(&record.name);
            self.servers.remove(&server);
        }
    }

    /// Whether a sign that the server leaves still holds.
    fn is_leaving(&mut self, now: Instant, name: &ServerName, hold: Duration) -> bool {
        let Some(since) = self.leaving.get(name) else {
            return false;
        };
        if now.saturating_duration_since(*since) < hold {
            return true;
        }
        self.leaving.remove(name);
        false
    }

    /// Lists a server where its present state belongs.
    fn reindex(&mut self, now: Instant, server: ServerId, settings: &DispatchSettings) {
        if self.reindex_in_place(now, server, settings) {
            return;
        }
        let position = self.index_position(now, server, settings);
        let Some(previous) = self.positions.remove(&server) else {
            if let Some(position) = position {
                self.insert_position(position);
            }
            return;
        };
        self.remove_position(&previous);
        if let Some(position) = position {
            self.insert_position(position);
        }
    }

    /// Moves a listed server that stays in the same indexes; `false` if it does not.
    fn reindex_in_place(
        &mut self,
        now: Instant,
        server: ServerId,
        settings: &DispatchSettings,
    ) -> bool {
        let origin = self.time_origin.unwrap_or(now);
        let (Some(record), Some(position)) =
            (self.servers.get(&server), self.positions.get_mut(&server))
        else {
            return false;
        };
        let is_leaving = !self.leaving.is_empty() && self.leaving.contains_key(&record.name);
        if is_leaving || !record.is_open(now) || !position.matches_record(record) {
            return false;
        }
        let previous = (position.key, position.has_long_queue);
        position.key.load = index_load(now, origin, record, settings);
        position.has_long_queue = has_long_queue(now, record, self.long_prefill_bound);
        if previous == (position.key, position.has_long_queue) {
            return true;
        }
        for model in &position.models {
            let Some(pool) = self.pools.get_mut(model) else {
                continue;
            };
            let index = pool.index_mut(position.role);
            index.reorder(&position.data_centre, previous.0, position.key);
            pool.long_queue_count += usize::from(position.has_long_queue);
            pool.long_queue_count -= usize::from(previous.1);
        }
        true
    }

    fn index_position(
        &mut self,
        now: Instant,
        server: ServerId,
        settings: &DispatchSettings,
    ) -> Option<IndexPosition> {
        let name = self.servers.get(&server)?.name.clone();
        if self.is_leaving(now, &name, settings.leaving_ttl) {
            return None;
        }
        let record = self.servers.get(&server)?;
        if !record.is_open(now) {
            if let Some(until) = record.backoff_until().filter(|until| *until > now) {
                self.backoffs.insert((until, server));
            }
            return None;
        }
        let role = record.report.role;
        let origin = self.time_origin.unwrap_or(now);
        Some(IndexPosition {
            role,
            models: record.report.models.clone(),
            data_centre: record.data_centre.clone(),
            key: LoadKey {
                load: index_load(now, origin, record, settings),
                salt: record.salt,
                server,
            },
            has_long_queue: has_long_queue(now, record, self.long_prefill_bound),
        })
    }

    fn insert_position(&mut self, position: IndexPosition) {
        for model in &position.models {
            let pool = self.pools.entry(model.clone()).or_default();
            pool.index_mut(position.role)
                .insert(&position.data_centre, position.key);
            pool.long_queue_count += usize::from(position.has_long_queue);
        }
        self.positions.insert(position.key.server, position);
    }

    fn remove_position(&mut self, position: &IndexPosition) {
        for model in &position.models {
            let Some(pool) = self.pools.get_mut(model) else {
                continue;
            };
            pool.index_mut(position.role)
                .remove(&position.data_centre, position.key);
            pool.long_queue_count -= usize::from(position.has_long_queue);
        }
    }
}

impl IndexPosition {
    fn matches_record(&self, record: &ServerRecord) -> bool {
        self.role == record.report.role
            && self.data_centre == record.data_centre
            && self.models == record.report.models
    }
}

/// Whether a prefill server's queue is as long as a long prompt makes it.
fn has_long_queue(now: Instant, record: &ServerRecord, bound: Duration) -> bool {
    record.report.role == EngineRole::Prefill && record.prefill_wait(now) > bound
}

/// A server as a holder of what it stores now.
fn prefix_holder(server: ServerId, record: &ServerRecord) -> PrefixHolder {
    PrefixHolder {
        server,
        epoch: record.cache_epoch,
        blocks_at_use: record.stored_blocks,
    }
}

/// The load by which servers are ordered; the baselines know only what servers report.
fn index_load(
    now: Instant,
    origin: Instant,
    record: &ServerRecord,
    settings: &DispatchSettings,
) -> u64 {
    let is_cost = settings.policy == PlacementPolicy::Cost;
    match record.report.role {
        EngineRole::Decode => {
            let reported_streams = ServerWork::from_report(&record.report).streams;
            let streams = if is_cost {
                record.estimated_work(now).streams
            } else {
                reported_streams
            };
            u64::from(streams) * DECODE_LOAD_STEPS / u64::from(record.report.max_streams.max(1))
        }
        EngineRole::Prefill if is_cost => {
            let free_at = record
                .prefill_free_at(now)
                .saturating_duration_since(origin);
            free_at.as_micros() as u64 / PREFILL_LOAD_STEP_US
        }
        EngineRole::Prefill => u64::from(record.report.prefill_tokens),
    }
}
