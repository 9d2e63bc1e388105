//! Drives the membership slice and keeps the links that it asks for.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::membership::{
    MemberCandidate, MemberStatus, MembershipEffect, MembershipEvent, MembershipSettings,
    MembershipState, choose_home,
};
use gs_document::settings::EntrySettings;
use gs_protocol::ids::{EntryIdentity, EntryName, SequenceNumber};
use gs_protocol::peer::{PeerCall, PeerFrame, PeerIdentity, PeerReply, PeerState};
use gs_protocol::suspicion::SuspicionReport;
use gs_protocol::vm::{VmRecord, VmState, VmWorkload};
use tokio::sync::{oneshot, watch};

use crate::peers::{FleetView, PeerLinks, PeerParts};
use crate::servers::ServerRecord;

/// How much longer than until suspicion an entry must be silent to count as dead.
const DEAD_FACTOR: u32 = 2;

/// The other entries, as the control thread sees them.
pub struct PeerDesk {
    membership: MembershipState,
    links: PeerLinks,
    parts: PeerParts,
    state: Rc<Cell<PeerState>>,
    fleet: watch::Sender<Arc<FleetView>>,
    configured: Vec<VmRecord>,
}

impl PeerDesk {
    /// A desk that knows the entries that the settings name.
    pub fn new(
        settings: &EntrySettings,
        parts: PeerParts,
        fleet: watch::Sender<Arc<FleetView>>,
    ) -> Self {
        let times = MembershipSettings {
            suspect_after: settings.intervals.suspect_after,
            dead_after: dead_after(settings),
        };
        Self {
            membership: MembershipState::new(settings.name.clone(), times),
            links: PeerLinks::default(),
            state: Rc::clone(&parts.state),
            parts,
            fleet,
            configured: settings.vm_records(),
        }
    }

    /// Takes in a newer VM list.
    pub fn see_vms(&mut self, now: Instant, records: &[VmRecord]) -> Vec<MembershipEffect> {
        let listed = self.configured.iter().chain(records);
        let candidates = listed.filter_map(read_candidate).collect();
        self.handle(now, MembershipEvent::CandidatesListed(candidates))
    }

    /// Takes in that a peer was heard.
    pub fn hear(
        &mut self,
        now: Instant,
        peer: PeerIdentity,
        state: PeerState,
    ) -> Vec<MembershipEffect> {
        self.handle(now, MembershipEvent::HeartbeatReceived { peer, state })
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipEffect> {
        self.handle(now, MembershipEvent::Tick)
    }

    /// Tells peers that this entry is shutting down.
    pub fn leave(&self) {
        self.state.set(PeerState {
            leaving: true,
            ..self.state.get()
        });
    }

    /// Tells peers which document is in force here.
    pub fn set_sequence(&self, sequence: SequenceNumber) {
        self.state.set(PeerState {
            sequence,
            ..self.state.get()
        });
    }

    /// Tells all peers of requests that may crash servers.
    pub fn tell_suspicions(&self, report: &SuspicionReport) {
        // Without an open link there is nobody to tell.
        let _ = self
            .parts
            .notices
            .send(PeerFrame::Suspicions(report.clone()));
    }

    /// Entries that take part in the fleet, this one included.
    pub fn count_entries(&self) -> u32 {
        let taking_part = |status| matches!(status, MemberStatus::Alive | MemberStatus::Leaving);
        let others = self
            .membership
            .members()
            .filter(|record| taking_part(record.status))
            .count();
        u32::try_from(others + 1).unwrap_or(u32::MAX)
    }

    /// The other entries that are alive and not leaving.
    pub fn live_identities(&self) -> Vec<EntryIdentity> {
        self.membership
            .members()
            .filter(|record| record.status == MemberStatus::Alive)
            .map(|record| record.peer.identity.clone())
            .collect()
    }

    /// Asks an entry. The receiver fails if the link breaks before the answer comes.
    pub fn call(&self, name: &EntryName, call: PeerCall) -> oneshot::Receiver<PeerReply> {
        self.links.call(name, call)
    }

    /// Sends a message to an entry. It may be lost.
    pub fn send(&self, name: &EntryName, call: PeerCall) {
        drop(self.call(name, call));
    }

    /// The entry that looks after a server, among those that are alive.
    pub fn home_of(&self, server: &ServerRecord) -> Option<EntryName> {
        let own = &self.parts.credentials.own;
        let alive = self
            .membership
            .members()
            .filter(|record| record.status == MemberStatus::Alive);
        let mut entries: Vec<_> = alive
            .map(|record| (&record.peer.identity.entry, &record.peer.data_centre))
            .collect();
        if !self.state.get().leaving {
            entries.push((&own.identity.entry, &own.data_centre));
        }
        choose_home(&server.endpoint.name, &server.data_centre, &entries).cloned()
    }

    /// Whether this entry looks after a server.
    pub fn is_home_of(&self, server: &ServerRecord) -> bool {
        self.home_of(server).as_ref() == Some(&self.parts.credentials.own.identity.entry)
    }

    /// Carries out what concerns links, and returns all effects for the other slices.
    fn handle(&mut self, now: Instant, event: MembershipEvent) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.membership.handle(now, event, &mut effects);
        for effect in &effects {
            self.carry_out(effect);
        }
        let view = FleetView {
            entries: self.membership.usable_entries(),
        };
        self.fleet.send_if_modified(|current| {
            let changed = **current != view;
            if changed {
                *current = Arc::new(view);
            }
            changed
        });
        effects
    }

    fn carry_out(&mut self, effect: &MembershipEffect) {
        match effect {
            MembershipEffect::Connect { name, peer_address } => {
                self.links.connect(name, *peer_address, self.parts.clone());
            }
            MembershipEffect::Disconnect(name) => self.links.disconnect(name),
            MembershipEffect::StatusChanged { peer, status } => {
                log::info!(target: "peers", peer:% = peer.identity; "Entry is {status:?}.");
            }
        }
    }
}

fn dead_after(settings: &EntrySettings) -> Duration {
    settings.intervals.suspect_after * DEAD_FACTOR
}

fn read_candidate(vm: &VmRecord) -> Option<MemberCandidate> {
    let VmWorkload::Entry { name, peer_address } = &vm.workload else {
        return None;
    };
    Some(MemberCandidate {
        name: name.clone(),
        data_centre: vm.data_centre.clone(),
        address: vm.address,
        peer_address: *peer_address,
        leaving: vm.state == VmState::Leaving,
    })
}
