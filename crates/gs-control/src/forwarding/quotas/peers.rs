//! The entries that may admit requests, and when each was last heard.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, Incarnation};

/// Weight of the newest gap in the moving average of the gaps between a peer's reports.
const GAP_WEIGHT: f64 = 0.2;

/// One other entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerState {
    pub incarnation: Option<Incarnation>,
    pub heard_at: Instant,
    /// Moving average of the time between two reports, in seconds.
    pub mean_gap: f64,
    /// Since when the peer counts as silent; `None` if it is heard.
    pub silent_since: Option<Instant>,
    /// Since when the peer is listed no longer; `None` if it is listed.
    pub unlisted_since: Option<Instant>,
}

impl PeerState {
    /// Records a report.
    pub fn record_report(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.heard_at).as_secs_f64();
        if self.silent_since.is_none() {
            self.mean_gap += GAP_WEIGHT * (gap - self.mean_gap);
        }
        self.heard_at = now;
        self.silent_since = None;
    }

    /// Returns the time since the last report, in seconds.
    pub fn age(&self, now: Instant) -> f64 {
        now.saturating_duration_since(self.heard_at).as_secs_f64()
    }
}

/// The part of a quota that the entries that hear each other may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FleetShare {
    /// Entries that may admit requests, this one included.
    pub entries: usize,
    /// Entries that are heard, this one included.
    pub heard: usize,
    /// Part of the rate that the heard entries may spend.
    pub rate_part: f64,
    /// Whether the fleet cannot have another group of as many entries that hear each other.
    pub is_majority: bool,
}

impl FleetShare {
    /// Returns the part of the entries that is heard.
    pub fn heard_part(&self) -> f64 {
        self.heard as f64 / self.entries as f64
    }
}

/// The other entries, each with a slot number that stays the same until it is forgotten.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    slots: Vec<Option<PeerState>>,
    names: BTreeMap<EntryName, usize>,
}

impl PeerTable {
    /// Returns the peers with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &PeerState)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, peer)| Some((slot, peer.as_ref()?)))
    }

    /// Returns the peer of a slot.
    pub fn get(&self, slot: usize) -> Option<&PeerState> {
        self.slots.get(slot)?.as_ref()
    }

    /// Returns the peer of a slot, to change it.
    pub fn get_mut(&mut self, slot: usize) -> Option<&mut PeerState> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Returns the slot of a peer.
    pub fn slot(&self, name: &EntryName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Adds a peer that has not been heard; returns its slot.
    pub fn insert(&mut self, now: Instant, name: &EntryName, expected_gap: Duration) -> usize {
        let free = self.slots.iter().position(Option::is_none);
        let slot = free.unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(PeerState {
            incarnation: None,
            heard_at: now,
            mean_gap: expected_gap.as_secs_f64(),
            silent_since: Some(now),
            unlisted_since: Some(now),
        });
        self.names.insert(name.clone(), slot);
        slot
    }

    /// Sets which peers are listed; returns the names that were not known.
    pub fn set_listed(&mut self, now: Instant, listed: &[EntryName]) -> Vec<EntryName> {
        for peer in self.slots.iter_mut().flatten() {
            peer.unlisted_since.get_or_insert(now);
        }
        let mut unknown = Vec::new();
        for name in listed {
            match self.names.get(name) {
                Some(slot) => {
                    if let Some(peer) = &mut self.slots[*slot] {
                        peer.unlisted_since = None;
                    }
                }
                None => unknown.push(name.clone()),
            }
        }
        unknown
    }

    /// Returns the slots of heard peers whose last report is older than `max_silence`.
    pub fn newly_silent(&self, now: Instant, max_silence: Duration) -> Vec<usize> {
        let limit = max_silence.as_secs_f64();
        let silent = self
            .iter()
            .filter(|(_, peer)| peer.silent_since.is_none() && peer.age(now) > limit);
        silent.map(|(slot, _)| slot).collect()
    }

    /// Forgets the peers that are silent and have not been listed for a time; returns their slots.
    pub fn remove_ended(&mut self, now: Instant, grace: Duration) -> Vec<usize> {
        let is_over = |since: Option<Instant>| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= grace)
        };
        let ended = self
            .iter()
            .filter(|(_, peer)| peer.silent_since.is_some() && is_over(peer.unlisted_since));
        let ended: Vec<usize> = ended.map(|(slot, _)| slot).collect();
        for slot in &ended {
            self.slots[*slot] = None;
        }
        if !ended.is_empty() {
            self.names.retain(|_, slot| !ended.contains(slot));
        }
        ended
    }

    /// Returns the number of peers, and how many of them are heard.
    pub fn counts(&self) -> (usize, usize) {
        let heard = self.iter().filter(|(_, peer)| peer.silent_since.is_none());
        (self.names.len(), heard.count())
    }
}
