//! The links that this entry keeps to others.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use gs_protocol::ids::EntryName;
use gs_protocol::peer::{PeerCall, PeerFrame, PeerReply, PeerState};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::dial::keep_link;
use super::handshake::PeerCredentials;
use crate::control::ControlActor;

/// What all links of this entry share.
#[derive(Clone)]
pub struct PeerParts {
    /// Who this entry is and what it proves.
    pub credentials: Rc<PeerCredentials>,
    /// What this entry tells its peers.
    pub state: Rc<Cell<PeerState>>,
    /// The control thread's actor.
    pub control: Addr<ControlActor>,
    /// Between two heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a link is given up.
    pub silence: Duration,
}

/// What waits to be sent over a link.
pub enum PendingFrame {
    /// A call.
    Call(PendingCall),
    /// A frame that is not answered. Dropped if the link is broken.
    Notice(PeerFrame),
}

/// A call that waits to be sent, and where its answer goes.
pub struct PendingCall {
    /// What is asked.
    pub call: PeerCall,
    /// Where the answer goes. Dropped without an answer if the link breaks.
    pub answer: oneshot::Sender<PeerReply>,
}

struct PeerLink {
    frames: UnboundedSender<PendingFrame>,
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
        let (frames, waiting) = unbounded_channel();
        let task = actix_rt::spawn(keep_link(name.clone(), address, parts, waiting));
        self.links.insert(name.clone(), PeerLink { frames, task });
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
            let call = PendingCall { call, answer };
            let _ = link.frames.send(PendingFrame::Call(call));
        }
        receiver
    }

    /// Sends a frame that is not answered to every entry.
    pub fn tell_all(&self, frame: &PeerFrame) {
        for link in self.links.values() {
            // A link that has ended is about to be dropped.
            let _ = link.frames.send(PendingFrame::Notice(frame.clone()));
        }
    }
}
