//! Messages that the control thread receives, and its decisions for the traffic threads.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use actix::Message;
use gs_control::dispatch::{DispatchEvent, RequestDemand};
use gs_control::documents::DocumentEvent;
use gs_control::ledger::{ClaimRequest, LedgerEvent};
use gs_protocol::engine::{EnginePriority, HeldResource};
use gs_protocol::ids::{AttemptId, EntryIdentity, RequestId, ServerKindName, ServerName};
use gs_protocol::peer::{PeerCall, PeerIdentity, PeerReply, PeerState};
use gs_protocol::refusal::RefusalReason;
use gs_protocol::vm::VmRecord;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::ledger::ClaimDecision;
use crate::reclaim::ReclaimRequest;

/// Name and address of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEndpoint {
    /// Name of the server.
    pub name: ServerName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
}

/// The engines chosen for one attempt of a request, with its priority and time limits.
#[derive(Clone, Debug)]
pub struct AttemptPlacement {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Engine that runs the decode stream.
    pub decode: ServerEndpoint,
    /// Engine that runs the prefill.
    pub prefill: ServerEndpoint,
    /// Priority in the engines' queues.
    pub priority: EnginePriority,
    /// Delay between the reservation and the prefill.
    pub prefill_after: Duration,
    /// Time limit for the first token; the attempt is abandoned after it.
    pub first_token_within: Duration,
}

/// A decision of the control thread on a request.
#[derive(Clone, Debug)]
pub enum RequestDecision {
    /// Run an attempt on these engines.
    Start(AttemptPlacement),
    /// Refuse the request.
    Refuse {
        /// Reason that the caller receives.
        reason: RefusalReason,
        /// Suggested delay before the caller retries, if a retry can succeed.
        retry_after: Option<Duration>,
    },
}

/// Input of the control thread that needs no reply.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum ControlMessage {
    /// A request arrived.
    RequestArrived {
        /// What the request needs from the engines.
        demand: RequestDemand,
        /// Channel for the decisions on the request.
        decisions: UnboundedSender<RequestDecision>,
    },
    /// A request ended: it was answered or refused, or the caller disconnected.
    RequestFinished(RequestId),
    /// An event of an attempt or a backend server, for the dispatch slice.
    Dispatch(DispatchEvent),
    /// An event of a document source, for the document slice.
    Document(DocumentEvent),
    /// The platform's VM list was read.
    VmsListed(Vec<VmRecord>),
    /// The names of the servers that operators drain were read.
    DrainsListed(BTreeSet<ServerName>),
    /// An attempt ended and its engine resources must be released.
    Reclaim(ReclaimRequest),
    /// A heartbeat or its acknowledgement arrived from a peer.
    HeartbeatReceived {
        /// The peer that sent it.
        peer: PeerIdentity,
        /// State that the peer reports of itself.
        state: PeerState,
    },
    /// A non-idempotent request needs a claim before it may run.
    ClaimRequested {
        /// The claim to write.
        request: ClaimRequest,
        /// Channel for the decision.
        decision: oneshot::Sender<ClaimDecision>,
    },
    /// An event of a claim or of a store operation, for the ledger slice.
    Ledger(LedgerEvent),
    /// An engine listed the resources that it holds for attempts.
    HeldListed {
        /// Address of the engine.
        engine: SocketAddr,
        /// The reservations, prefills, prefill results and streams that it holds.
        resources: Vec<HeldResource>,
    },
    /// The entry starts to shut down.
    Leave,
}

/// Requests the servers of a kind that accept new work.
#[derive(Debug, Message)]
#[rtype(result = "Vec<ServerEndpoint>")]
pub struct ListUsableServers {
    /// Server kind to list.
    pub kind: ServerKindName,
}

/// Requests the number of attempts whose claim is not closed in the store yet.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub struct CountOpenClaims;

/// Handles a call from a peer and returns the reply; `None` if the entry is shutting down.
#[derive(Debug, Message)]
#[rtype(result = "Option<PeerReply>")]
pub struct HandlePeerCall {
    /// Entry that sent the call.
    pub from: EntryIdentity,
    /// The call.
    pub call: PeerCall,
}
