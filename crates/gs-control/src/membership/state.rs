//! What is believed of the other entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, Incarnation};
use gs_protocol::peer::{PeerIdentity, PeerState};

use super::messages::{
    MemberCandidate, MemberRecord, MemberStatus, MembershipEffect, MembershipEvent,
    MembershipSettings,
};

/// Intervals between heartbeats after which an entry is suspected at the soonest: one may be lost.
const SUSPECT_INTERVALS: f64 = 2.2;

/// The same for taking it for dead.
const DEAD_INTERVALS: f64 = 3.5;

/// A member and when it was last heard.
#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    heard: Instant,
}

/// What this entry believes of the others.
///
/// Only hearing an entry makes it alive. The list of candidates says whom to connect to; an entry that
/// is heard stays a member whatever the list says, because the list lags.
#[derive(Debug)]
pub struct MembershipState {
    own: EntryName,
    settings: MembershipSettings,
    candidates: BTreeMap<EntryName, MemberCandidate>,
    members: BTreeMap<EntryName, KnownMember>,
    links: BTreeMap<EntryName, SocketAddr>,
    /// Between two heartbeats of an entry.
    interval: Duration,
}

impl MembershipState {
    /// The state of an entry that has heard nobody yet.
    pub fn new(own: EntryName, settings: MembershipSettings) -> Self {
        Self {
            own,
            settings,
            candidates: BTreeMap::new(),
            members: BTreeMap::new(),
            links: BTreeMap::new(),
            interval: Duration::ZERO,
        }
    }

    /// Takes in what happened and adds what is to be done.
    pub fn handle(
        &mut self,
        now: Instant,
        event: MembershipEvent,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match event {
            MembershipEvent::CandidatesListed(candidates) => self.see_candidates(candidates),
            MembershipEvent::HeartbeatReceived { peer, state } => {
                self.hear(now, peer, state, effects)
            }
            MembershipEvent::Tick => {}
        }
        self.judge_silence(now, effects);
        self.plan_links(effects);
    }

    /// Entries of a fleet of this size are heard once in an interval, so none is suspected sooner than after
    /// two of them.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// All entries that were ever heard and are not yet forgotten, by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Where the other entries take messages: those that a list names and those that were heard.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let listed = self.candidates.values().map(|entry| entry.peer_address);
        let heard = self.members().map(|record| record.peer.peer_address);
        let addresses: BTreeSet<SocketAddr> = listed.chain(heard).collect();
        addresses.into_iter().collect()
    }

    /// What is known of an entry.
    pub fn member(&self, name: &EntryName) -> Option<&MemberRecord> {
        self.members.get(name).map(|member| &member.record)
    }

    /// Other entries that callers can be sent to. If none is alive, those that may be: suspected ones
    /// and candidates that were never heard.
    pub fn usable_entries(&self) -> Vec<MemberCandidate> {
        let alive = self.with_status(MemberStatus::Alive);
        if !alive.is_empty() {
            return alive;
        }
        let mut possible = self.with_status(MemberStatus::Suspect);
        possible.retain(|candidate| !candidate.leaving);
        let unheard = self
            .candidates
            .values()
            .filter(|candidate| !candidate.leaving && !self.members.contains_key(&candidate.name));
        possible.extend(unheard.cloned());
        possible
    }

    fn with_status(&self, status: MemberStatus) -> Vec<MemberCandidate> {
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

    fn see_candidates(&mut self, candidates: Vec<MemberCandidate>) {
        self.candidates = candidates
            .into_iter()
            .filter(|candidate| candidate.name != self.own)
            .map(|candidate| (candidate.name.clone(), candidate))
            .collect();
    }

    fn hear(
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
        let before = self.members.remove(&name);
        if let Some(old) = &before
            && old.record.peer.identity != peer.identity
            && old.record.status != MemberStatus::Dead
        {
            // A later start of the same entry proves that the earlier one has ended.
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
        let changed = before.is_none_or(|old| {
            old.record.status != status || old.record.peer.identity != peer.identity
        });
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
        self.members
            .insert(name, KnownMember { record, heard: now });
    }

    /// Whether a later start of the entry is known already.
    fn is_superseded(&self, name: &EntryName, incarnation: Incarnation) -> bool {
        let known = self.members.get(name);
        known.is_some_and(|member| member.record.peer.identity.incarnation > incarnation)
    }

    fn judge_silence(&mut self, now: Instant, effects: &mut Vec<MembershipEffect>) {
        let (settings, interval) = (self.settings, self.interval);
        for member in self.members.values_mut() {
            let silence = now.saturating_duration_since(member.heard);
            let status = if silence >= settings.dead_after.max(interval.mul_f64(DEAD_INTERVALS)) {
                MemberStatus::Dead
            } else if silence
                >= settings
                    .suspect_after
                    .max(interval.mul_f64(SUSPECT_INTERVALS))
            {
                MemberStatus::Suspect
            } else {
                continue;
            };
            if member.record.status < status {
                member.record.status = status;
                let peer = member.record.peer.clone();
                effects.push(MembershipEffect::StatusChanged { peer, status });
            }
        }
        let candidates = &self.candidates;
        self.members.retain(|name, member| {
            member.record.status != MemberStatus::Dead || candidates.contains_key(name)
        });
    }

    /// Links lead to every candidate and every member that is not dead.
    fn plan_links(&mut self, effects: &mut Vec<MembershipEffect>) {
        let mut wanted: BTreeMap<_, _> = self
            .candidates
            .values()
            .map(|candidate| (candidate.name.clone(), candidate.peer_address))
            .collect();
        for record in self.members.values().map(|member| &member.record) {
            let name = &record.peer.identity.entry;
            match record.status {
                MemberStatus::Alive | MemberStatus::Leaving => {
                    wanted.insert(name.clone(), record.peer.peer_address);
                }
                MemberStatus::Suspect => {
                    wanted
                        .entry(name.clone())
                        .or_insert(record.peer.peer_address);
                }
                MemberStatus::Dead => {}
            }
        }
        for name in self.links.keys().filter(|name| !wanted.contains_key(*name)) {
            effects.push(MembershipEffect::Disconnect(name.clone()));
        }
        for (name, &peer_address) in &wanted {
            if self.links.get(name) != Some(&peer_address) {
                effects.push(MembershipEffect::Connect {
                    name: name.clone(),
                    peer_address,
                });
            }
        }
        self.links = wanted;
    }
}
