//! What the handlers of one traffic thread share.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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

/// Connections to the control thread, to backend servers, and the document in force.
pub struct TrafficState {
    /// The settings.
    pub settings: Arc<EntrySettings>,
    /// This start of this entry.
    pub identity: EntryIdentity,
    /// This entry as callers and peers reach it.
    pub own: MemberCandidate,
    /// The control thread.
    pub control: Addr<ControlActor>,
    /// Connections of this thread to backend servers.
    pub pool: Rc<ClientPool>,
    /// Calls to engines over these connections.
    pub engines: EngineClient,
    documents: watch::Receiver<Option<Arc<AppliedDocument>>>,
    fleet: watch::Receiver<Arc<FleetView>>,
    leaving: Arc<AtomicBool>,
}

impl TrafficState {
    /// The state of one thread.
    pub fn new(
        settings: Arc<EntrySettings>,
        peer: &PeerIdentity,
        control: Addr<ControlActor>,
        documents: watch::Receiver<Option<Arc<AppliedDocument>>>,
        fleet: watch::Receiver<Arc<FleetView>>,
        leaving: Arc<AtomicBool>,
    ) -> Self {
        let pool = Rc::new(ClientPool::new(settings.timeouts.connect));
        let engines = EngineClient::new(Rc::clone(&pool));
        let own = MemberCandidate {
            name: peer.identity.entry.clone(),
            data_centre: peer.data_centre.clone(),
            address: peer.address,
            peer_address: peer.peer_address,
            leaving: false,
        };
        Self {
            identity: peer.identity.clone(),
            own,
            settings,
            control,
            pool,
            engines,
            documents,
            fleet,
            leaving,
        }
    }

    /// The document in force.
    pub fn document(&self) -> Option<Arc<AppliedDocument>> {
        self.documents.borrow().clone()
    }

    /// The other entries that callers can be sent to.
    pub fn fleet(&self) -> Arc<FleetView> {
        self.fleet.borrow().clone()
    }

    /// Whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
