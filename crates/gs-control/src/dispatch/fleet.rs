//! Model servers known to this entry, and an index of the available ones by model, role and load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::engine::{CacheChange, CacheEvents, EngineRole};
use gs_protocol::ids::{DataCentreName, ModelName, ServerName};
use gs_protocol::prefix::PrefixHash;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::messages::ServerObservation;
use super::prefix_index::{PrefixHolder, PrefixIndex, PrefixMatch};
use super::role_index::{LoadKey, RoleIndex};
use super::server_load::ServerWork;
use super::server_record::{ServerId, ServerRecord, SlotShare};
use super::settings::DispatchSettings;
use gs_document::settings::PlacementPolicy;

/// Load levels of a decode server between empty and full. Servers of one level count as equally
/// loaded.
const DECODE_LOAD_LEVELS: u64 = 64;

/// Width of a load level of a prefill server, in microseconds of queue time.
const PREFILL_LOAD_LEVEL_US: u64 = 2_000;

/// Available servers of one model.
#[derive(Clone, Debug, Default)]
pub struct ModelPool {
    /// Decode servers.
    pub decode: RoleIndex,
    /// Prefill servers.
    pub prefill: RoleIndex,
    /// Number of prefill servers whose queue is longer than the bound for long prompts.
    pub long_queue_count: usize,
}

impl ModelPool {
    /// Whether the model has available servers of both roles.
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

/// Position of an available server in the load indexes.
#[derive(Clone, Debug)]
struct IndexPosition {
    role: EngineRole,
    models: Vec<ModelName>,
    data_centre: DataCentreName,
    key: LoadKey,
    has_long_queue: bool,
}

/// Registry of model servers, with an index of the available ones by model, role and load.
#[derive(Clone, Debug)]
pub struct FleetTable {
    servers: BTreeMap<ServerId, ServerRecord>,
    names: BTreeMap<ServerName, ServerId>,
    pools: BTreeMap<ModelName, ModelPool>,
    /// Index position of each available server.
    positions: BTreeMap<ServerId, IndexPosition>,
    /// Servers that are backing off, by the end of their backoff.
    backoffs: BTreeSet<(Instant, ServerId)>,
    /// Time of the latest sign that a server is leaving.
    leaving_since: BTreeMap<ServerName, Instant>,
    prefixes: PrefixIndex,
    next_server: ServerId,
    long_prefill_bound: Duration,
    /// Reference time of the load keys, set when the first server is added.
    time_origin: Option<Instant>,
}

impl FleetTable {
    /// Creates an empty table whose prefix index holds at most `prefix_capacity` prefixes.
    pub fn new(prefix_capacity: usize) -> Self {
        Self {
            servers: BTreeMap::new(),
            names: BTreeMap::new(),
            pools: BTreeMap::new(),
            positions: BTreeMap::new(),
            backoffs: BTreeSet::new(),
            leaving_since: BTreeMap::new(),
            prefixes: PrefixIndex::new(prefix_capacity),
            next_server: 0,
            long_prefill_bound: Duration::MAX,
            time_origin: None,
        }
    }

    /// Returns the record of a server.
    pub fn server(&self, server: ServerId) -> Option<&ServerRecord> {
        self.servers.get(&server)
    }

    /// Returns the id of a named server.
    pub fn find_server(&self, name: &ServerName) -> Option<ServerId> {
        self.names.get(name).copied()
    }

    /// Sets the prefill time above which a prompt counts as long. A prefill server whose queue
    /// takes longer than this counts as busy with long prompts.
    pub fn set_long_prefill_bound(&mut self, bound: Duration) {
        self.long_prefill_bound = bound;
    }

    /// Prefill time above which a prompt counts as long, and queue time above which a prefill
    /// server counts as busy with long prompts.
    pub fn long_prefill_bound(&self) -> Duration {
        self.long_prefill_bound
    }

    /// Whether any server is backing off.
    pub fn has_backoffs(&self) -> bool {
        !self.backoffs.is_empty()
    }

    /// All known servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// Available servers of a model.
    pub fn pool(&self, model: &ModelName) -> Option<&ModelPool> {
        self.pools.get(model)
    }

    /// Available servers of a model, mutable for round-robin selection.
    pub fn pool_mut(&mut self, model: &ModelName) -> Option<&mut ModelPool> {
        self.pools.get_mut(model)
    }

    /// Whether a server is an available prefill server of a model.
    pub fn is_available_prefill(&self, server: ServerId, model: &ModelName) -> bool {
        self.positions.get(&server).is_some_and(|position| {
            position.role == EngineRole::Prefill && position.models.contains(model)
        })
    }

    /// Load by which an available server is ordered; `None` if it is not available.
    pub fn indexed_load(&self, server: ServerId) -> Option<u64> {
        self.positions
            .get(&server)
            .map(|position| position.key.load)
    }

    /// Applies a load report. Adds the server if it is new, and makes a lost one available again.
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
            self.leaving_since.insert(name.clone(), now);
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

    /// Applies cache events of a known server. Events with a number already applied are ignored.
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
                        .record(event.prefix, prefix_holder(server, record));
                }
                CacheChange::Evicted => self.prefixes.remove(event.prefix, server),
            }
        }
        record.last_cache_event = record.last_cache_event.max(events.last);
    }

    /// Makes a server unavailable until no sign that it is leaving has arrived for
    /// [`DispatchSettings::leaving_ttl`].
    pub fn mark_leaving(&mut self, now: Instant, name: &ServerName, settings: &DispatchSettings) {
        self.leaving_since.insert(name.clone(), now);
        if let Some(server) = self.find_server(name) {
            self.reindex(now, server, settings);
        }
    }

    /// Makes a server unavailable until its next load report.
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

    /// Changes a server record and updates its index position.
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

    /// Indexes servers whose backoff has ended.
    pub fn end_backoffs(&mut self, now: Instant, settings: &DispatchSettings) {
        while let Some((until, server)) = self.backoffs.first().copied() {
            if until > now {
                return;
            }
            self.backoffs.pop_first();
            self.reindex(now, server, settings);
        }
    }

    /// Servers that hold a prefix of a prompt, longest match first.
    ///
    /// Skips holders whose cache was reset, or that have since stored as many blocks as fit into
    /// their memory.
    pub fn find_prefix(&self, prefix_hashes: &[PrefixHash]) -> Vec<PrefixMatch> {
        self.prefixes.find(prefix_hashes, |holder| {
            self.servers.get(&holder.server).is_some_and(|record| {
                let stored_since = record.stored_blocks.saturating_sub(holder.blocks_at_use);
                holder.epoch == record.cache_epoch
                    && stored_since < u64::from(record.report.total_blocks)
            })
        })
    }

    /// Records that a server holds, or is about to hold, the prefixes of a prompt. `stored_blocks`
    /// is the number of KV-cache blocks that the prompt adds to the server's prefix cache.
    pub fn record_prompt(
        &mut self,
        server: ServerId,
        prefix_hashes: &[PrefixHash],
        stored_blocks: u32,
    ) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        record.stored_blocks += u64::from(stored_blocks);
        let holder = prefix_holder(server, record);
        self.prefixes.record_prompt(prefix_hashes, holder);
    }

    /// Removes a server as holder of the prefixes of a prompt.
    pub fn remove_prompt(&mut self, server: ServerId, prefix_hashes: &[PrefixHash]) {
        self.prefixes.remove_prompt(prefix_hashes, server);
    }

    /// Adds a server seen for the first time.
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

    /// Removes a lost server once this entry has no work on it.
    fn remove_if_unused(&mut self, server: ServerId) {
        let Some(record) = self.servers.get(&server) else {
            return;
        };
        if record.is_lost && record.own_work() == ServerWork::default() {
            self.names.remove(&record.name);
            self.servers.remove(&server);
        }
    }

    /// Whether a sign that the server is leaving arrived within `ttl`.
    fn is_leaving(&mut self, now: Instant, name: &ServerName, ttl: Duration) -> bool {
        let Some(since) = self.leaving_since.get(name) else {
            return false;
        };
        if now.saturating_duration_since(*since) < ttl {
            return true;
        }
        self.leaving_since.remove(name);
        false
    }

    /// Updates the index position of a server after a change of its state.
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

    /// Updates the load of a server that stays in the same indexes. Returns `false` if it must be
    /// moved.
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
        let is_leaving =
            !self.leaving_since.is_empty() && self.leaving_since.contains_key(&record.name);
        if is_leaving || !record.is_available(now) || !position.matches_record(record) {
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

    /// Index position of a server; `None` while it is not available.
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
        if !record.is_available(now) {
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

/// Whether a prefill server's queue exceeds the bound for long prompts.
fn has_long_queue(now: Instant, record: &ServerRecord, bound: Duration) -> bool {
    record.report.role == EngineRole::Prefill && record.prefill_wait(now) > bound
}

/// Builds the prefix-index entry for what a server stores now.
fn prefix_holder(server: ServerId, record: &ServerRecord) -> PrefixHolder {
    PrefixHolder {
        server,
        epoch: record.cache_epoch,
        blocks_at_use: record.stored_blocks,
    }
}

/// Load by which servers are ordered. The baseline policies use only what servers report.
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
            u64::from(streams) * DECODE_LOAD_LEVELS / u64::from(record.report.max_streams.max(1))
        }
        EngineRole::Prefill if is_cost => {
            let free_at = record
                .prefill_free_at(now)
                .saturating_duration_since(origin);
            free_at.as_micros() as u64 / PREFILL_LOAD_LEVEL_US
        }
        EngineRole::Prefill => u64::from(record.report.prefill_tokens),
    }
}
