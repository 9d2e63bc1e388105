//! How many bytes of requests a server may hold at once, learned from what it has held so far.
//!
//! A server keeps the bodies of its requests in memory that nobody names, and crashes if they exceed it. The bound
//! of a server is therefore little more than what it has answered while it held as much. It falls to half of what a
//! server held when it broke off, and grows more slowly from then on.

use std::collections::BTreeMap;

use gs_protocol::ids::ServerName;

/// Sizes and weights of the bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IntakeSettings {
    /// Bound of a server of which nothing is known, in bytes.
    pub initial_bytes: u64,
    /// Smallest and largest bound, in bytes.
    pub bound_bytes: (u64, u64),
    /// Size up to which a body is sent whatever the server holds, in bytes.
    pub small_body_bytes: u64,
    /// Bound in relation to what a server has held and answered, until it breaks off.
    pub growth: f64,
    /// Weight of the newest body in the moving average of sizes.
    pub size_weight: f64,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            initial_bytes: 8_388_608,
            bound_bytes: (262_144, 268_435_456),
            small_body_bytes: 65_536,
            growth: 1.25,
            size_weight: 0.1,
        }
    }
}

/// A body that was sent to a server and has no answer yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentBody {
    started_at_ms: Option<u64>,
    bytes: u64,
    /// What the server held with this body, as far as this entry knows.
    held: u64,
}

/// How the exchange of a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyOutcome {
    /// The server answered.
    Answered,
    /// The connection broke before an answer.
    Broken,
    /// The exchange was given up, or was not begun; this says nothing of the server.
    GivenUp,
}

/// The bound of one start of a server.
#[derive(Clone, Copy, Debug)]
struct ServerIntake {
    started_at_ms: Option<u64>,
    /// Bytes that this entry has sent and that have no answer.
    held: u64,
    mean_bytes: f64,
    bound: u64,
    has_broken: bool,
}

/// Bounds the bytes of requests that servers hold.
#[derive(Debug)]
pub struct IntakeTracker {
    settings: IntakeSettings,
    servers: BTreeMap<ServerName, ServerIntake>,
}

impl IntakeTracker {
    /// Creates a tracker that knows of no server.
    pub fn new(settings: IntakeSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Returns what is known of a start of a server.
    fn intake(&self, server: &ServerName, started_at_ms: Option<u64>) -> ServerIntake {
        let known = self.servers.get(server).copied();
        let known = known.filter(|intake| intake.started_at_ms == started_at_ms);
        known.unwrap_or(ServerIntake {
            started_at_ms,
            held: 0,
            mean_bytes: 0.0,
            bound: self.settings.initial_bytes,
            has_broken: false,
        })
    }

    /// Whether a body may be sent to a server at which peers have `peer_requests`, whose bodies are assumed to be of
    /// the usual size. A small body may always be sent, and any body to a server that holds nothing.
    pub fn admits(
        &self,
        server: &ServerName,
        started_at_ms: Option<u64>,
        bytes: u64,
        peer_requests: u32,
    ) -> bool {
        let intake = self.intake(server, started_at_ms);
        let held = intake.held_by_all(peer_requests);
        bytes <= self.settings.small_body_bytes || held == 0 || held + bytes <= intake.bound
    }

    /// Records that a body is sent.
    pub fn record_sent(
        &mut self,
        server: &ServerName,
        started_at_ms: Option<u64>,
        bytes: u64,
        peer_requests: u32,
    ) -> SentBody {
        let mut intake = self.intake(server, started_at_ms);
        intake.held += bytes;
        intake.mean_bytes += self.settings.size_weight * (bytes as f64 - intake.mean_bytes);
        self.servers.insert(server.clone(), intake);
        SentBody {
            started_at_ms,
            bytes,
            held: intake.held_by_all(peer_requests),
        }
    }

    /// Records how the exchange of a body ended; returns the new bound of the server if the server is known to hold
    /// less than before.
    pub fn record_end(
        &mut self,
        server: &ServerName,
        body: SentBody,
        outcome: BodyOutcome,
    ) -> Option<u64> {
        let settings = self.settings;
        let (smallest, largest) = settings.bound_bytes;
        let intake = self.servers.get_mut(server)?;
        if intake.started_at_ms != body.started_at_ms {
            return None;
        }
        intake.held = intake.held.saturating_sub(body.bytes);
        let before = intake.bound;
        match outcome {
            BodyOutcome::Answered if intake.has_broken => {
                // Adds about the size of a body for each time that the whole bound was answered.
                let more = body.bytes.saturating_mul(body.bytes) / intake.bound.max(1);
                intake.bound = (intake.bound + more).min(largest);
            }
            BodyOutcome::Answered => {
                let proven = (body.held as f64 * settings.growth) as u64;
                intake.bound = intake.bound.max(proven.min(largest));
            }
            BodyOutcome::Broken if body.held > settings.small_body_bytes => {
                intake.has_broken = true;
                intake.bound = intake.bound.min((body.held / 2).max(smallest));
            }
            BodyOutcome::Broken | BodyOutcome::GivenUp => {}
        }
        (intake.bound < before).then_some(intake.bound)
    }

    /// Forgets servers that are no longer listed.
    pub fn retain_servers(&mut self, mut is_listed: impl FnMut(&ServerName) -> bool) {
        self.servers.retain(|server, _| is_listed(server));
    }
}

impl ServerIntake {
    /// Returns the bytes that the server holds for all entries.
    fn held_by_all(&self, peer_requests: u32) -> u64 {
        self.held + (self.mean_bytes * f64::from(peer_requests)) as u64
    }
}
