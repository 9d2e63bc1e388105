//! Whether this entry reaches any server at all, and which entries serve in place of one that does not.
//!
//! A partition may separate an entry from all servers while clients and peers still reach it. Servers that have failed
//! look the same to a single entry, so that entries report whether they reach servers: requests go through a peer only
//! if that peer reaches some.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::ServerName;

/// Times and counts of the detection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IsolationSettings {
    /// Number of servers, or all if there are fewer, to which connections must fail in a row.
    pub min_servers: usize,
    /// How long a failure counts.
    pub memory: Duration,
    /// Interval of the connections that are only opened to find a server that can be reached.
    pub probe_interval: Duration,
}

impl Default for IsolationSettings {
    fn default() -> Self {
        Self {
            min_servers: 4,
            memory: Duration::from_secs(3),
            probe_interval: Duration::from_millis(200),
        }
    }
}

/// What a connection to a server has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IsolationChange {
    /// No server can be reached any more.
    Isolated,
    /// A server can be reached again.
    Connected,
}

/// The servers to which connections have failed since one was last established.
#[derive(Clone, Debug, Default)]
pub struct IsolationTracker {
    settings: IsolationSettings,
    failed: BTreeMap<ServerName, Instant>,
    is_isolated: bool,
}

impl IsolationTracker {
    /// Returns the settings.
    pub fn settings(&self) -> &IsolationSettings {
        &self.settings
    }

    /// Whether no server can be reached.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Records a connection that was established.
    pub fn record_reached(&mut self) -> Option<IsolationChange> {
        self.failed.clear();
        let was_isolated = std::mem::take(&mut self.is_isolated);
        was_isolated.then_some(IsolationChange::Connected)
    }

    /// Records a connection that failed; `servers` is the number of servers that are listed.
    pub fn record_unreachable(
        &mut self,
        now: Instant,
        server: &ServerName,
        servers: usize,
    ) -> Option<IsolationChange> {
        self.expire_failures(now);
        self.failed.insert(server.clone(), now);
        if self.is_isolated || self.failed.len() < self.settings.min_servers.min(servers) {
            return None;
        }
        self.is_isolated = true;
        Some(IsolationChange::Isolated)
    }

    fn expire_failures(&mut self, now: Instant) {
        let memory = self.settings.memory;
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < memory);
    }

    /// Whether connections should be opened only to find out whether a server can be reached.
    pub fn needs_probe(&mut self, now: Instant) -> bool {
        self.expire_failures(now);
        self.is_isolated || !self.failed.is_empty()
    }

    /// Whether a connection to a server has failed and none has been established since.
    pub fn has_failed(&self, server: &ServerName) -> bool {
        self.failed.contains_key(server)
    }
}

/// An entry that may serve clients, by whether it reaches servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServingEntry<T> {
    /// The entry.
    pub entry: T,
    /// Whether it runs in the data centre of the clients.
    pub is_local: bool,
    /// Whether it reaches no server.
    pub is_isolated: bool,
}

/// Selects the entries that serve clients of a data centre: of those that reach servers, the local ones, and if they
/// are fewer than the isolated local ones, those of other data centres too. If no entry reaches a server, nothing is
/// gained by a choice, and all are returned.
pub fn serving_entries<T>(entries: Vec<ServingEntry<T>>) -> Vec<ServingEntry<T>> {
    if entries.iter().all(|entry| entry.is_isolated) {
        return entries;
    }
    let count = |is_isolated: bool| {
        let local = entries.iter().filter(|entry| entry.is_local);
        local
            .filter(|entry| entry.is_isolated == is_isolated)
            .count()
    };
    let are_local_enough = count(false) > 0 && count(false) >= count(true);
    let serves =
        |entry: &ServingEntry<T>| !entry.is_isolated && (entry.is_local || !are_local_enough);
    entries.into_iter().filter(serves).collect()
}
