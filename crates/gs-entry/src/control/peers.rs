//! Drives the membership slice and maintains the links that it requests.

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

use crate::peers::{FleetView, LinkContext, PeerLinks};
use crate::servers::ServerRecord;

/// Silence until an entry is considered dead, as a multiple of the silence until it is suspected.
const DEAD_FACTOR: u32 = 2;

/// The other entries and the links to them.
pub struct PeerHandler {
    membership: MembershipState,
    links: PeerLinks,
    link_context: LinkContext,
    state: Rc<Cell<PeerState>>,
    fleet: watch::Sender<Arc<FleetView>>,
    configured: Vec<VmRecord>,
}

impl PeerHandler {
    /// Creates a handler that knows only the entries in the settings.
    pub fn new(
        settings: &EntrySettings,
        link_context: LinkContext,
        fleet: watch::Sender<Arc<FleetView>>,
    ) -> Self {
        let timeouts = MembershipSettings {
            suspect_after: settings.intervals.suspect_after,
            dead_after: dead_after(settings),
        };
        Self {
            membership: MembershipState::new(settings.name.clone(), timeouts),
            links: PeerLinks::default(),
            state: Rc::clone(&link_context.state),
            link_context,
            fleet,
            configured: settings.vm_records(),
        }
    }

    /// Replaces the candidates by those of the settings and a newer VM list.
    pub fn apply_vm_list(&mut self, now: Instant, records: &[VmRecord]) -> Vec<MembershipEffect> {
        let listed = self.configured.iter().chain(records);
        let candidates = listed.filter_map(to_candidate).collect();
        self.handle(now, MembershipEvent::CandidatesListed(candidates))
    }

    /// Handles the state in a peer's heartbeat or acknowledgement.
    pub fn handle_heartbeat(
        &mut self,
        now: Instant,
        peer: PeerIdentity,
        state: PeerState,
    ) -> Vec<MembershipEffect> {
        self.handle(now, MembershipEvent::HeartbeatReceived { peer, state })
    }

    /// Advances the time, which may change the status of silent peers.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipEffect> {
        self.handle(now, MembershipEvent::Tick)
    }

    /// Announces in later heartbeats that this entry is shutting down.
    pub fn publish_leaving(&self) {
        self.state.set(PeerState {
            leaving: true,
            ..self.state.get()
        });
    }

    /// Announces in later heartbeats which document is in force at this entry.
    pub fn publish_sequence(&self, sequence: SequenceNumber) {
        self.state.set(PeerState {
            sequence,
            ..self.state.get()
        });
    }

    /// Sends a report on requests that may crash servers to all connected peers.
    pub fn send_suspicions(&self, report: &SuspicionReport) {
        // Sending fails only if no link is open.
        let _ = self
            .link_context
            .broadcasts
            .send(PeerFrame::Suspicions(report.clone()));
    }

    /// Number of alive and leaving entries, including this one.
    pub fn count_entries(&self) -> u32 {
        let is_member = |status| matches!(status, MemberStatus::Alive | MemberStatus::Leaving);
        let others = self
            .membership
            .members()
            .filter(|record| is_member(record.status))
            .count();
        u32::try_from(others + 1).unwrap_or(u32::MAX)
    }

    /// Identities of the other entries that are alive and not leaving.
    pub fn live_identities(&self) -> Vec<EntryIdentity> {
        self.membership
            .members()
            .filter(|record| record.status == MemberStatus::Alive)
            .map(|record| record.peer.identity.clone())
            .collect()
    }

    /// Calls an entry. The receiver fails if the link breaks before the reply arrives.
    pub fn call(&self, name: &EntryName, call: PeerCall) -> oneshot::Receiver<PeerReply> {
        self.links.call(name, call)
    }

    /// Sends a call to an entry and ignores the reply. The call may be lost.
    pub fn send(&self, name: &EntryName, call: PeerCall) {
        drop(self.call(name, call));
    }

    /// The home of a server: the alive entry that cancels attempts of dead entries on it.
    pub fn home_of(&self, server: &ServerRecord) -> Option<EntryName> {
        let own = &self.link_context.credentials.own;
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

    /// Whether this entry is the home of a server.
    pub fn is_home_of(&self, server: &ServerRecord) -> bool {
        self.home_of(server).as_ref() == Some(&self.link_context.credentials.own.identity.entry)
    }

    /// Executes the effects on links, publishes the usable entries to the traffic threads, and
    /// returns all effects for the other slices.
    fn handle(&mut self, now: Instant, event: MembershipEvent) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.membership.handle(now, event, &mut effects);
        for effect in &effects {
            self.execute_effect(effect);
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

    fn execute_effect(&mut self, effect: &MembershipEffect) {
        match effect {
            MembershipEffect::Connect { name, peer_address } => {
                self.links
                    .connect(name, *peer_address, self.link_context.clone());
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

fn to_candidate(vm: &VmRecord) -> Option<MemberCandidate> {
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
