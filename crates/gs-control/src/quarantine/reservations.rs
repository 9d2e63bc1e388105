//! Reservations of servers for suspects that are about to run there.
//!
//! A reservation is announced to peers and held for a while before its use. When two entries
//! reserve the same server or the same fingerprint at the same time, the entry with the smaller
//! name has priority.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_protocol::ids::{EntryName, ServerName};
use gs_protocol::suspicion::{RequestFingerprint, SuspectRun};

use super::settings::QuarantineSettings;

/// The servers reserved for one fingerprint.
#[derive(Clone, Debug)]
struct Reservation {
    servers: Vec<ServerName>,
    held_since: Instant,
}

/// The reservations of this entry, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    reservations: BTreeMap<RequestFingerprint, Reservation>,
}

impl ReservationTable {
    /// Reserves servers for a fingerprint, and replaces its earlier reservation.
    pub fn add(&mut self, now: Instant, fingerprint: RequestFingerprint, servers: Vec<ServerName>) {
        let reservation = Reservation {
            servers,
            held_since: now,
        };
        self.reservations.insert(fingerprint, reservation);
    }

    /// Returns when the hold of a fingerprint's reservation started.
    pub fn held_since(&self, fingerprint: RequestFingerprint) -> Option<Instant> {
        let reservation = self.reservations.get(&fingerprint)?;
        Some(reservation.held_since)
    }

    /// Returns the pending runs of a fingerprint, one for each reserved server.
    pub fn pending_runs(&self, fingerprint: RequestFingerprint) -> Vec<SuspectRun> {
        let all = self.iter();
        all.filter(|run| run.fingerprint == fingerprint).collect()
    }

    /// Iterates over the fingerprints that have a reservation.
    pub fn fingerprints(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.reservations.keys().copied()
    }

    /// Restarts the hold of every reservation.
    pub fn restart_holds(&mut self, now: Instant) {
        for reservation in self.reservations.values_mut() {
            reservation.held_since = now;
        }
    }

    /// Removes the reservation of a fingerprint.
    pub fn remove(&mut self, fingerprint: RequestFingerprint) {
        self.reservations.remove(&fingerprint);
    }

    /// Removes reservations that conflict with a peer's started runs, or with its reservations if
    /// the peer has priority.
    pub fn yield_to(&mut self, own_entry: &EntryName, peer: &EntryName, running: &[SuspectRun]) {
        self.reservations.retain(|fingerprint, reservation| {
            let conflicts = |run: &&SuspectRun| {
                run.fingerprint == *fingerprint || reservation.servers.contains(&run.server)
            };
            let has_priority = |run: &SuspectRun| run.has_started || peer < own_entry;
            !running.iter().filter(conflicts).any(has_priority)
        });
    }

    /// Removes reservations that were not used in time.
    pub fn expire_old(&mut self, now: Instant, settings: &QuarantineSettings) {
        self.reservations.retain(|_, reservation| {
            let age = now.saturating_duration_since(reservation.held_since);
            age < settings.ack_timeout + settings.use_timeout
        });
    }

    /// Iterates over the pending runs of all reservations.
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
