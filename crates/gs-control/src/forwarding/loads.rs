//! The work that this entry and its peers have at each server, and the health of the servers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, ServerName};
use serde::{Deserialize, Serialize};

use super::admission::WaitingCounts;
use super::directory::{ListedServer, ServerStage};
use super::issues::{IssueReport, IssueTable, ServerIssue};
use super::memory::StreamShape;

/// Minimum lifetime of a peer's digest, in heartbeat intervals, so that one lost heartbeat does not
/// expire it.
const MIN_DIGEST_INTERVALS: f64 = 2.2;

/// Work at one server, not counting running streams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Open requests.
    pub requests: u32,
    /// Prompt tokens that prefills have yet to process.
    pub prompt_tokens: u64,
}

impl ServerLoad {
    /// The load of one plain request.
    pub const REQUEST: Self = Self {
        requests: 1,
        prompt_tokens: 0,
    };

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
    }

    fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(other.prompt_tokens);
    }

    fn is_idle(self) -> bool {
        self == Self::default()
    }
}

/// The work that one entry has at one server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerWork {
    /// Work other than running streams.
    pub load: ServerLoad,
    /// Memory of each running stream.
    pub streams: Vec<StreamShape>,
}

/// The work of one entry, by server, as it is sent to its peers.
pub type LoadDigest = Vec<(ServerName, ServerWork)>;

/// Identifies a running stream of this entry.
pub type StreamKey = u64;

/// Time limits and weights of the load tracker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Age at which a peer's digest expires.
    pub digest_lifetime: Duration,
    /// How long an engine that refused a stream as full is sent no further stream.
    pub full_hold: Duration,
    /// Initial backoff for an unreachable server; doubles with each consecutive failure.
    pub initial_backoff: Duration,
    /// Maximum backoff for an unreachable server.
    pub max_backoff: Duration,
    /// Weight of the newest answer in the moving average of a server's failures.
    pub failure_weight: f64,
    /// Half-life of the failure average while a server answers no requests.
    pub failure_half_life: Duration,
    /// Tokens per second by which the streams of peers are assumed to grow between digests.
    pub tokens_per_second: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            digest_lifetime: Duration::from_secs(3),
            full_hold: Duration::from_millis(100),
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(3),
            failure_weight: 0.1,
            failure_half_life: Duration::from_secs(4),
            tokens_per_second: 1_000.0,
        }
    }
}

/// Health of one server, from the outcomes of this entry's requests.
#[derive(Clone, Copy, Debug)]
struct ServerHealth {
    failure_rate: f64,
    updated_at: Instant,
    consecutive_failures: u32,
    backoff_until: Option<Instant>,
    full_until: Option<Instant>,
}

/// The newest digest of a peer, with its work stored by server in `peer_work`.
#[derive(Debug)]
struct PeerDigest {
    received_at: Instant,
    servers: Vec<ServerName>,
    waiting: WaitingCounts,
}

/// The work of a peer at one server.
#[derive(Debug)]
struct PeerWork {
    received_at: Instant,
    work: ServerWork,
}

/// The work of this entry at one server.
#[derive(Debug, Default)]
struct OwnWork {
    load: ServerLoad,
    streams: BTreeMap<StreamKey, StreamShape>,
}

/// Tracks the work of this entry and its peers at each server, and the health of the servers.
#[derive(Debug)]
pub struct LoadTracker {
    settings: LoadSettings,
    own_work: BTreeMap<ServerName, OwnWork>,
    peers: BTreeMap<EntryName, PeerDigest>,
    peer_work: BTreeMap<ServerName, BTreeMap<EntryName, PeerWork>>,
    health: BTreeMap<ServerName, ServerHealth>,
    issues: IssueTable,
    stage_changes: BTreeMap<ServerName, (ServerStage, Instant)>,
    heartbeat_interval: Duration,
    next_stream: StreamKey,
}

impl LoadTracker {
    /// Creates a tracker without any work.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            own_work: BTreeMap::new(),
            peers: BTreeMap::new(),
            peer_work: BTreeMap::new(),
            health: BTreeMap::new(),
            issues: IssueTable::default(),
            stage_changes: BTreeMap::new(),
            heartbeat_interval: Duration::ZERO,
            next_stream: 0,
        }
    }

    /// Adds work of this entry.
    pub fn add(&mut self, server: &ServerName, load: ServerLoad) {
        self.own_work
            .entry(server.clone())
            .or_default()
            .load
            .add(load);
    }

    /// Removes work of this entry.
    pub fn remove(&mut self, server: &ServerName, load: ServerLoad) {
        if let Some(own_work) = self.own_work.get_mut(server) {
            own_work.load.remove(load);
        }
        self.remove_idle(server);
    }

    /// Adds a stream of this entry and returns its key.
    pub fn add_stream(&mut self, server: &ServerName, shape: StreamShape) -> StreamKey {
        let key = self.next_stream;
        self.next_stream += 1;
        let own_work = self.own_work.entry(server.clone()).or_default();
        own_work.streams.insert(key, shape);
        key
    }

    /// Updates a stream of this entry that has generated `tokens` more tokens.
    pub fn grow_stream(&mut self, server: &ServerName, key: StreamKey, tokens: u32) {
        let own_work = self.own_work.get_mut(server);
        if let Some(shape) = own_work.and_then(|own_work| own_work.streams.get_mut(&key)) {
            *shape = shape.grown_by(tokens);
        }
    }

    /// Removes a stream of this entry.
    pub fn remove_stream(&mut self, server: &ServerName, key: StreamKey) {
        if let Some(own_work) = self.own_work.get_mut(server) {
            own_work.streams.remove(&key);
        }
        self.remove_idle(server);
    }

    fn remove_idle(&mut self, server: &ServerName) {
        let is_idle = |own_work: &OwnWork| own_work.load.is_idle() && own_work.streams.is_empty();
        if self.own_work.get(server).is_some_and(is_idle) {
            self.own_work.remove(server);
        }
    }

    /// Returns the work of this entry, to be sent to its peers.
    pub fn own_digest(&self) -> LoadDigest {
        self.own_work
            .iter()
            .map(|(server, own_work)| {
                let work = ServerWork {
                    load: own_work.load,
                    streams: own_work.streams.values().copied().collect(),
                };
                (server.clone(), work)
            })
            .collect()
    }

    /// Replaces the work of a peer and the number of streams in its queue.
    pub fn apply_peer_digest(
        &mut self,
        now: Instant,
        peer: &EntryName,
        digest: LoadDigest,
        waiting: WaitingCounts,
    ) {
        self.remove_peer(peer);
        let mut servers = Vec::with_capacity(digest.len());
        for (server, work) in digest {
            let server_work = self.peer_work.entry(server.clone()).or_default();
            server_work.insert(
                peer.clone(),
                PeerWork {
                    received_at: now,
                    work,
                },
            );
            servers.push(server);
        }
        let digest = PeerDigest {
            received_at: now,
            servers,
            waiting,
        };
        self.peers.insert(peer.clone(), digest);
    }

    /// Replaces the server issues that a peer reports.
    pub fn apply_peer_issues(&mut self, now: Instant, peer: &EntryName, report: IssueReport) {
        self.issues.apply_report(now, peer, report);
    }

    /// Returns the servers that this entry backs off from or has ordered to change stage, to be
    /// sent to its peers.
    pub fn own_issues(&self, now: Instant) -> IssueReport {
        let backed_off = self
            .health
            .iter()
            .filter(|(_, health)| health.backoff_until.is_some_and(|until| until > now));
        let unreachable = backed_off.map(|(server, _)| (server.clone(), ServerIssue::Unreachable));
        let stage_changes = self.own_stage_changes(now);
        let stage_changes =
            stage_changes.map(|(server, stage)| (server.clone(), ServerIssue::Switching(stage)));
        unreachable.chain(stage_changes).collect()
    }

    /// Records that this entry has ordered an engine to another stage. The engine is unavailable
    /// until the given time.
    pub fn record_stage_change(&mut self, server: &ServerName, stage: ServerStage, until: Instant) {
        self.stage_changes.insert(server.clone(), (stage, until));
    }

    fn own_stage_changes(&self, now: Instant) -> impl Iterator<Item = (&ServerName, ServerStage)> {
        let stage_changes = self.stage_changes.iter();
        stage_changes
            .filter(move |(_, (_, until))| *until > now)
            .map(|(server, (stage, _))| (server, *stage))
    }

    /// Returns the engines that this entry or its peers have ordered to change stage, and their new
    /// stages.
    pub fn stage_changes(&self, now: Instant) -> BTreeMap<ServerName, ServerStage> {
        let stage_changes = self
            .own_stage_changes(now)
            .chain(self.issues.stage_changes());
        stage_changes
            .map(|(server, stage)| (server.clone(), stage))
            .collect()
    }

    /// Returns the number of streams in the queues of the peers.
    pub fn peers_waiting(&self) -> WaitingCounts {
        let mut total = WaitingCounts::default();
        for digest in self.peers.values() {
            total.on_time += digest.waiting.on_time;
            total.late += digest.waiting.late;
            total.by_rank.add_all(&digest.waiting.by_rank);
        }
        total
    }

    /// Returns the number of streams that run in the whole fleet, as far as known.
    pub fn running_streams(&self) -> usize {
        let own_streams = self
            .own_work
            .values()
            .map(|own_work| own_work.streams.len());
        let peer_work = self.peer_work.values().flat_map(BTreeMap::values);
        own_streams.sum::<usize>() + peer_work.map(|peer| peer.work.streams.len()).sum::<usize>()
    }

    /// Sets the interval between heartbeats of a peer, which grows with the size of the fleet.
    /// Digests and reports live for a little more than two intervals at least.
    pub fn set_heartbeat_interval(&mut self, heartbeat_interval: Duration) {
        self.heartbeat_interval = heartbeat_interval;
    }

    /// Removes the work and reports of peers whose last digest has expired.
    pub fn expire_peers(&mut self, now: Instant) {
        let lifetime = self
            .settings
            .digest_lifetime
            .max(self.heartbeat_interval.mul_f64(MIN_DIGEST_INTERVALS));
        self.issues.expire_reports(now, lifetime);
        let expired: Vec<EntryName> = self
            .peers
            .iter()
            .filter(|(_, digest)| now.saturating_duration_since(digest.received_at) > lifetime)
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in expired {
            self.remove_peer(&peer);
        }
    }

    fn remove_peer(&mut self, peer: &EntryName) {
        let Some(digest) = self.peers.remove(peer) else {
            return;
        };
        for server in digest.servers {
            if let Some(server_work) = self.peer_work.get_mut(&server) {
                server_work.remove(peer);
                if server_work.is_empty() {
                    self.peer_work.remove(&server);
                }
            }
        }
    }

    /// Returns the open requests of this entry at a server.
    pub fn own_requests(&self, server: &ServerName) -> u32 {
        let own_work = self.own_work.get(server);
        own_work.map_or(0, |own_work| own_work.load.requests)
    }

    /// Returns the work of each peer at a server.
    fn peers_at(&self, server: &ServerName) -> impl Iterator<Item = &PeerWork> {
        let peers = self.peer_work.get(server).into_iter();
        peers.flat_map(BTreeMap::values)
    }

    /// Returns the work of all entries at a server, not counting running streams.
    pub fn load(&self, server: &ServerName) -> ServerLoad {
        let own_load = self.own_work.get(server).map(|own_work| own_work.load);
        let mut load = own_load.unwrap_or_default();
        for peer in self.peers_at(server) {
            load.add(peer.work.load);
        }
        load
    }

    /// Returns the number of streams of all entries at an engine.
    pub fn stream_count(&self, server: &ServerName) -> u32 {
        let own_work = self.own_work.get(server);
        let own_count = own_work.map_or(0, |own_work| own_work.streams.len());
        let peers = self.peers_at(server);
        let peer_count: usize = peers.map(|peer| peer.work.streams.len()).sum();
        (own_count + peer_count) as u32
    }

    /// Returns the open requests of peers at a server.
    pub fn peer_requests(&self, server: &ServerName) -> u32 {
        let peers = self.peers_at(server);
        peers.map(|peer| peer.work.load.requests).sum()
    }

    /// Returns the streams of all entries at an engine. Streams of peers are extrapolated from the
    /// age of their digests.
    pub fn streams(&self, now: Instant, server: &ServerName) -> Vec<StreamShape> {
        let own_work = self.own_work.get(server).into_iter();
        let mut shapes: Vec<StreamShape> = own_work
            .flat_map(|own_work| own_work.streams.values().copied())
            .collect();
        for peer in self.peers_at(server) {
            let age = now
                .saturating_duration_since(peer.received_at)
                .as_secs_f64();
            let generated = (age * self.settings.tokens_per_second) as u32;
            shapes.extend(
                peer.work
                    .streams
                    .iter()
                    .map(|shape| shape.grown_by(generated)),
            );
        }
        shapes
    }

    /// Records the outcome of a request at a server. A success ends its backoff.
    pub fn record_answer(&mut self, now: Instant, server: &ServerName, is_failure: bool) {
        let weight = self.settings.failure_weight;
        let rate = self.failure_rate(now, server);
        let sample = if is_failure { 1.0 } else { 0.0 };
        let health = self.health_mut(now, server);
        health.failure_rate = rate + weight * (sample - rate);
        health.updated_at = now;
        if !is_failure {
            health.consecutive_failures = 0;
            health.backoff_until = None;
        }
    }

    /// Records that a server could not be reached or did not answer, and returns its backoff.
    pub fn record_unreachable(&mut self, now: Instant, server: &ServerName) -> Duration {
        let LoadSettings {
            initial_backoff,
            max_backoff,
            ..
        } = self.settings;
        self.record_answer(now, server, true);
        let health = self.health_mut(now, server);
        let exponent = health.consecutive_failures.min(8);
        let backoff = (initial_backoff * 2_u32.pow(exponent)).min(max_backoff);
        health.consecutive_failures += 1;
        health.backoff_until = Some(now + backoff);
        backoff
    }

    /// Records that an engine refused a stream because it was full.
    pub fn record_full(&mut self, now: Instant, server: &ServerName) {
        let until = now + self.settings.full_hold;
        self.health_mut(now, server).full_until = Some(until);
    }

    /// Returns whether an engine has recently refused a stream because it was full.
    pub fn is_full(&self, now: Instant, server: &ServerName) -> bool {
        self.health
            .get(server)
            .and_then(|health| health.full_until)
            .is_some_and(|until| until > now)
    }

    fn health_mut(&mut self, now: Instant, server: &ServerName) -> &mut ServerHealth {
        self.health
            .entry(server.clone())
            .or_insert_with(|| ServerHealth {
                failure_rate: 0.0,
                updated_at: now,
                consecutive_failures: 0,
                backoff_until: None,
                full_until: None,
            })
    }

    /// Returns the moving average of a server's recent failures, from 0 to 1.
    pub fn failure_rate(&self, now: Instant, server: &ServerName) -> f64 {
        let Some(health) = self.health.get(server) else {
            return 0.0;
        };
        let age = now
            .saturating_duration_since(health.updated_at)
            .as_secs_f64();
        let half_life = self.settings.failure_half_life.as_secs_f64();
        health.failure_rate * 0.5_f64.powf(age / half_life)
    }

    /// Returns whether a server gets no new work: this entry backs off from it, peers report an
    /// issue that rules it out, or it is changing its stage.
    pub fn is_unavailable(&self, now: Instant, server: &ListedServer) -> bool {
        self.health
            .get(&server.name)
            .and_then(|health| health.backoff_until)
            .is_some_and(|until| until > now)
            || self.issues.rules_out(server)
            || self
                .own_stage_changes(now)
                .any(|(changing, _)| *changing == server.name)
    }

    /// Removes the health of servers for which `is_listed` is false.
    pub fn retain_servers(&mut self, mut is_listed: impl FnMut(&ServerName) -> bool) {
        self.health.retain(|server, _| is_listed(server));
    }
}
