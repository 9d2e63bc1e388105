//! Servers that are kept for suspects which are about to run there.
//!
//! Each is told to peers and held for a while before it is used. Of two entries that want the same server, or run
//! the same fingerprint, at the same time, the one with the smaller name goes first.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_protocol::ids::{EntryName, ServerName};
use gs_protocol::suspicion::{PromptFingerprint, SuspectRun};

use super::settings::QuarantineSettings;

/// The servers that are kept for one fingerprint.
#[derive(Clone, Debug)]
struct Reservation {
    servers: Vec<ServerName>,
    since: Instant,
}

/// All servers that are kept.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    reservations: BTreeMap<PromptFingerprint, Reservation>,
}

impl ReservationTable {
    /// Keeps servers for a fingerprint.
    pub fn add(&mut self, now: Instant, fingerprint: PromptFingerprint, servers: Vec<ServerName>) {
        let reservation = Reservation {
            servers,
            since: now,
        };
        self.reservations.insert(fingerprint, reservation);
    }

    /// Since when servers are kept for a fingerprint.
    pub fn since(&self, fingerprint: PromptFingerprint) -> Option<Instant> {
        let reservation = self.reservations.get(&fingerprint)?;
        Some(reservation.since)
    }

    /// What is about to run of a fingerprint.
    pub fn runs(&self, fingerprint: PromptFingerprint) -> Vec<SuspectRun> {
        let all = self.iter();
        all.filter(|run| run.fingerprint == fingerprint).collect()
    }

    /// The fingerprints that servers are kept for.
    pub fn fingerprints(&self) -> impl Iterator<Item = PromptFingerprint> {
        self.reservations.keys().copied()
    }

    /// Holds everything anew.
    pub fn restart(&mut self, now: Instant) {
        for reservation in self.reservations.values_mut() {
            reservation.since = now;
        }
    }

    /// Keeps nothing for a fingerprint any more.
    pub fn remove(&mut self, fingerprint: PromptFingerprint) {
        self.reservations.remove(&fingerprint);
    }

    /// Gives up what a peer uses or wants, if the peer goes first.
    pub fn yield_to(&mut self, own: &EntryName, peer: &EntryName, running: &[SuspectRun]) {
        self.reservations.retain(|fingerprint, reservation| {
            let clashes = |run: &&SuspectRun| {
                run.fingerprint == *fingerprint || reservation.servers.contains(&run.server)
            };
            let goes_first = |run: &SuspectRun| run.has_started || peer < own;
            !running.iter().filter(clashes).any(goes_first)
        });
    }

    /// Gives up what has not been used in time.
    pub fn forget_old(&mut self, now: Instant, settings: &QuarantineSettings) {
        self.reservations.retain(|_, reservation| {
            let age = now.saturating_duration_since(reservation.since);
            age < settings.confirm_within + settings.use_within
        });
    }

    /// All servers that are kept.
    pub fn iter(&self) -> impl Iterator<Item = SuspectRun> {
        self.reservations
            .iter()
            .flat_map(|(fingerprint, reservation)| {
                reservation.servers.iter().map(|server| SuspectRun {
                    fingerprint: *fingerprint,
                    server: server.clone(),
                    has_started: false,
                })
            })
    }
}
