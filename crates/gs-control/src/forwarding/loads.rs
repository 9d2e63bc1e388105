//! What this entry and its peers have running at each server, and how the servers behave.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, ServerName};
use serde::{Deserialize, Serialize};

/// Work at one server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Requests or streams.
    pub requests: u32,
    /// Tokens of engine memory that they are expected to need.
    pub memory_tokens: u64,
    /// Prompt tokens that are still to be read.
    pub prompt_tokens: u64,
}

impl ServerLoad {
    /// One plain request.
    pub const REQUEST: Self = Self {
        requests: 1,
        memory_tokens: 0,
        prompt_tokens: 0,
    };

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.memory_tokens += other.memory_tokens;
        self.prompt_tokens += other.prompt_tokens;
    }

    fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(other.prompt_tokens);
    }

    fn is_idle(self) -> bool {
        self == Self::default()
    }
}

/// The work of one entry, by server.
pub type LoadDigest = Vec<(ServerName, ServerLoad)>;

/// Times and weights of the load book.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Age from which a peer's digest no longer counts.
    pub digest_lifetime: Duration,
    /// How long a server that cannot be reached gets nothing new; doubles with each failure in a row.
    pub unreachable_hold: Duration,
    /// The longest such time.
    pub unreachable_hold_limit: Duration,
    /// Weight of the newest outcome in a server's share of failures.
    pub failure_weight: f64,
    /// Time in which the share of failures of an unused server halves.
    pub failure_half_life: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            digest_lifetime: Duration::from_secs(3),
            unreachable_hold: Duration::from_millis(250),
            unreachable_hold_limit: Duration::from_secs(3),
            failure_weight: 0.1,
            failure_half_life: Duration::from_secs(4),
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
}

/// What a peer has running.
#[derive(Debug)]
struct PeerDigest {
    heard: Instant,
    loads: LoadDigest,
}

/// Work at servers, own and peers', and the servers' health.
#[derive(Debug)]
pub struct LoadBook {
    settings: LoadSettings,
    own: BTreeMap<ServerName, ServerLoad>,
    peers: BTreeMap<EntryName, PeerDigest>,
    peer_total: BTreeMap<ServerName, ServerLoad>,
    health: BTreeMap<ServerName, ServerHealth>,
}

impl LoadBook {
    /// A book without any work.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            peer_total: BTreeMap::new(),
            health: BTreeMap::new(),
        }
    }

    /// Counts own work.
    pub fn add(&mut self, server: &ServerName, load: ServerLoad) {
        self.own.entry(server.clone()).or_default().add(load);
    }

    /// Takes own work off.
    pub fn remove(&mut self, server: &ServerName, load: ServerLoad) {
        let Some(own) = self.own.get_mut(server) else {
            return;
        };
        own.remove(load);
        if own.is_idle() {
            self.own.remove(server);
        }
    }

    /// Own work, for the peers.
    pub fn own_digest(&self) -> LoadDigest {
        self.own
            .iter()
            .map(|(server, load)| (server.clone(), *load))
            .collect()
    }

    /// Takes in what a peer has running.
    pub fn hear_peer(&mut self, now: Instant, peer: &EntryName, loads: LoadDigest) {
        self.forget_peer(peer);
        for (server, load) in &loads {
            self.peer_total
                .entry(server.clone())
                .or_default()
                .add(*load);
        }
        let digest = PeerDigest { heard: now, loads };
        self.peers.insert(peer.clone(), digest);
    }

    /// Forgets peers that have been silent for long.
    pub fn drop_silent(&mut self, now: Instant) {
        let lifetime = self.settings.digest_lifetime;
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
        for (server, load) in digest.loads {
            if let Some(total) = self.peer_total.get_mut(&server) {
                total.remove(load);
                if total.is_idle() {
                    self.peer_total.remove(&server);
                }
            }
        }
    }

    /// All known work at a server.
    pub fn load(&self, server: &ServerName) -> ServerLoad {
        let mut load = self.own.get(server).copied().unwrap_or_default();
        load.add(self.peer_total.get(server).copied().unwrap_or_default());
        load
    }

    /// A server has answered well or badly.
    pub fn note_answer(&mut self, now: Instant, server: &ServerName, is_failure: bool) {
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
    pub fn note_unreachable(&mut self, now: Instant, server: &ServerName) -> Duration {
        let LoadSettings {
            unreachable_hold,
            unreachable_hold_limit,
            ..
        } = self.settings;
        self.note_answer(now, server, true);
        let health = self.health_mut(now, server);
        let doublings = health.failures_in_row.min(8);
        let hold = (unreachable_hold * 2_u32.pow(doublings)).min(unreachable_hold_limit);
        health.failures_in_row += 1;
        health.avoided_until = Some(now + hold);
        hold
    }

    fn health_mut(&mut self, now: Instant, server: &ServerName) -> &mut ServerHealth {
        self.health
            .entry(server.clone())
            .or_insert_with(|| ServerHealth {
                failure_share: 0.0,
                updated: now,
                failures_in_row: 0,
                avoided_until: None,
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

    /// Whether a server is left alone after it could not be reached.
    pub fn is_avoided(&self, now: Instant, server: &ServerName) -> bool {
        self.health
            .get(server)
            .and_then(|health| health.avoided_until)
            .is_some_and(|until| until > now)
    }

    /// Forgets the health of servers that are no longer named.
    pub fn retain_servers(&mut self, mut is_named: impl FnMut(&ServerName) -> bool) {
        self.health.retain(|server, _| is_named(server));
    }
}
