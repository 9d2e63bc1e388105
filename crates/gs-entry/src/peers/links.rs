//! The links that this entry keeps to others.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use gs_control::dispatch::DispatchEvent;
use gs_protocol::ids::EntryName;
use gs_protocol::peer::{PeerCall, PeerFrame, PeerIdentity, PeerReply, PeerState};
use gs_protocol::suspicion::SuspicionReport;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{broadcast, oneshot};
use tokio::task::JoinHandle;

use super::dial::keep_link;
use super::handshake::PeerCredentials;
use crate::control::{ControlActor, ControlMessage};

/// What all links of this entry share.
#[derive(Clone)]
pub struct PeerParts {
    /// Who this entry is and what it proves.
    pub credentials: Rc<PeerCredentials>,
    /// What this entry tells its peers.
    pub state: Rc<Cell<PeerState>>,
    /// Frames that go to all peers and are not answered, over every open link of either direction.
    pub notices: broadcast::Sender<PeerFrame>,
    /// The control thread's actor.
    pub control: Addr<ControlActor>,
    /// Between two heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a link is given up.
    pub silence: Duration,
}

/// A call that waits to be sent, and where its answer goes.
pub struct PendingCall {
    /// What is asked.
    pub call: PeerCall,
    /// Where the answer goes. Dropped without an answer if the link breaks.
    pub answer: oneshot::Sender<PeerReply>,
}

struct PeerLink {
    calls: UnboundedSender<PendingCall>,
    task: JoinHandle<()>,
}

/// The links that this entry keeps.
#[derive(Default)]
pub struct PeerLinks {
    links: BTreeMap<EntryName, PeerLink>,
}

impl PeerLinks {
    /// Keeps a link to an entry, connecting again whenever it breaks.
    pub fn connect(&mut self, name: &EntryName, address: SocketAddr, parts: PeerParts) {
        self.disconnect(name);
        let (calls, waiting) = unbounded_channel();
        let task = actix_rt::spawn(keep_link(name.clone(), address, parts, waiting));
        self.links.insert(name.clone(), PeerLink { calls, task });
    }

    /// Ends the link to an entry.
    pub fn disconnect(&mut self, name: &EntryName) {
        if let Some(link) = self.links.remove(name) {
            link.task.abort();
        }
    }

    /// Asks an entry. The receiver fails if the link breaks before the answer comes.
    pub fn call(&self, name: &EntryName, call: PeerCall) -> oneshot::Receiver<PeerReply> {
        let (answer, receiver) = oneshot::channel();
        if let Some(link) = self.links.get(name) {
            // A link that has ended drops the call, which fails the receiver.
            let _ = link.calls.send(PendingCall { call, answer });
        }
        receiver
    }
}

/// Waits for the next frame that goes to all peers. What a slow link misses is repeated by its sender.
pub async fn next_notice(notices: &mut broadcast::Receiver<PeerFrame>) -> PeerFrame {
    loop {
        match notices.recv().await {
            Ok(notice) => return notice,
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => std::future::pending().await,
        }
    }
}

/// Hands on what a peer says of requests that may crash servers.
pub fn take_suspicions(peer: &PeerIdentity, report: SuspicionReport, parts: &PeerParts) {
    let peer = peer.identity.clone();
    let event = DispatchEvent::PeerReported { peer, report };
    parts.control.do_send(ControlMessage::Dispatch(event));
}
