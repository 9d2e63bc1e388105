//! The backend servers that the registry names, kept through outages of the registry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::ids::{DataCentreName, ServerName, ServiceName};
use serde::{Deserialize, Serialize};

use super::issues::{IssueReport, ServerIssue};

/// What a model engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ServerStage {
    /// It generates tokens.
    #[serde(rename = "d")]
    Decode,
    /// It reads prompts.
    #[serde(rename = "p")]
    Prefill,
}

/// One server as the registry names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub name: ServerName,
    /// The time of the server's start in Unix milliseconds, where it says so. Another time under the same
    /// name is another process that knows nothing of before.
    pub started_at_ms: Option<u64>,
    /// What it serves.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// What it does, if it is a model engine.
    pub stage: Option<ServerStage>,
}

/// Times of the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DirectorySettings {
    /// How long after an outage of the registry a missing server may still be registered again.
    pub return_grace: Duration,
    /// How long a server that another one answered for stays unused, unless its entry changes.
    pub misdirected_hold: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            return_grace: Duration::from_secs(2),
            misdirected_hold: Duration::from_secs(10),
        }
    }
}

/// A server and what this entry has learned of it.
#[derive(Clone, Debug)]
struct KnownServer {
    entry: ServerEntry,
    /// Set while the registry does not name the server although it may come back.
    missing_until: Option<Instant>,
    /// Set while another server answers at its address.
    misdirected_until: Option<Instant>,
}

/// The servers that may get work.
#[derive(Debug)]
pub struct ServerDirectory {
    settings: DirectorySettings,
    servers: BTreeMap<ServerName, KnownServer>,
    /// Servers at whose addresses the registry names one that started later.
    replaced: BTreeSet<ServerName>,
    is_registry_lost: bool,
    returned_at: Option<Instant>,
}

impl ServerDirectory {
    /// A directory that knows no server.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            replaced: BTreeSet::new(),
            is_registry_lost: false,
            returned_at: None,
        }
    }

    /// Takes in a whole list.
    pub fn apply_list(&mut self, now: Instant, entries: Vec<ServerEntry>) {
        let listed: BTreeMap<ServerName, ServerEntry> = entries
            .into_iter()
            .map(|entry| (entry.name.clone(), entry))
            .collect();
        let missing: Vec<ServerName> = self
            .servers
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        for name in missing {
            self.remove(now, &name);
        }
        for entry in listed.into_values() {
            self.insert(entry);
        }
        self.find_replaced();
    }

    /// Takes in one entry.
    pub fn upsert(&mut self, entry: ServerEntry) {
        self.insert(entry);
        self.find_replaced();
    }

    /// An address has one server at a time: of two that are named, the earlier start has ended.
    fn find_replaced(&mut self) {
        let entries = || self.servers.values().map(|known| &known.entry);
        let mut latest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for entry in entries() {
            let started_at_ms = latest.entry(entry.address).or_default();
            *started_at_ms = (*started_at_ms).max(entry.started_at_ms.unwrap_or(0));
        }
        let is_replaced = |entry: &&ServerEntry| {
            entry.started_at_ms.is_some_and(|started_at_ms| {
                latest
                    .get(&entry.address)
                    .is_some_and(|last| *last > started_at_ms)
            })
        };
        self.replaced = entries()
            .filter(is_replaced)
            .map(|entry| entry.name.clone())
            .collect();
    }

    fn insert(&mut self, entry: ServerEntry) {
        let misdirected_until = self
            .servers
            .get(&entry.name)
            .filter(|known| {
                known.entry.started_at_ms == entry.started_at_ms
                    && known.entry.address == entry.address
            })
            .and_then(|known| known.misdirected_until);
        let known = KnownServer {
            missing_until: None,
            misdirected_until,
            entry,
        };
        self.servers.insert(known.entry.name.clone(), known);
    }

    /// The registry names a server no longer. Right after an outage it may only not be back yet.
    pub fn remove(&mut self, now: Instant, name: &ServerName) {
        let grace_end = match (self.is_registry_lost, self.returned_at) {
            (true, _) => Some(now + self.settings.return_grace),
            (false, returned) => returned
                .map(|returned| returned + self.settings.return_grace)
                .filter(|end| *end > now),
        };
        let Some(end) = grace_end else {
            self.servers.remove(name);
            self.find_replaced();
            return;
        };
        if let Some(known) = self.servers.get_mut(name) {
            known.missing_until.get_or_insert(end);
        }
    }

    /// Another server answers at the address of the named one.
    pub fn record_misdirected(&mut self, now: Instant, name: &ServerName) {
        if let Some(known) = self.servers.get_mut(name) {
            known.misdirected_until = Some(now + self.settings.misdirected_hold);
        }
    }

    /// Servers at whose addresses others have answered, for the peers.
    pub fn own_issues(&self, now: Instant) -> IssueReport {
        let misdirected = self
            .servers
            .values()
            .filter(|known| known.misdirected_until.is_some_and(|until| until > now));
        misdirected
            .map(|known| {
                let trouble = ServerIssue::Misdirected(known.entry.started_at_ms);
                (known.entry.name.clone(), trouble)
            })
            .collect()
    }

    /// The registry does not answer.
    pub fn record_registry_outage(&mut self) {
        self.is_registry_lost = true;
    }

    /// The registry has answered; returns whether it had been lost.
    pub fn record_registry_answer(&mut self, now: Instant) -> bool {
        let was_lost = std::mem::take(&mut self.is_registry_lost);
        if was_lost {
            self.returned_at = Some(now);
        }
        was_lost
    }

    /// Drops the servers that have not come back; returns their names.
    pub fn remove_missing(&mut self, now: Instant) -> Vec<ServerName> {
        let gone: Vec<ServerName> = self
            .servers
            .values()
            .filter(|known| known.missing_until.is_some_and(|end| end <= now))
            .map(|known| known.entry.name.clone())
            .collect();
        for name in &gone {
            self.servers.remove(name);
        }
        if !gone.is_empty() {
            self.find_replaced();
        }
        gone
    }

    /// The servers of a service that may get new work.
    pub fn usable_servers<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceName,
        stage: Option<ServerStage>,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        self.servers
            .values()
            .filter(move |known| {
                let entry = &known.entry;
                entry.service == *service
                    && entry.stage == stage
                    && !entry.is_leaving
                    && !self.replaced.contains(&entry.name)
                    && known.misdirected_until.is_none_or(|until| until <= now)
                    && known.missing_until.is_none_or(|until| until > now)
            })
            .map(|known| &known.entry)
    }

    /// A server that the directory names.
    pub fn get(&self, name: &ServerName) -> Option<&ServerEntry> {
        self.servers.get(name).map(|known| &known.entry)
    }

    /// Servers that are named.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is named.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
