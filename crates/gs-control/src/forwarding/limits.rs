//! Limits of requests a second and pauses that servers name in their answers.
//!
//! A pause holds for the entry that was turned away and is not reported. When it has ended, the server
//! gets one request, and further ones when that is answered without another pause.
//!
//! A limit holds for all entries together, so entries report to each other how many requests they have
//! sent to a limited server. Each entry counts all of them in a leaky bucket that drains by the limit:
//! what entries send at the same moment without knowing of each other is paid back before more is sent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, ServerName};
use serde::{Deserialize, Serialize};

/// Bounds of the limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Requests that may be sent at once after a pause, as the time in which the limit allows them;
    /// one at least.
    pub burst: Duration,
    /// Maximum excess that is paid back, as the time in which the limit allows as much.
    pub max_excess: Duration,
    /// Minimum rate at which requests are sent, in requests a second: only an answer withdraws a limit.
    pub min_rate: f64,
    /// How long a withdrawn limit is reported to peers.
    pub report_period: Duration,
    /// Maximum length of a pause.
    pub max_pause: Duration,
    /// How long the first request after a pause may be under way until another one is sent.
    pub probe_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            burst: Duration::from_millis(500),
            max_excess: Duration::from_secs(8),
            min_rate: 0.1,
            report_period: Duration::from_secs(3),
            max_pause: Duration::from_secs(60),
            probe_timeout: Duration::from_secs(1),
        }
    }
}

/// A limit that a server has named, changed or withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The server.
    pub server: ServerName,
    /// Requests a second that it takes from all entries together; `None` if it takes any number.
    pub limit: Option<f64>,
}

/// The limit of one server as an entry reports it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(u32, Option<f64>, u64)", into = "(u32, Option<f64>, u64)")]
pub struct LimitReport {
    /// How often the limit has changed; of two reports the larger version holds.
    pub version: u32,
    /// Requests a second; `None` if the limit was withdrawn.
    pub limit: Option<f64>,
    /// Requests that the entry has sent to the server while it was limited.
    pub sent: u64,
}

impl From<(u32, Option<f64>, u64)> for LimitReport {
    fn from((version, limit, sent): (u32, Option<f64>, u64)) -> Self {
        Self {
            version,
            limit,
            sent,
        }
    }
}

impl From<LimitReport> for (u32, Option<f64>, u64) {
    fn from(report: LimitReport) -> Self {
        (report.version, report.limit, report.sent)
    }
}

/// The limits that an entry reports to its peers.
pub type LimitDigest = Vec<(ServerName, LimitReport)>;

/// A pause that a server has asked this entry for.
#[derive(Clone, Copy, Debug)]
struct ServerPause {
    until: Instant,
    /// When the first request after the pause was sent.
    probe_sent_at: Option<Instant>,
}

impl ServerPause {
    /// Returns how long no request may be sent.
    fn wait(&self, now: Instant, settings: &LimitSettings) -> Duration {
        let probe_end = self.probe_sent_at.map(|at| at + settings.probe_timeout);
        let end = probe_end.map_or(self.until, |probe_end| probe_end.max(self.until));
        end.saturating_duration_since(now)
    }
}

/// The limit of one server and the requests that count toward it.
#[derive(Clone, Debug)]
struct ServerLimit {
    pause: Option<ServerPause>,
    version: u32,
    limit: Option<f64>,
    changed_at: Instant,
    /// When an answer last named a limit.
    named_at: Instant,
    /// Requests that are not drained yet, as of `level_at`.
    level: f64,
    level_at: Instant,
    own_sent: u64,
    peers_sent: BTreeMap<EntryName, u64>,
}

impl ServerLimit {
    fn new(now: Instant) -> Self {
        Self {
            pause: None,
            version: 0,
            limit: None,
            changed_at: now,
            named_at: now,
            level: 0.0,
            level_at: now,
            own_sent: 0,
            peers_sent: BTreeMap::new(),
        }
    }

    /// Returns the rate at which requests may be sent; `None` if it is not limited.
    fn rate(&self, settings: &LimitSettings) -> Option<f64> {
        self.limit.map(|limit| limit.max(settings.min_rate))
    }

    /// Sets the limit as of a version.
    fn change(&mut self, now: Instant, version: u32, limit: Option<f64>, settings: &LimitSettings) {
        self.level = self.drained_level(now, settings);
        self.level_at = now;
        self.version = version;
        self.limit = limit;
        self.changed_at = now;
    }

    fn drained_level(&self, now: Instant, settings: &LimitSettings) -> f64 {
        let Some(rate) = self.rate(settings) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(self.level_at);
        (self.level - rate * age.as_secs_f64()).max(0.0)
    }

    /// Counts requests that were sent to the server.
    fn add(&mut self, now: Instant, sent: u64, settings: &LimitSettings) {
        let Some(rate) = self.rate(settings) else {
            return;
        };
        let max_level = burst(rate, settings) + rate * settings.max_excess.as_secs_f64();
        self.level = (self.drained_level(now, settings) + sent as f64).min(max_level);
        self.level_at = now;
    }

    /// Returns how long no request may be sent to the server.
    fn wait(&self, now: Instant, settings: &LimitSettings) -> Duration {
        let pause = self.pause.map(|pause| pause.wait(now, settings));
        let limit = self.rate(settings).map(|rate| {
            let excess = self.drained_level(now, settings) + 1.0 - burst(rate, settings);
            Duration::from_secs_f64(excess.max(0.0) / rate)
        });
        pause.unwrap_or_default().max(limit.unwrap_or_default())
    }
}

/// Returns the requests that a rate allows at once after a pause.
fn burst(rate: f64, settings: &LimitSettings) -> f64 {
    (rate * settings.burst.as_secs_f64()).max(1.0)
}

/// The limits of all servers that name one.
#[derive(Debug)]
pub struct LimitTracker {
    settings: LimitSettings,
    servers: BTreeMap<ServerName, ServerLimit>,
}

impl LimitTracker {
    /// Creates a tracker without any limit.
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Records the limit that an answer names, if it names one; `sent_at` is when its request was
    /// sent. An answer without a limit withdraws it, unless the request was sent before an answer
    /// that named it: answers may overtake each other.
    pub fn record_answer(
        &mut self,
        now: Instant,
        server: &ServerName,
        sent_at: Instant,
        limit: Option<f64>,
    ) -> Option<LimitChange> {
        if limit.is_none() && !self.servers.contains_key(server) {
            return None;
        }
        let known = self.servers.entry(server.clone());
        let known = known.or_insert_with(|| ServerLimit::new(now));
        if limit.is_none() && sent_at <= known.named_at {
            return None;
        }
        if limit.is_some() {
            known.named_at = now;
        }
        if known.limit == limit {
            return None;
        }
        known.change(now, known.version + 1, limit, &self.settings);
        Some(LimitChange {
            server: server.clone(),
            limit,
        })
    }

    /// Records the pause that an answer asks for, if it asks for one. Returns its length if it begins
    /// or grows; it is at most [`LimitSettings::max_pause`]. An answer without one to the first request
    /// after the pause ends its hold on further requests.
    pub fn record_pause(
        &mut self,
        now: Instant,
        server: &ServerName,
        sent_at: Instant,
        pause: Option<Duration>,
    ) -> Option<Duration> {
        let Some(pause) = pause.filter(|pause| !pause.is_zero()) else {
            if let Some(known) = self.servers.get_mut(server) {
                let is_probe =
                    |pause: &ServerPause| pause.probe_sent_at.is_some_and(|probe| sent_at >= probe);
                known.pause = known.pause.filter(|pause| !is_probe(pause));
            }
            return None;
        };
        let pause = pause.min(self.settings.max_pause);
        let known = self.servers.entry(server.clone());
        let known = known.or_insert_with(|| ServerLimit::new(now));
        let until = now + pause;
        if known.pause.is_some_and(|known| known.until >= until) {
            return None;
        }
        known.pause = Some(ServerPause {
            until,
            probe_sent_at: None,
        });
        Some(pause)
    }

    /// Returns whether a server has asked for a pause that has not ended.
    pub fn is_paused(&self, now: Instant, server: &ServerName) -> bool {
        let pause = self.servers.get(server).and_then(|known| known.pause);
        pause.is_some_and(|pause| pause.until > now)
    }

    /// Ends the pause of a server that has started again.
    pub fn end_pause(&mut self, server: &ServerName) {
        if let Some(known) = self.servers.get_mut(server) {
            known.pause = None;
        }
    }

    /// Counts a request that this entry sends to a server. Returns whether the server is limited.
    pub fn record_sent(&mut self, now: Instant, server: &ServerName) -> bool {
        let Some(known) = self.servers.get_mut(server) else {
            return false;
        };
        if let Some(pause) = known.pause.as_mut().filter(|pause| pause.until <= now) {
            pause.probe_sent_at = Some(now);
        }
        if known.limit.is_none() {
            return false;
        }
        known.own_sent += 1;
        known.add(now, 1, &self.settings);
        true
    }

    /// Returns how long no request may be sent to a server; zero if one may be sent now.
    pub fn wait(&self, now: Instant, server: &ServerName) -> Duration {
        let known = self.servers.get(server);
        known.map_or(Duration::ZERO, |known| known.wait(now, &self.settings))
    }

    /// Returns the limits to report to peers: those in force and those withdrawn recently.
    pub fn digest(&self, now: Instant) -> LimitDigest {
        let period = self.settings.report_period;
        let servers = self.servers.iter();
        servers
            .filter(|(_, known)| {
                let is_recent = now.saturating_duration_since(known.changed_at) < period;
                known.limit.is_some() || (known.version > 0 && is_recent)
            })
            .map(|(server, known)| {
                let report = LimitReport {
                    version: known.version,
                    limit: known.limit,
                    sent: known.own_sent,
                };
                (server.clone(), report)
            })
            .collect()
    }

    /// Applies the report of a peer; returns the limits that were new.
    pub fn apply_digest(
        &mut self,
        now: Instant,
        peer: &EntryName,
        digest: &LimitDigest,
    ) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for (server, report) in digest {
            let known = self.servers.entry(server.clone());
            let known = known.or_insert_with(|| ServerLimit::new(now));
            if report.version > known.version {
                let is_changed = known.limit != report.limit;
                known.change(now, report.version, report.limit, &self.settings);
                known.named_at = now;
                changes.extend(is_changed.then(|| LimitChange {
                    server: server.clone(),
                    limit: report.limit,
                }));
            } else if report.version < known.version && known.limit.is_none() {
                // The peer has missed that the limit was withdrawn.
                known.changed_at = now;
            }
            let before = known.peers_sent.insert(peer.clone(), report.sent);
            // A first report counts all requests since the limit was named, which may be long ago.
            let new = match before {
                Some(before) if report.sent >= before => report.sent - before,
                Some(_) => report.sent,
                None => report.sent.min(1),
            };
            known.add(now, new, &self.settings);
        }
        changes
    }

    /// Forgets the servers for which `is_listed` is false.
    pub fn retain_servers(&mut self, mut is_listed: impl FnMut(&ServerName) -> bool) {
        self.servers.retain(|server, _| is_listed(server));
    }
}
