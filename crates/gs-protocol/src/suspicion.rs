//! Reports between entries about requests suspected of crashing backend servers.

use std::fmt;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AttemptId, EntryName, ServerName};

/// A hash that identifies a request: the same caller sends the same body to the same path.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

impl From<ContentHash> for RequestFingerprint {
    fn from(request: ContentHash) -> Self {
        Self(request.0)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Bits of a derived hash that differ from those of the hash that it is derived from.
const DERIVED_BITS: u64 = 0xffff_ffff;

/// A hash of content that requests may have in common: one part of a prompt, or a whole request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// Hashes fields in their order.
    pub fn new<'f>(fields: impl IntoIterator<Item = &'f [u8]>) -> Self {
        Self(0).extend(fields)
    }

    /// Hashes further fields after those that were hashed before.
    fn extend<'f>(self, fields: impl IntoIterator<Item = &'f [u8]>) -> Self {
        let fields = fields.into_iter();
        Self(fields.fold(self.0, |seed, field| xxh3_64_with_seed(field, seed)))
    }

    /// Hashes something more specific by further fields. The result is in [`Self::derived_range`].
    pub fn derive<'f>(self, fields: impl IntoIterator<Item = &'f [u8]>) -> Self {
        let specific = self.extend(fields);
        Self(self.0 & !DERIVED_BITS | specific.0 & DERIVED_BITS)
    }

    /// Returns the range of the hashes that can be derived from this one.
    pub fn derived_range(self) -> RangeInclusive<Self> {
        Self(self.0 & !DERIVED_BITS)..=Self(self.0 | DERIVED_BITS)
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// One boot of a backend server, from its start to its crash or shutdown.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerBoot {
    /// The server's name.
    pub server: ServerName,
    /// The boot number; later boots have larger numbers.
    pub boot: u64,
}

/// How far it is established that an attempt caused a server's crash. When two reports differ, the
/// larger state wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum BlameState {
    /// The attempt lost its connection to the server, which may have crashed.
    Suspected,
    /// The server crashed, and the attempt may be the cause.
    Proven,
    /// The server did not crash, or the same request has since completed successfully.
    Cleared,
}

/// An attempt that is suspected of a server's crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlameRecord {
    /// The attempt; each attempt has at most one record.
    pub attempt: AttemptId,
    /// The fingerprint of the attempt's request.
    pub fingerprint: RequestFingerprint,
    /// The server boot whose end the attempt may have caused.
    pub death: ServerBoot,
    /// How far the attempt's blame is established.
    pub state: BlameState,
}

/// A run of a suspect fingerprint on a server, started or about to start, that has not yet
/// completed.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SuspectRun {
    /// The suspect fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The server that runs it.
    pub server: ServerName,
    /// Whether the run has started.
    pub has_started: bool,
}

/// A suspect that another entry has reserved a server for but not started.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PendingRun {
    /// The entry that reserved the server.
    pub entry: EntryName,
    /// The reserved run.
    pub run: SuspectRun,
}

/// A report from an entry to its peers. Merging `blames` is idempotent and independent of the order
/// of reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspicionReport {
    /// The report's number within the sender's incarnation.
    pub number: u64,
    /// Blame records that changed recently.
    pub blames: Vec<BlameRecord>,
    /// All suspects that the sender runs or has reserved servers for.
    pub running: Vec<SuspectRun>,
    /// Reserved runs that the sender has received from its peers and takes into account. They
    /// acknowledge the peers' reservations.
    #[serde(default, rename = "heard")]
    pub pending_runs: Vec<PendingRun>,
    /// Whether the sender waits for its peers to acknowledge its own reservations, by listing them
    /// in the `pending_runs` of their reports.
    #[serde(default, rename = "asks")]
    pub requests_ack: bool,
}
