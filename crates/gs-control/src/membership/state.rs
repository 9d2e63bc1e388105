//! The liveness of the other entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::ids::{DataCentreName, EntryName, Incarnation};
use gs_protocol::peer::{PeerIdentity, PeerState};

use crate::relay::RelayMember;

use super::messages::{
    MemberCandidate, MemberRecord, MemberStatus, MembershipEffect, MembershipEvent,
    MembershipSettings,
};

/// Minimum time without a heartbeat before an entry is suspected, in heartbeat intervals. One
/// heartbeat may be lost.
const MIN_SUSPECT_INTERVALS: f64 = 2.2;

/// Minimum time without a heartbeat before an entry is dead, in heartbeat intervals.
const MIN_DEAD_INTERVALS: f64 = 3.5;

/// A member and when its newest heartbeat was received.
#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    last_heartbeat: Instant,
}

/// A listed entry, and since when the list has named it at its address.
#[derive(Clone, Debug)]
struct ListedCandidate {
    candidate: MemberCandidate,
    listed_since: Instant,
    /// Whether it has been listed for so long that a heartbeat would have been received.
    is_dead: bool,
}

/// The liveness of the other entries, as seen by this one.
///
/// Only a heartbeat makes an entry alive. The list of candidates determines which entries to
/// connect to. An entry that sends heartbeats remains a member even if it is not listed, because
/// the list lags.
#[derive(Debug)]
pub struct MembershipState {
    own: EntryName,
    settings: MembershipSettings,
    candidates: BTreeMap<EntryName, ListedCandidate>,
    members: BTreeMap<EntryName, KnownMember>,
    /// Peer addresses of the entries to which a link was requested.
    links: BTreeMap<EntryName, SocketAddr>,
    /// Whether candidates or members have changed since the links were updated.
    are_links_outdated: bool,
    /// Interval between two heartbeats of an entry.
    heartbeat_interval: Duration,
}

impl MembershipState {
    /// Creates the state of an entry that has received no heartbeat yet.
    pub fn new(own: EntryName, settings: MembershipSettings) -> Self {
        Self {
            own,
            settings,
            candidates: BTreeMap::new(),
            members: BTreeMap::new(),
            links: BTreeMap::new(),
            are_links_outdated: false,
            heartbeat_interval: Duration::ZERO,
        }
    }

    /// Handles an event and appends the resulting effects.
    pub fn handle(
        &mut self,
        now: Instant,
        event: MembershipEvent,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match event {
            MembershipEvent::CandidatesListed(candidates) => {
                self.replace_candidates(now, candidates);
            }
            MembershipEvent::HeartbeatReceived { peer, state } => {
                self.receive_heartbeat(now, peer, state, effects);
            }
            MembershipEvent::Tick => {}
        }
        self.check_timeouts(now, effects);
        if std::mem::take(&mut self.are_links_outdated) {
            self.update_links(effects);
        }
    }

    /// Sets the interval between heartbeats of an entry, which grows with the fleet. No entry is
    /// suspected before a little more than two intervals have passed.
    pub fn set_heartbeat_interval(&mut self, heartbeat_interval: Duration) {
        self.heartbeat_interval = heartbeat_interval;
    }

    /// Returns all entries that have sent a heartbeat and were not removed since, by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the peer addresses of the other entries: of listed ones and of members.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let listed = self.listed().map(|candidate| candidate.peer_address);
        let of_members = self.members().map(|record| record.peer.peer_address);
        let addresses: BTreeSet<SocketAddr> = listed.chain(of_members).collect();
        addresses.into_iter().collect()
    }

    /// Returns all other entries, listed or heard, for the choice of relays. One of `own_centre` that
    /// was silent for `max_silence` does not count as alive there, so that it is replaced early.
    pub fn relay_members(
        &self,
        now: Instant,
        own_centre: &DataCentreName,
        max_silence: Duration,
    ) -> Vec<RelayMember> {
        let heard = self.members.values().map(|member| {
            let peer = &member.record.peer;
            let silence = now.saturating_duration_since(member.last_heartbeat);
            let is_silent = peer.data_centre == *own_centre && silence > max_silence;
            RelayMember {
                name: peer.identity.entry.clone(),
                data_centre: peer.data_centre.clone(),
                peer_address: peer.peer_address,
                is_alive: member.record.status == MemberStatus::Alive && !is_silent,
                link_rate: None,
            }
        });
        let unheard = self
            .listed()
            .filter(|candidate| !self.members.contains_key(&candidate.name));
        let unheard = unheard.map(|candidate| RelayMember {
            name: candidate.name.clone(),
            data_centre: candidate.data_centre.clone(),
            peer_address: candidate.peer_address,
            is_alive: false,
            link_rate: None,
        });
        heard.chain(unheard).collect()
    }

    /// Returns the record of a member.
    pub fn member(&self, name: &EntryName) -> Option<&MemberRecord> {
        self.members.get(name).map(|member| &member.record)
    }

    /// Returns the other entries that callers can be sent to. If none is alive, returns those that
    /// may be: suspected ones, and candidates that are not members and were listed a short time ago.
    /// Excludes leaving entries: members by their newest heartbeat, other candidates by the list.
    pub fn usable_entries(&self) -> Vec<MemberCandidate> {
        let alive = self.members_with_status(MemberStatus::Alive);
        if !alive.is_empty() {
            return alive;
        }
        let mut possible = self.members_with_status(MemberStatus::Suspect);
        possible.retain(|candidate| !candidate.leaving);
        let undecided = self.candidates.values().filter(|listed| !listed.is_dead);
        let unheard = undecided
            .map(|listed| &listed.candidate)
            .filter(|candidate| !candidate.leaving && !self.members.contains_key(&candidate.name));
        possible.extend(unheard.cloned());
        possible
    }

    fn listed(&self) -> impl Iterator<Item = &MemberCandidate> {
        self.candidates.values().map(|listed| &listed.candidate)
    }

    fn members_with_status(&self, status: MemberStatus) -> Vec<MemberCandidate> {
        self.members()
            .filter(|record| record.status == status)
            .map(|record| MemberCandidate {
                name: record.peer.identity.entry.clone(),
                data_centre: record.peer.data_centre.clone(),
                address: record.peer.address,
                peer_address: record.peer.peer_address,
                leaving: record.state.leaving,
            })
            .collect()
    }

    fn replace_candidates(&mut self, now: Instant, candidates: Vec<MemberCandidate>) {
        self.are_links_outdated = true;
        let before = std::mem::take(&mut self.candidates);
        let others = candidates
            .into_iter()
            .filter(|candidate| candidate.name != self.own);
        self.candidates = others
            .map(|candidate| {
                let known = before
                    .get(&candidate.name)
                    .filter(|known| known.candidate.address == candidate.address);
                let listed = ListedCandidate {
                    listed_since: known.map_or(now, |known| known.listed_since),
                    is_dead: known.is_some_and(|known| known.is_dead),
                    candidate,
                };
                (listed.candidate.name.clone(), listed)
            })
            .collect();
    }

    fn receive_heartbeat(
        &mut self,
        now: Instant,
        peer: PeerIdentity,
        state: PeerState,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let name = peer.identity.entry.clone();
        if name == self.own || self.is_superseded(&name, peer.identity.incarnation) {
            return;
        }
        let previous = self.members.remove(&name);
        if let Some(old) = &previous
            && old.record.peer.identity != peer.identity
            && old.record.status != MemberStatus::Dead
        {
            // A later incarnation of the entry proves that the earlier one has ended.
            let peer = old.record.peer.clone();
            effects.push(MembershipEffect::StatusChanged {
                peer,
                status: MemberStatus::Dead,
            });
        }
        let status = if state.leaving {
            MemberStatus::Leaving
        } else {
            MemberStatus::Alive
        };
        let is_address_known = previous
            .as_ref()
            .is_some_and(|old| old.record.peer.peer_address == peer.peer_address);
        let changed = previous.is_none_or(|old| {
            old.record.status != status || old.record.peer.identity != peer.identity
        });
        self.are_links_outdated |= changed || !is_address_known;
        if changed {
            effects.push(MembershipEffect::StatusChanged {
                peer: peer.clone(),
                status,
            });
        }
        let record = MemberRecord {
            peer,
            state,
            status,
        };
        self.members.insert(
            name,
            KnownMember {
                record,
                last_heartbeat: now,
            },
        );
    }

    /// Returns whether a later incarnation of the entry is already known.
    fn is_superseded(&self, name: &EntryName, incarnation: Incarnation) -> bool {
        let known = self.members.get(name);
        known.is_some_and(|member| member.record.peer.identity.incarnation > incarnation)
    }

    fn check_timeouts(&mut self, now: Instant, effects: &mut Vec<MembershipEffect>) {
        let (settings, heartbeat_interval) = (self.settings, self.heartbeat_interval);
        let dead_after = settings
            .dead_after
            .max(heartbeat_interval.mul_f64(MIN_DEAD_INTERVALS));
        let suspect_after = settings
            .suspect_after
            .max(heartbeat_interval.mul_f64(MIN_SUSPECT_INTERVALS));
        for listed in self.candidates.values_mut() {
            listed.is_dead = now.saturating_duration_since(listed.listed_since) >= dead_after;
        }
        for member in self.members.values_mut() {
            let silence = now.saturating_duration_since(member.last_heartbeat);
            let status = if silence >= dead_after {
                MemberStatus::Dead
            } else if silence >= suspect_after {
                MemberStatus::Suspect
            } else {
                continue;
            };
            if member.record.status < status {
                member.record.status = status;
                self.are_links_outdated = true;
                let peer = member.record.peer.clone();
                effects.push(MembershipEffect::StatusChanged { peer, status });
            }
        }
        // The removal of a dead member changes no link: there is none to it unless it is listed.
        let candidates = &self.candidates;
        self.members.retain(|name, member| {
            member.record.status != MemberStatus::Dead || candidates.contains_key(name)
        });
    }

    /// Updates the links, so that there is one to each candidate and to each member that is not
    /// dead.
    fn update_links(&mut self, effects: &mut Vec<MembershipEffect>) {
        let mut required: BTreeMap<_, _> = self
            .listed()
            .map(|candidate| (candidate.name.clone(), candidate.peer_address))
            .collect();
        for record in self.members.values().map(|member| &member.record) {
            let name = &record.peer.identity.entry;
            match record.status {
                MemberStatus::Alive | MemberStatus::Leaving => {
                    required.insert(name.clone(), record.peer.peer_address);
                }
                MemberStatus::Suspect => {
                    required
                        .entry(name.clone())
                        .or_insert(record.peer.peer_address);
                }
                MemberStatus::Dead => {}
            }
        }
        for name in self
            .links
            .keys()
            .filter(|name| !required.contains_key(*name))
        {
            effects.push(MembershipEffect::Disconnect(name.clone()));
        }
        for (name, &peer_address) in &required {
            if self.links.get(name) != Some(&peer_address) {
                effects.push(MembershipEffect::Connect {
                    name: name.clone(),
                    peer_address,
                });
            }
        }
        self.links = required;
    }
}
