//! Events and effects of the quarantine.

use gs_protocol::ids::{AttemptId, EntryIdentity, ServerName};
use gs_protocol::suspicion::{RequestFingerprint, ServerBoot, SuspicionReport};

/// How an attempt ended, as far as it matters for blame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The complete answer was received.
    Completed,
    /// A server that is alive rejected or stopped the attempt.
    Refused,
    /// The connection to this server broke or timed out.
    ConnectionLost(ServerName),
    /// The exchange with this server failed before the prompt was sent to it.
    PromptNotSent(ServerName),
    /// The attempt was cancelled or expired; its servers may run it for a while longer.
    Abandoned,
}

/// An input of [`QuarantineState`](super::QuarantineState).
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineEvent {
    /// Servers without another suspect were chosen for a suspect and are now reserved for it.
    ServersReserved {
        /// The suspect that is going to run.
        fingerprint: RequestFingerprint,
        /// The servers to reserve.
        servers: Vec<ServerName>,
    },
    /// An attempt was started.
    AttemptStarted {
        /// The new attempt.
        attempt: AttemptId,
        /// The fingerprint of its request.
        fingerprint: RequestFingerprint,
        /// The prefill server; none if a stream is resumed.
        prefill: Option<ServerName>,
        /// The decode server.
        decode: ServerName,
    },
    /// The prefill of an attempt succeeded.
    PrefillDone(AttemptId),
    /// The first token of an attempt was received.
    FirstToken(AttemptId),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt that ended.
        attempt: AttemptId,
        /// How it ended.
        end: RunEnd,
    },
    /// A server's load report, which names its current boot, was received.
    LoadReported(ServerBoot),
    /// No process listens at a server's address.
    ServerDown(ServerName),
    /// A peer's report was received.
    PeerReported {
        /// The peer that sent it.
        peer: EntryIdentity,
        /// The peer's blames, runs and acknowledgements.
        report: SuspicionReport,
    },
    /// The number of entries in the fleet, including this one; sent when the status of a peer
    /// changes.
    EntryCountChanged(u32),
    /// Time has passed.
    Tick,
}

/// An output of [`QuarantineState`](super::QuarantineState).
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineEffect {
    /// A fingerprint was blamed for a proven death.
    Blamed {
        /// The blamed fingerprint.
        fingerprint: RequestFingerprint,
        /// The server boot that died.
        death: ServerBoot,
    },
    /// Send this report to all peers.
    SendReport(SuspicionReport),
}

/// Where a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineDecision {
    /// On any server: the fingerprint is not a suspect.
    Unrestricted,
    /// On servers without another suspect, after they have been reserved for it.
    Isolated,
    /// On the servers that are reserved for it.
    Reserved,
    /// Nowhere for now: another attempt with the fingerprint runs, a server's death is not yet
    /// proven or disproven, or the reservation is not yet acknowledged.
    Held,
    /// Nowhere: the fingerprint has caused too many deaths.
    Refused,
}
