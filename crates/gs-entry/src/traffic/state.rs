//! State that the handlers of one traffic thread share.

use std::rc::Rc;
use std::sync::Arc;

use actix::Addr;
use gs_control::membership::MemberCandidate;
use gs_document::settings::EntrySettings;
use gs_protocol::ids::EntryIdentity;
use gs_protocol::peer::PeerIdentity;
use tokio::sync::watch;

use crate::control::ControlActor;
use crate::documents::AppliedDocument;
use crate::engine::{ClientPool, EngineClient};
use crate::peers::FleetView;
use crate::shutdown::ShutdownState;

/// Channels to the control thread, connections to backend servers, and the document in force.
pub struct TrafficState {
    /// Settings of the entry.
    pub settings: Arc<EntrySettings>,
    /// Identity of this entry, with the incarnation of this process.
    pub identity: EntryIdentity,
    /// Addresses of this entry, for the list of entries.
    pub own_candidate: MemberCandidate,
    /// Address of the control thread's actor.
    pub control: Addr<ControlActor>,
    /// Connections of this thread to backend servers.
    pub pool: Rc<ClientPool>,
    /// Client for engine calls over these connections.
    pub engines: EngineClient,
    /// Shutdown of this process.
    pub shutdown: ShutdownState,
    documents: watch::Receiver<Option<Arc<AppliedDocument>>>,
    fleet: watch::Receiver<Arc<FleetView>>,
}

impl TrafficState {
    /// Creates the state of one traffic thread.
    pub fn new(
        settings: Arc<EntrySettings>,
        peer: &PeerIdentity,
        control: Addr<ControlActor>,
        documents: watch::Receiver<Option<Arc<AppliedDocument>>>,
        fleet: watch::Receiver<Arc<FleetView>>,
        shutdown: ShutdownState,
    ) -> Self {
        let pool = Rc::new(ClientPool::new(settings.timeouts.connect));
        let engines = EngineClient::new(Rc::clone(&pool));
        let own_candidate = MemberCandidate {
            name: peer.identity.entry.clone(),
            data_centre: peer.data_centre.clone(),
            address: peer.address,
            peer_address: peer.peer_address,
            leaving: false,
        };
        Self {
            identity: peer.identity.clone(),
            own_candidate,
            settings,
            control,
            pool,
            engines,
            documents,
            fleet,
            shutdown,
        }
    }

    /// Document in force, if there is one yet.
    pub fn document(&self) -> Option<Arc<AppliedDocument>> {
        self.documents.borrow().clone()
    }

    /// Other entries that callers can use.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.fleet.borrow().clone()
    }

    /// Whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.has_begun()
    }
}
