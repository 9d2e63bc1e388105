//! The model engines that this entry knows, and the open ones of each model by role and load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::engine::{CacheChange, CacheEvents, EngineRole};
use gs_protocol::ids::{DataCentreName, ModelName, ServerName};
use gs_protocol::prefix::PrefixHash;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::messages::ServerSighting;
use super::own_load::ServerWork;
use super::prefix_index::{PrefixHolder, PrefixIndex, PrefixMatch};
use super::role_index::{LoadKey, RoleIndex};
use super::server_record::{ReportShare, ServerId, ServerRecord};
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
    pub long_busy: usize,
}

impl ModelPool {
    /// Whether a request can be placed at all.
    pub fn is_whole(&self) -> bool {
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
struct ListedPlace {
    role: EngineRole,
    models: Vec<ModelName>,
    centre: DataCentreName,
    key: LoadKey,
    long_busy: bool,
}

/// Model engines by name, and by model, role and load.
#[derive(Clone, Debug)]
pub struct FleetTable {
    servers: BTreeMap<ServerId, ServerRecord>,
    names: BTreeMap<ServerName, ServerId>,
    pools: BTreeMap<ModelName, ModelPool>,
    listed: BTreeMap<ServerId, ListedPlace>,
    held: BTreeSet<(Instant, ServerId)>,
    leaving: BTreeMap<ServerName, Instant>,
    prefixes: PrefixIndex,
    next_server: ServerId,
    long_bound: Duration,
    epoch_start: Option<Instant>,
}

impl FleetTable {
    /// An empty table.
    pub fn new(prefix_capacity: usize) -> Self {
        Self {
            servers: BTreeMap::new(),
            names: BTreeMap::new(),
            pools: BTreeMap::new(),
            listed: BTreeMap::new(),
            held: BTreeSet::new(),
            leaving: BTreeMap::new(),
            prefixes: PrefixIndex::new(prefix_capacity),
            next_server: 0,
            long_bound: Duration::MAX,
            epoch_start: None,
        }
    }

    /// The server with an identity.
    pub fn server(&self, server: ServerId) -> Option<&ServerRecord> {
        self.servers.get(&server)
    }

    /// The identity of a named server.
    pub fn find(&self, name: &ServerName) -> Option<ServerId> {
        self.names.get(name).copied()
    }

    /// Sets the wait from which a prefill server counts as busy with a long prompt.
    pub fn set_long_bound(&mut self, bound: Duration) {
        self.long_bound = bound;
    }

    /// The wait from which a prefill server counts as busy with a long prompt.
    pub fn long_bound(&self) -> Duration {
        self.long_bound
    }

    /// Whether a server is kept from new work for a time.
    pub fn has_held(&self) -> bool {
        !self.held.is_empty()
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
        self.listed
            .get(&server)
            .is_some_and(|place| place.role == EngineRole::Prefill && place.models.contains(model))
    }

    /// The load by which an open server is ordered.
    pub fn listed_load(&self, server: ServerId) -> Option<u64> {
        self.listed.get(&server).map(|place| place.key.load)
    }

    /// Takes in a load report.
    pub fn see_load(
        &mut self,
        now: Instant,
        sighting: &ServerSighting,
        settings: &DispatchSettings,
        peers: u32,
        rng: &mut Pcg64Mcg,
    ) {
        let name = &sighting.report.server;
        if sighting.report.leaving {
            self.leaving.insert(name.clone(), now);
        }
        let server = match self.find(name) {
            Some(server) => server,
            None => self.admit(now, sighting, rng.r#gen()),
        };
        if let Some(record) = self.servers.get_mut(&server) {
            let draw = rng.r#gen();
            let share = ReportShare { peers, draw };
            record.refresh(now, sighting, settings.load_lag, share);
            record.enter_boot(sighting.report.boot);
        }
        self.relist(now, server, settings);
    }

    /// Takes in cache events of a known server.
    pub fn see_cache(&mut self, name: &ServerName, events: &CacheEvents) {
        let Some(server) = self.find(name) else {
            return;
        };
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        record.enter_boot(events.boot);
        for event in &events.events {
            if event.number <= record.cache_last {
                continue;
            }
            record.cache_last = event.number;
            match event.change {
                CacheChange::Stored => {
                    record.stored_pieces += 1;
                    self.prefixes.note(event.prefix, holder_of(server, record));
                }
                CacheChange::Evicted => self.prefixes.forget(event.prefix, server),
            }
        }
        record.cache_last = record.cache_last.max(events.last);
    }

    /// Gives a server nothing new until its reports say otherwise for long enough.
    pub fn see_leaving(&mut self, now: Instant, name: &ServerName, settings: &DispatchSettings) {
        self.leaving.insert(name.clone(), now);
        if let Some(server) = self.find(name) {
            self.relist(now, server, settings);
        }
    }

    /// Takes a server out until its next load report.
    pub fn see_lost(&mut self, now: Instant, name: &ServerName, settings: &DispatchSettings) {
        let Some(server) = self.find(name) else {
            return;
        };
        if let Some(record) = self.servers.get_mut(&server) {
            record.lost = true;
        }
        self.relist(now, server, settings);
        self.drop_if_unused(server);
    }

    /// Changes a server and lists it anew.
    pub fn update(
        &mut self,
        now: Instant,
        server: ServerId,
        settings: &DispatchSettings,
        change: impl FnOnce(&mut ServerRecord),
    ) {
        if let Some(record) = self.servers.get_mut(&server) {
            change(record);
        }
        self.relist(now, server, settings);
        self.drop_if_unused(server);
    }

    /// Lists servers whose hold has ended.
    pub fn end_holds(&mut self, now: Instant, settings: &DispatchSettings) {
        while let Some((until, server)) = self.held.first().copied() {
            if until > now {
                return;
            }
            self.held.pop_first();
            self.relist(now, server, settings);
        }
    }

    /// Servers that hold a prefix of a prompt, the longest match first.
    pub fn find_prefix(&self, pieces: &[PrefixHash]) -> Vec<PrefixMatch> {
        self.prefixes.find(pieces, |holder| {
            self.servers.get(&holder.server).is_some_and(|record| {
                let since = record.stored_pieces.saturating_sub(holder.stamp);
                holder.epoch == record.cache_epoch && since < u64::from(record.report.total_blocks)
            })
        })
    }

    /// Remembers that a server holds, or is about to hold, the prefixes of a prompt.
    pub fn note_prompt(&mut self, server: ServerId, pieces: &[PrefixHash], stored: u32) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        record.stored_pieces += u64::from(stored);
        let holder = holder_of(server, record);
        self.prefixes.note_prompt(pieces, holder);
    }

    /// Forgets that a server holds the prefixes of a prompt.
    pub fn forget_prompt(&mut self, server: ServerId, pieces: &[PrefixHash]) {
        self.prefixes.forget_prompt(pieces, server);
    }

    fn admit(&mut self, now: Instant, sighting: &ServerSighting, salt: u32) -> ServerId {
        let server = self.next_server;
        self.next_server += 1;
        self.epoch_start.get_or_insert(now);
        let name = sighting.report.server.clone();
        self.names.insert(name, server);
        self.servers
            .insert(server, ServerRecord::new(now, sighting, salt));
        server
    }

    fn drop_if_unused(&mut self, server: ServerId) {
        let Some(record) = self.servers.get(&server) else {
            return;
        };
        if record.lost && record.own() == ServerWork::default() {
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
    fn relist(&mut self, now: Instant, server: ServerId, settings: &DispatchSettings) {
        if self.relist_in_place(now, server, settings) {
            return;
        }
        let place = self.place_of(now, server, settings);
        let Some(old) = self.listed.remove(&server) else {
            if let Some(place) = place {
                self.list(place);
            }
            return;
        };
        self.unlist(&old);
        if let Some(place) = place {
            self.list(place);
        }
    }

    /// Moves a listed server that stays in the same indexes; `false` if it does not.
    fn relist_in_place(
        &mut self,
        now: Instant,
        server: ServerId,
        settings: &DispatchSettings,
    ) -> bool {
        let start = self.epoch_start.unwrap_or(now);
        let (Some(record), Some(place)) = (self.servers.get(&server), self.listed.get_mut(&server))
        else {
            return false;
        };
        let is_leaving = !self.leaving.is_empty() && self.leaving.contains_key(&record.name);
        if is_leaving || !record.is_open(now) || !place.is_index_of(record) {
            return false;
        }
        let old = (place.key, place.long_busy);
        place.key.load = load_of(now, start, record, settings);
        place.long_busy = is_long_busy(now, record, self.long_bound);
        if old == (place.key, place.long_busy) {
            return true;
        }
        for model in &place.models {
            let Some(pool) = self.pools.get_mut(model) else {
                continue;
            };
            let index = pool.index_mut(place.role);
            index.reorder(&place.centre, old.0, place.key);
            pool.long_busy += usize::from(place.long_busy);
            pool.long_busy -= usize::from(old.1);
        }
        true
    }

    fn place_of(
        &mut self,
        now: Instant,
        server: ServerId,
        settings: &DispatchSettings,
    ) -> Option<ListedPlace> {
        let name = self.servers.get(&server)?.name.clone();
        if self.is_leaving(now, &name, settings.leaving_hold) {
            return None;
        }
        let record = self.servers.get(&server)?;
        if !record.is_open(now) {
            if let Some(until) = record.held_until().filter(|until| *until > now) {
                self.held.insert((until, server));
            }
            return None;
        }
        let role = record.report.role;
        let start = self.epoch_start.unwrap_or(now);
        Some(ListedPlace {
            role,
            models: record.report.models.clone(),
            centre: record.data_centre.clone(),
            key: LoadKey {
                load: load_of(now, start, record, settings),
                salt: record.salt,
                server,
            },
            long_busy: is_long_busy(now, record, self.long_bound),
        })
    }

    fn list(&mut self, place: ListedPlace) {
        for model in &place.models {
            let pool = self.pools.entry(model.clone()).or_default();
            pool.index_mut(place.role).insert(&place.centre, place.key);
            pool.long_busy += usize::from(place.long_busy);
        }
        self.listed.insert(place.key.server, place);
    }

    fn unlist(&mut self, place: &ListedPlace) {
        for model in &place.models {
            let Some(pool) = self.pools.get_mut(model) else {
                continue;
            };
            pool.index_mut(place.role).remove(&place.centre, place.key);
            pool.long_busy -= usize::from(place.long_busy);
        }
    }
}

impl ListedPlace {
    fn is_index_of(&self, record: &ServerRecord) -> bool {
        self.role == record.report.role
            && self.centre == record.data_centre
            && self.models == record.report.models
    }
}

/// Whether a prefill server's queue is as long as a long prompt makes it.
fn is_long_busy(now: Instant, record: &ServerRecord, bound: Duration) -> bool {
    record.report.role == EngineRole::Prefill && record.prefill_wait(now) > bound
}

/// A server as a holder of what it stores now.
fn holder_of(server: ServerId, record: &ServerRecord) -> PrefixHolder {
    PrefixHolder {
        server,
        epoch: record.cache_epoch,
        stamp: record.stored_pieces,
    }
}

/// The load by which servers are ordered; the baselines know only what servers report.
fn load_of(
    now: Instant,
    start: Instant,
    record: &ServerRecord,
    settings: &DispatchSettings,
) -> u64 {
    let is_cost = settings.policy == PlacementPolicy::Cost;
    match record.report.role {
        EngineRole::Decode => {
            let reported = ServerWork::reported(&record.report).streams;
            let streams = if is_cost {
                record.work(now).streams
            } else {
                reported
            };
            u64::from(streams) * DECODE_LOAD_STEPS / u64::from(record.report.max_streams.max(1))
        }
        EngineRole::Prefill if is_cost => {
            let free_at = record.prefill_free_at(now).saturating_duration_since(start);
            free_at.as_micros() as u64 / PREFILL_LOAD_STEP_US
        }
        EngineRole::Prefill => u64::from(record.report.prefill_tokens),
    }
}
