//! Messages between the control thread and the traffic threads.

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
use crate::reclaim::ReclaimCall;

/// A server and where it is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEndpoint {
    /// The server.
    pub name: ServerName,
    /// Where it serves HTTP.
    pub address: SocketAddr,
}

/// Where and how a try of a request runs.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// The identity of the try.
    pub attempt: AttemptId,
    /// The engine for the stream.
    pub decode: ServerEndpoint,
    /// The engine for the prefill.
    pub prefill: ServerEndpoint,
    /// The place in the engines' queues.
    pub priority: EnginePriority,
    /// How long to wait between the reservation and the prefill.
    pub prefill_after: Duration,
    /// The time after which a try without a first token is given up.
    pub first_token_within: Duration,
}

/// What the control thread decided for a request.
#[derive(Clone, Debug)]
pub enum RequestDecision {
    /// Try the request at these engines.
    Start(AttemptOrder),
    /// Answer with a refusal.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When another try is worth it.
        retry_after: Option<Duration>,
    },
}

/// What the control thread is told.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum ControlMessage {
    /// A request has come; its decisions go to the sender.
    Arrived {
        /// What it asks.
        demand: RequestDemand,
        /// Where its decisions go.
        decisions: UnboundedSender<RequestDecision>,
    },
    /// A request has been answered, refused or given up by its caller.
    Finished(RequestId),
    /// Something happened to an attempt or a server.
    Dispatch(DispatchEvent),
    /// A source of documents was seen or has answered.
    Document(DocumentEvent),
    /// The platform's list of VMs was read.
    VmsSeen(Vec<VmRecord>),
    /// The servers that operators have taken out of use were read.
    DrainsSeen(BTreeSet<ServerName>),
    /// What an attempt holds must be freed.
    Reclaim(ReclaimCall),
    /// A peer was heard.
    PeerHeard {
        /// Who.
        peer: PeerIdentity,
        /// What it says of itself.
        state: PeerState,
    },
    /// A non-idempotent request wants its claim; the decision goes to the sender.
    ClaimDemanded {
        /// What it claims.
        demand: ClaimRequest,
        /// Where the decision goes.
        decision: oneshot::Sender<ClaimDecision>,
    },
    /// Something happened to a claim or to a call of the platform's service for one.
    Ledger(LedgerEvent),
    /// An engine listed what it holds.
    HeldSeen {
        /// The engine.
        engine: SocketAddr,
        /// What it holds.
        records: Vec<HeldResource>,
    },
    /// The entry begins to shut down.
    Leave,
}

/// Asks for the servers of a kind that take new work.
#[derive(Debug, Message)]
#[rtype(result = "Vec<ServerEndpoint>")]
pub struct ReadSnapshot {
    /// The kind.
    pub kind: ServerKindName,
}

/// Asks for the number of claims that are not closed yet.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub struct CountClaims;

/// Answers what a peer asks; `None` if the entry is ending.
#[derive(Debug, Message)]
#[rtype(result = "Option<PeerReply>")]
pub struct AnswerPeer {
    /// Who asks.
    pub from: EntryIdentity,
    /// What is asked.
    pub call: PeerCall,
}
