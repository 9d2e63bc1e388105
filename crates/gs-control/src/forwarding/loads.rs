//! What this entry and its peers have running at each server, and how the servers behave.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, ServerName};
use serde::{Deserialize, Serialize};

use super::admission::WaitingCounts;
use super::directory::{ServerEntry, ServerStage};
use super::issues::{IssueReport, IssueTable, ServerIssue};
use super::memory::StreamShape;

/// Intervals for which the digest of a peer counts at least.
const DIGEST_INTERVALS: f64 = 2.2;

/// Work at one server, besides streams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub prompt_tokens: u64,
}

impl ServerLoad {
    /// One plain request.
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

/// The work of one entry at one server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerWork {
    /// Work besides streams.
    pub load: ServerLoad,
    /// Running streams.
    pub streams: Vec<StreamShape>,
}

/// The work of one entry, by server.
pub type LoadDigest = Vec<(ServerName, ServerWork)>;

/// A stream that this entry has running.
pub type StreamKey = u64;

/// Times and weights of the load book.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Age from which a peer's digest no longer counts.
    pub digest_lifetime: Duration,
    /// How long an engine that had no room gets no further stream.
    pub full_hold: Duration,
    /// How long a server that cannot be reached gets nothing new; doubles with each failure in a row.
    pub unreachable_hold: Duration,
    /// The longest such time.
    pub unreachable_hold_limit: Duration,
    /// Weight of the newest outcome in a server's share of failures.
    pub failure_weight: f64,
    /// Time in which the share of failures of an unused server halves.
    pub failure_half_life: Duration,
    /// Tokens that an engine adds to a stream in a second.
    pub tokens_per_second: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            digest_lifetime: Duration::from_secs(3),
            full_hold: Duration::from_millis(100),
            unreachable_hold: Duration::from_millis(250),
            unreachable_hold_limit: Duration::from_secs(3),
            failure_weight: 0.1,
            failure_half_life: Duration::from_secs(4),
            tokens_per_second: 1_000.0,
        }
    }
}

/// How a server has behaved.
#[derive(Clone, Copy, Debug)]
struct ServerHealth {
    failure_share: f64,
    updated: Instant,
    failures_in_row: u32,
    avoided_until: Option<Instant>,
    full_until: Option<Instant>,
}

/// What a peer has running.
#[derive(Debug)]
struct PeerDigest {
    heard: Instant,
    servers: Vec<ServerName>,
    waiting: WaitingCounts,
}

/// What a peer has running at one server.
#[derive(Debug)]
struct PeerWork {
    heard: Instant,
    work: ServerWork,
}

/// Own work at one server.
#[derive(Debug, Default)]
struct OwnWork {
    load: ServerLoad,
    streams: BTreeMap<StreamKey, StreamShape>,
}

/// Work at servers, own and peers', and the servers' health.
#[derive(Debug)]
pub struct LoadTracker {
    settings: LoadSettings,
    own: BTreeMap<ServerName, OwnWork>,
    peers: BTreeMap<EntryName, PeerDigest>,
    peer_work: BTreeMap<ServerName, BTreeMap<EntryName, PeerWork>>,
    health: BTreeMap<ServerName, ServerHealth>,
    troubles: IssueTable,
    switching: BTreeMap<ServerName, (ServerStage, Instant)>,
    interval: Duration,
    next_stream: StreamKey,
}

impl LoadTracker {
    /// A book without any work.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            peer_work: BTreeMap::new(),
            health: BTreeMap::new(),
            troubles: IssueTable::default(),
            switching: BTreeMap::new(),
            interval: Duration::ZERO,
            next_stream: 0,
        }
    }

    /// Counts own work.
    pub fn add(&mut self, server: &ServerName, load: ServerLoad) {
        self.own.entry(server.clone()).or_default().load.add(load);
    }

    /// Takes own work off.
    pub fn remove(&mut self, server: &ServerName, load: ServerLoad) {
        if let Some(own) = self.own.get_mut(server) {
            own.load.remove(load);
        }
        self.drop_idle(server);
    }

    /// Counts an own stream.
    pub fn add_stream(&mut self, server: &ServerName, shape: StreamShape) -> StreamKey {
        let key = self.next_stream;
        self.next_stream += 1;
        let own = self.own.entry(server.clone()).or_default();
        own.streams.insert(key, shape);
        key
    }

    /// An own stream has grown by some tokens.
    pub fn grow_stream(&mut self, server: &ServerName, key: StreamKey, tokens: u32) {
        let own = self.own.get_mut(server);
        if let Some(shape) = own.and_then(|own| own.streams.get_mut(&key)) {
            *shape = shape.grown_by(tokens);
        }
    }

    /// An own stream has ended.
    pub fn remove_stream(&mut self, server: &ServerName, key: StreamKey) {
        if let Some(own) = self.own.get_mut(server) {
            own.streams.remove(&key);
        }
        self.drop_idle(server);
    }

    fn drop_idle(&mut self, server: &ServerName) {
        let is_idle = |own: &OwnWork| own.load.is_idle() && own.streams.is_empty();
        if self.own.get(server).is_some_and(is_idle) {
            self.own.remove(server);
        }
    }

    /// Own work, for the peers.
    pub fn own_digest(&self) -> LoadDigest {
        self.own
            .iter()
            .map(|(server, own)| {
                let work = ServerWork {
                    load: own.load,
                    streams: own.streams.values().copied().collect(),
                };
                (server.clone(), work)
            })
            .collect()
    }

    /// Takes in what a peer has running, and how many streams wait there.
    pub fn apply_peer_digest(
        &mut self,
        now: Instant,
        peer: &EntryName,
        digest: LoadDigest,
        waiting: WaitingCounts,
    ) {
        self.forget_peer(peer);
        let mut servers = Vec::with_capacity(digest.len());
        for (server, work) in digest {
            let at_server = self.peer_work.entry(server.clone()).or_default();
            at_server.insert(peer.clone(), PeerWork { heard: now, work });
            servers.push(server);
        }
        let digest = PeerDigest {
            heard: now,
            servers,
            waiting,
        };
        self.peers.insert(peer.clone(), digest);
    }

    /// Takes in what a peer has met at servers.
    pub fn apply_peer_issues(&mut self, now: Instant, peer: &EntryName, report: IssueReport) {
        self.troubles.hear(now, peer, report);
    }

    /// Servers that this entry could not reach and leaves alone, for the peers.
    pub fn own_issues(&self, now: Instant) -> IssueReport {
        let avoided = self
            .health
            .iter()
            .filter(|(_, health)| health.avoided_until.is_some_and(|until| until > now));
        let unreachable = avoided.map(|(server, _)| (server.clone(), ServerIssue::Unreachable));
        let switching = self.own_switching(now);
        let switching =
            switching.map(|(server, stage)| (server.clone(), ServerIssue::Switching(stage)));
        unreachable.chain(switching).collect()
    }

    /// This entry has ordered a server to another stage, where it is busy until the time.
    pub fn record_stage_change(&mut self, server: &ServerName, stage: ServerStage, until: Instant) {
        self.switching.insert(server.clone(), (stage, until));
    }

    fn own_switching(&self, now: Instant) -> impl Iterator<Item = (&ServerName, ServerStage)> {
        let switching = self.switching.iter();
        switching
            .filter(move |(_, (_, until))| *until > now)
            .map(|(server, (stage, _))| (server, *stage))
    }

    /// Servers that this entry or its peers have ordered to another stage, by the stage that they will have.
    pub fn switching(&self, now: Instant) -> BTreeMap<ServerName, ServerStage> {
        let switching = self.own_switching(now).chain(self.troubles.switching());
        switching
            .map(|(server, stage)| (server.clone(), stage))
            .collect()
    }

    /// Streams that wait for room at the peers.
    pub fn peers_waiting(&self) -> WaitingCounts {
        let mut total = WaitingCounts::default();
        for digest in self.peers.values() {
            total.on_time += digest.waiting.on_time;
            total.late += digest.waiting.late;
        }
        total
    }

    /// Streams that are known to run in the whole fleet.
    pub fn running_streams(&self) -> usize {
        let own = self.own.values().map(|own| own.streams.len());
        let peers = self.peer_work.values().flat_map(BTreeMap::values);
        own.sum::<usize>() + peers.map(|peer| peer.work.streams.len()).sum::<usize>()
    }

    /// Entries of a fleet of this size tell of themselves once in an interval, so what they have told counts
    /// for longer.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Forgets peers that have been silent for long.
    pub fn expire_peers(&mut self, now: Instant) {
        let lifetime = self
            .settings
            .digest_lifetime
            .max(self.interval.mul_f64(DIGEST_INTERVALS));
        self.troubles.drop_old(now, lifetime);
        let silent: Vec<EntryName> = self
            .peers
            .iter()
            .filter(|(_, digest)| now.saturating_duration_since(digest.heard) > lifetime)
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in silent {
            self.forget_peer(&peer);
        }
    }

    fn forget_peer(&mut self, peer: &EntryName) {
        let Some(digest) = self.peers.remove(peer) else {
            return;
        };
        for server in digest.servers {
            if let Some(at_server) = self.peer_work.get_mut(&server) {
                at_server.remove(peer);
                if at_server.is_empty() {
                    self.peer_work.remove(&server);
                }
            }
        }
    }

    /// All known work at a server, besides streams.
    pub fn load(&self, server: &ServerName) -> ServerLoad {
        let own = self.own.get(server).map(|own| own.load);
        let mut load = own.unwrap_or_default();
        for peer in self
            .peer_work
            .get(server)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            load.add(peer.work.load);
        }
        load
    }

    /// All known streams at an engine; those of peers as they should have grown since they were told.
    pub fn streams(&self, now: Instant, server: &ServerName) -> Vec<StreamShape> {
        let own = self.own.get(server).into_iter();
        let mut shapes: Vec<StreamShape> =
            own.flat_map(|own| own.streams.values().copied()).collect();
        for peer in self
            .peer_work
            .get(server)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            let age = now.saturating_duration_since(peer.heard).as_secs_f64();
            let grown = (age * self.settings.tokens_per_second) as u32;
            shapes.extend(peer.work.streams.iter().map(|shape| shape.grown_by(grown)));
        }
        shapes
    }

    /// A server has answered well or badly.
    pub fn record_answer(&mut self, now: Instant, server: &ServerName, is_failure: bool) {
        let weight = self.settings.failure_weight;
        let share = self.failure_share(now, server);
        let newest = if is_failure { 1.0 } else { 0.0 };
        let health = self.health_mut(now, server);
        health.failure_share = share + weight * (newest - share);
        health.updated = now;
        if !is_failure {
            health.failures_in_row = 0;
            health.avoided_until = None;
        }
    }

    /// A server cannot be reached or does not answer; returns for how long it gets nothing new.
    pub fn record_unreachable(&mut self, now: Instant, server: &ServerName) -> Duration {
        let LoadSettings {
            unreachable_hold,
            unreachable_hold_limit,
            ..
        } = self.settings;
        self.record_answer(now, server, true);
        let health = self.health_mut(now, server);
        let doublings = health.failures_in_row.min(8);
        let hold = (unreachable_hold * 2_u32.pow(doublings)).min(unreachable_hold_limit);
        health.failures_in_row += 1;
        health.avoided_until = Some(now + hold);
        hold
    }

    /// An engine had no room for a stream.
    pub fn record_full(&mut self, now: Instant, server: &ServerName) {
        let until = now + self.settings.full_hold;
        self.health_mut(now, server).full_until = Some(until);
    }

    /// Whether an engine had no room a moment ago.
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
                failure_share: 0.0,
                updated: now,
                failures_in_row: 0,
                avoided_until: None,
                full_until: None,
            })
    }

    /// The share of a server's late answers that were failures, from 0 to 1.
    pub fn failure_share(&self, now: Instant, server: &ServerName) -> f64 {
        let Some(health) = self.health.get(server) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(health.updated).as_secs_f64();
        let half_life = self.settings.failure_half_life.as_secs_f64();
        health.failure_share * 0.5_f64.powf(age / half_life)
    }

    /// Whether a server is left alone after this entry or its peers could not reach it.
    pub fn is_unavailable(&self, now: Instant, entry: &ServerEntry) -> bool {
        self.health
            .get(&entry.name)
            .and_then(|health| health.avoided_until)
            .is_some_and(|until| until > now)
            || self.troubles.speaks_against(entry)
            || self
                .own_switching(now)
                .any(|(server, _)| *server == entry.name)
    }

    /// Forgets the health of servers that are no longer named.
    pub fn retain_servers(&mut self, mut is_named: impl FnMut(&ServerName) -> bool) {
        self.health.retain(|server, _| is_named(server));
    }
}
