//! What entries tell each other of requests that may crash the backend servers which run them.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AttemptId, EntryName, ModelName, ServerName};

/// Identifies requests that make engines do the same: a hash of the model and the prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PromptFingerprint(pub u64);

impl PromptFingerprint {
    /// The fingerprint of a prompt for a model.
    pub fn new(model: &ModelName, prompt: &str) -> Self {
        let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
        Self(xxh3_64_with_seed(prompt.as_bytes(), seed))
    }
}

impl fmt::Display for PromptFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// One end of a backend server's process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerBoot {
    /// The server.
    pub server: ServerName,
    /// Which start of the server ended.
    pub boot: u64,
}

/// What is known of an attempt's part in a death. Of two statements the larger one holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum BlameState {
    /// The request lost its connection to the server, which may have died.
    Suspected,
    /// The server died, and the request may be the cause.
    Proven,
    /// The server did not die, or the request has run well since.
    Cleared,
}

/// One attempt's part in a death.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlameRecord {
    /// The attempt, which has at most one blame.
    pub attempt: AttemptId,
    /// What it ran.
    pub fingerprint: PromptFingerprint,
    /// The death.
    pub death: ServerBoot,
    /// What is known.
    pub state: BlameState,
}

/// A suspect that runs on a server, or is about to, and has not yet shown that it does no harm.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SuspectRun {
    /// The fingerprint.
    pub fingerprint: PromptFingerprint,
    /// The server.
    pub server: ServerName,
    /// Whether it runs there already.
    pub has_started: bool,
}

/// A suspect that another entry is about to run.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PendingRun {
    /// The entry that is about to run it.
    pub entry: EntryName,
    /// What and where.
    pub run: SuspectRun,
}

/// What an entry tells its peers. Repeats and reordered reports do no harm to `blames`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspicionReport {
    /// Which report of this start of the sender this is.
    pub number: u64,
    /// Blames that changed lately.
    pub blames: Vec<BlameRecord>,
    /// All suspects that the sender runs now or is about to run.
    pub running: Vec<SuspectRun>,
    /// What others are about to run, as the sender has heard it from them and heeds it.
    #[serde(default, rename = "heard")]
    pub pending_runs: Vec<PendingRun>,
    /// Whether the sender waits for its peers to say what they have heard.
    #[serde(default, rename = "asks")]
    pub requests_ack: bool,
}
