//! Links from this entry to others.

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

use super::dial::maintain_link;
use super::handshake::PeerCredentials;
use crate::control::{ControlActor, ControlMessage};

/// State that all links of this entry share.
#[derive(Clone)]
pub struct LinkContext {
    /// Identity and key of this entry.
    pub credentials: Rc<PeerCredentials>,
    /// State that heartbeats report to peers.
    pub state: Rc<Cell<PeerState>>,
    /// Frames to send over every open link of either direction; they are not answered.
    pub broadcasts: broadcast::Sender<PeerFrame>,
    /// Address of the control thread's actor.
    pub control: Addr<ControlActor>,
    /// Interval between two heartbeats.
    pub heartbeat: Duration,
    /// Time without a frame from the peer after which a link is closed.
    pub silence_limit: Duration,
}

/// A call to send, and the channel for its reply.
pub struct PendingCall {
    /// The call.
    pub call: PeerCall,
    /// Channel for the reply. It is dropped without a reply if the link breaks.
    pub reply: oneshot::Sender<PeerReply>,
}

struct PeerLink {
    calls: UnboundedSender<PendingCall>,
    task: JoinHandle<()>,
}

/// The links that this entry maintains, by peer.
#[derive(Default)]
pub struct PeerLinks {
    links: BTreeMap<EntryName, PeerLink>,
}

impl PeerLinks {
    /// Starts to maintain a link to an entry. It is reconnected whenever it breaks.
    pub fn connect(&mut self, name: &EntryName, address: SocketAddr, context: LinkContext) {
        self.disconnect(name);
        let (calls, queued_calls) = unbounded_channel();
        let task = actix_rt::spawn(maintain_link(name.clone(), address, context, queued_calls));
        self.links.insert(name.clone(), PeerLink { calls, task });
    }

    /// Closes the link to an entry.
    pub fn disconnect(&mut self, name: &EntryName) {
        if let Some(link) = self.links.remove(name) {
            link.task.abort();
        }
    }

    /// Calls an entry. The receiver fails if the link breaks before the reply arrives.
    pub fn call(&self, name: &EntryName, call: PeerCall) -> oneshot::Receiver<PeerReply> {
        let (reply, receiver) = oneshot::channel();
        if let Some(link) = self.links.get(name) {
            // A link that has ended drops the call, which fails the receiver.
            let _ = link.calls.send(PendingCall { call, reply });
        }
        receiver
    }
}

/// Waits for the next frame to all peers. Frames that a slow link misses are skipped, because their
/// sender repeats them.
pub async fn next_broadcast(broadcasts: &mut broadcast::Receiver<PeerFrame>) -> PeerFrame {
    loop {
        match broadcasts.recv().await {
            Ok(frame) => return frame,
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => std::future::pending().await,
        }
    }
}

/// Forwards a peer's report on requests that may crash servers to the control thread.
pub fn forward_suspicions(peer: &PeerIdentity, report: SuspicionReport, context: &LinkContext) {
    let peer = peer.identity.clone();
    let event = DispatchEvent::PeerReported { peer, report };
    context.control.do_send(ControlMessage::Dispatch(event));
}
