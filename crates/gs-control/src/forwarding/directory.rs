//! The backend servers that the registry lists, retained through outages of the registry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::ids::{DataCentreName, ServerName, ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};

use super::issues::{IssueReport, ServerIssue};

/// The stage of a request that a model engine runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ServerStage {
    /// Generates tokens.
    #[serde(rename = "d")]
    Decode,
    /// Processes prompts.
    #[serde(rename = "p")]
    Prefill,
}

/// One server as the registry lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedServer {
    /// The name of the server.
    pub name: ServerName,
    /// Start time of the server process in Unix milliseconds, if listed. A different time under the
    /// same name is a new process that holds no state of the previous one.
    pub started_at_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub is_leaving: bool,
    /// The stage that it runs, if it is a model engine.
    pub stage: Option<ServerStage>,
    /// The version of its software; empty if not listed.
    pub software: SoftwareVersion,
}

/// Time limits of the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DirectorySettings {
    /// How long a server that is missing during or shortly after an outage of the registry remains
    /// usable, because it may not have registered again yet.
    pub recovery_grace: Duration,
    /// How long a server remains unused after another server answered at its address, unless its
    /// start time or address changes.
    pub misdirected_backoff: Duration,
    /// How long a record that contradicts later news is held back after the registry has come back from
    /// a copy. By then the record of a server that has ended is removed again.
    pub outdated_hold: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            recovery_grace: Duration::from_secs(2),
            misdirected_backoff: Duration::from_secs(10),
            outdated_hold: Duration::from_secs(10),
        }
    }
}

/// A listed server and its state at this entry.
#[derive(Clone, Debug)]
struct KnownServer {
    listed: ListedServer,
    /// Set while the server is missing during or shortly after an outage of the registry: the end
    /// of the grace period.
    missing_until: Option<Instant>,
    /// Set after another server answered at its address: when it may be used again.
    misdirected_until: Option<Instant>,
    /// Whether this start of the server has said in an answer that it is leaving.
    says_leaving: bool,
}

/// How long the departure of a server is remembered. A copy of the registry is seconds old.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(120);

/// The last news of a server that the registry has removed.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started_at_ms: Option<u64>,
    says_leaving: bool,
    at: Instant,
}

/// Tracks the listed servers and which of them may receive new work.
#[derive(Debug)]
pub struct ServerDirectory {
    settings: DirectorySettings,
    servers: BTreeMap<ServerName, KnownServer>,
    /// Servers whose address is also listed for a server that started later.
    superseded: BTreeSet<ServerName>,
    is_registry_unreachable: bool,
    /// End of the latest outage of the registry.
    registry_recovered_at: Option<Instant>,
    /// Servers that were removed lately.
    departures: BTreeMap<ServerName, Departure>,
    /// Records of a copy that contradict later news, until they are confirmed or removed.
    outdated: BTreeMap<ServerName, ListedServer>,
    /// End of the hold on such records.
    hold_until: Option<Instant>,
}

impl ServerDirectory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            superseded: BTreeSet::new(),
            is_registry_unreachable: false,
            registry_recovered_at: None,
            departures: BTreeMap::new(),
            outdated: BTreeMap::new(),
            hold_until: None,
        }
    }

    /// Applies a complete list of servers. Those that are not listed are removed. Shortly after the
    /// registry has come back from a copy, records that contradict later news are held back.
    pub fn apply_list(&mut self, now: Instant, servers: Vec<ListedServer>) {
        let is_held = self.hold_until.is_some_and(|until| until > now);
        let (outdated, current): (Vec<_>, Vec<_>) = servers
            .into_iter()
            .partition(|server| is_held && self.contradicts_news(server));
        let by_name = |servers: Vec<ListedServer>| {
            let named = servers.into_iter();
            named.map(|server| (server.name.clone(), server)).collect()
        };
        self.outdated = by_name(outdated);
        let listed: BTreeMap<ServerName, ListedServer> = by_name(current);
        let missing: Vec<ServerName> = self
            .servers
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        for name in missing {
            self.remove(now, &name);
        }
        for server in listed.into_values() {
            self.insert(server);
        }
        self.update_superseded();
    }

    /// Returns whether a record is older than what is known of its server: the server was leaving or
    /// removed, or has started again since.
    fn contradicts_news(&self, server: &ListedServer) -> bool {
        if let Some(known) = self.get(&server.name) {
            let is_same_start = known.started_at_ms == server.started_at_ms;
            return known.started_at_ms > server.started_at_ms
                || (is_same_start && known.is_leaving && !server.is_leaving);
        }
        let departure = self.departures.get(&server.name);
        departure.is_some_and(|departure| departure.started_at_ms >= server.started_at_ms)
    }

    /// Inserts or updates one server.
    pub fn upsert(&mut self, server: ListedServer) {
        self.outdated.remove(&server.name);
        self.insert(server);
        self.update_superseded();
    }

    /// Recomputes which servers are superseded. Only one server can run at an address, so of
    /// several that are listed there, all but the latest to start have ended.
    fn update_superseded(&mut self) {
        let servers = || self.servers.values().map(|known| &known.listed);
        let mut latest_starts: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for server in servers() {
            let started_at_ms = latest_starts.entry(server.address).or_default();
            *started_at_ms = (*started_at_ms).max(server.started_at_ms.unwrap_or(0));
        }
        let is_superseded = |server: &&ListedServer| {
            server.started_at_ms.is_some_and(|started_at_ms| {
                latest_starts
                    .get(&server.address)
                    .is_some_and(|latest_start| *latest_start > started_at_ms)
            })
        };
        self.superseded = servers()
            .filter(is_superseded)
            .map(|server| server.name.clone())
            .collect();
    }

    fn insert(&mut self, server: ListedServer) {
        let same_start = self.servers.get(&server.name).filter(|known| {
            known.listed.started_at_ms == server.started_at_ms
                && known.listed.address == server.address
        });
        let departure = self.departures.remove(&server.name);
        let departure =
            departure.filter(|departure| departure.started_at_ms == server.started_at_ms);
        let known = KnownServer {
            missing_until: None,
            misdirected_until: same_start.and_then(|known| known.misdirected_until),
            says_leaving: same_start.is_some_and(|known| known.says_leaving)
                || departure.is_some_and(|departure| departure.says_leaving),
            listed: server,
        };
        self.servers.insert(known.listed.name.clone(), known);
    }

    /// Removes a server that the registry no longer lists. During and shortly after an outage of
    /// the registry the server is kept for a grace period, because it may not have registered again
    /// yet.
    pub fn remove(&mut self, now: Instant, name: &ServerName) {
        self.outdated.remove(name);
        let grace_end = match (self.is_registry_unreachable, self.registry_recovered_at) {
            (true, _) => Some(now + self.settings.recovery_grace),
            (false, recovered_at) => recovered_at
                .map(|recovered_at| recovered_at + self.settings.recovery_grace)
                .filter(|end| *end > now),
        };
        let Some(end) = grace_end else {
            self.depart(now, name);
            self.update_superseded();
            return;
        };
        if let Some(known) = self.servers.get_mut(name) {
            known.missing_until.get_or_insert(end);
        }
    }

    /// Removes a server for good and remembers when.
    fn depart(&mut self, now: Instant, name: &ServerName) {
        if let Some(known) = self.servers.remove(name) {
            let departure = Departure {
                started_at_ms: known.listed.started_at_ms,
                says_leaving: known.says_leaving,
                at: now,
            };
            self.departures.insert(name.clone(), departure);
        }
        self.departures.retain(|_, departure| {
            now.saturating_duration_since(departure.at) < DEPARTURE_LIFETIME
        });
    }

    /// Records that another server answered at the address of this one.
    pub fn record_misdirected(&mut self, now: Instant, name: &ServerName) {
        if let Some(known) = self.servers.get_mut(name) {
            known.misdirected_until = Some(now + self.settings.misdirected_backoff);
        }
    }

    /// Records that a start of a server has said in an answer that it is leaving. Only a later start
    /// under its name is used again. Returns whether this is news.
    pub fn record_leaving(&mut self, name: &ServerName, started_at_ms: Option<u64>) -> bool {
        let known = self.servers.get_mut(name);
        let Some(known) = known.filter(|known| known.listed.started_at_ms == started_at_ms) else {
            return false;
        };
        !std::mem::replace(&mut known.says_leaving, true)
    }

    /// Returns the servers that have said that they are leaving, and those at whose addresses other
    /// servers have answered, to be sent to the peers.
    pub fn own_issues(&self, now: Instant) -> IssueReport {
        let issue = |known: &KnownServer| {
            let start = known.listed.started_at_ms;
            match (known.says_leaving, known.misdirected_until) {
                (true, _) => Some(ServerIssue::Leaving(start)),
                (false, Some(until)) if until > now => Some(ServerIssue::Misdirected(start)),
                (false, _) => None,
            }
        };
        let servers = self.servers.values();
        servers
            .filter_map(|known| Some((known.listed.name.clone(), issue(known)?)))
            .collect()
    }

    /// Records that the registry does not answer.
    pub fn mark_registry_unreachable(&mut self) {
        self.is_registry_unreachable = true;
    }

    /// Records that the registry has answered; returns whether it was unreachable before.
    pub fn mark_registry_reachable(&mut self, now: Instant) -> bool {
        let was_unreachable = std::mem::take(&mut self.is_registry_unreachable);
        if was_unreachable {
            self.registry_recovered_at = Some(now);
        }
        was_unreachable
    }

    /// Records that the registry has come back from a copy, which may lack servers and may list others
    /// as they were before they left.
    pub fn mark_registry_restored(&mut self, now: Instant) {
        self.registry_recovered_at = Some(now);
        self.hold_until = Some(now + self.settings.outdated_hold);
    }

    /// Removes the missing servers whose grace period has ended, and returns their names. Also uses the
    /// records that were held back and are still listed at the end of the hold.
    pub fn remove_missing(&mut self, now: Instant) -> Vec<ServerName> {
        if self.hold_until.is_some_and(|until| until <= now) {
            self.hold_until = None;
            for server in std::mem::take(&mut self.outdated).into_values() {
                self.upsert(server);
            }
        }
        let expired: Vec<ServerName> = self
            .servers
            .values()
            .filter(|known| known.missing_until.is_some_and(|end| end <= now))
            .map(|known| known.listed.name.clone())
            .collect();
        for name in &expired {
            self.depart(now, name);
        }
        if !expired.is_empty() {
            self.update_superseded();
        }
        expired
    }

    /// Returns the servers of a service and stage that may receive new work.
    pub fn usable_servers<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceName,
        stage: Option<ServerStage>,
    ) -> impl Iterator<Item = &'a ListedServer> {
        self.servers
            .values()
            .filter(move |known| {
                let server = &known.listed;
                server.service == *service
                    && server.stage == stage
                    && !server.is_leaving
                    && !known.says_leaving
                    && !self.superseded.contains(&server.name)
                    && known.misdirected_until.is_none_or(|until| until <= now)
                    && known.missing_until.is_none_or(|until| until > now)
            })
            .map(|known| &known.listed)
    }

    /// Returns whether a server may receive new work.
    pub fn is_usable(&self, now: Instant, name: &ServerName) -> bool {
        self.get(name).is_some_and(|server| {
            self.usable_servers(now, &server.service, server.stage)
                .any(|usable| usable.name == *name)
        })
    }

    /// Returns all servers, usable or not.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.servers.values().map(|known| &known.listed)
    }

    /// Returns a listed server.
    pub fn get(&self, name: &ServerName) -> Option<&ListedServer> {
        self.servers.get(name).map(|known| &known.listed)
    }

    /// Returns the number of listed servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
