//! Events and effects of the quarantine slice.

use gs_protocol::ids::{AttemptId, EntryIdentity, ServerName};
use gs_protocol::suspicion::{PromptFingerprint, ServerDeath, SuspicionReport};

/// How an attempt ended, as far as blame goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The whole answer was given.
    Whole,
    /// A server refused it or gave it up, and is alive.
    Refused,
    /// The connection to a server broke or fell silent.
    Lost(ServerName),
    /// The caller is gone; servers may still run it for a while.
    Abandoned,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineEvent {
    /// A suspect is to run on servers without another suspect, which are kept for it from now on.
    Reserved {
        /// The suspect.
        fingerprint: PromptFingerprint,
        /// The servers.
        servers: Vec<ServerName>,
    },
    /// An attempt was started.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// What it runs.
        fingerprint: PromptFingerprint,
        /// The prefill engine, unless a stream is resumed.
        prefill: Option<ServerName>,
        /// The decode engine.
        decode: ServerName,
    },
    /// The prefill of an attempt has ended well.
    PrefillDone(AttemptId),
    /// The first token of an attempt has come.
    FirstToken(AttemptId),
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: RunEnd,
    },
    /// A load report of a server was read.
    ServerSeen(ServerDeath),
    /// No process listens at a server's address.
    ServerDown(ServerName),
    /// A peer has told what it knows.
    PeerTold {
        /// The peer.
        peer: EntryIdentity,
        /// What it knows.
        report: SuspicionReport,
    },
    /// How many entries share the fleet, this one included.
    EntriesSeen(u32),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineEffect {
    /// A fingerprint is blamed for a death.
    Blamed {
        /// The fingerprint.
        fingerprint: PromptFingerprint,
        /// The death.
        death: ServerDeath,
    },
    /// Tell all peers.
    Report(SuspicionReport),
}

/// Where a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectGate {
    /// On any server.
    Open,
    /// On servers without another suspect, once they have been kept for it.
    Apart,
    /// On the servers that are kept for it.
    Reserved,
    /// Nowhere for now: another attempt of its kind runs, or it is not yet known whether a server died.
    Held,
    /// Nowhere.
    Refused,
}
