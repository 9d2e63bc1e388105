//! Consistency of the reads by which an entry follows the registry, and detection of stale views.
//!
//! All entries of a fleet follow the same objects. Reads that may be stale are cheap for the
//! registry, so only a few entries use exact reads. Heartbeats carry the newest versions, and an
//! entry that remains behind a reported version switches to exact reads. This also detects a watch
//! that hangs.

use std::time::{Duration, Instant};

use gs_protocol::ids::EntryName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of bits of a revision in [`RegistryVersion::number`]; the era fills the other 13 of the 53
/// that every JSON parser reads exactly.
const REVISION_BITS: u32 = 40;

/// A position in the history of the registry.
///
/// The registry may come back from a copy that lacks the newest changes. It then gives out their
/// revisions again, so that revisions can be compared within an era only. Any version of a later era
/// is newer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct RegistryVersion {
    // The derived order compares the fields in this order.
    /// Number of times that the registry has come back from a copy; 0 if it does not tell.
    pub era: u64,
    /// The registry's revision, or the number of the configuration.
    pub revision: u64,
}

impl RegistryVersion {
    /// Returns the version of a number that rises through all eras, such as the operator's number of a
    /// configuration.
    pub fn across_eras(number: u64) -> Self {
        Self {
            era: 0,
            revision: number,
        }
    }

    /// Returns a single number, below 2^53, that is larger for later versions.
    pub fn number(self) -> u64 {
        let max_revision = (1 << REVISION_BITS) - 1;
        (self.era << REVISION_BITS) | self.revision.min(max_revision)
    }
}

impl From<(u64, u64)> for RegistryVersion {
    fn from((era, revision): (u64, u64)) -> Self {
        Self { era, revision }
    }
}

impl From<RegistryVersion> for (u64, u64) {
    fn from(version: RegistryVersion) -> Self {
        (version.era, version.revision)
    }
}

/// A set of registry objects that entries follow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RegistryView {
    /// The configuration of routes and services.
    Routes,
    /// The backend servers.
    Servers,
    /// The entries, whose version is not reported to peers.
    Entries,
    /// The software versions on record, whose version is not reported to peers.
    Software,
}

/// The consistency of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadMode {
    /// Returns the newest state.
    Exact,
    /// May return a state that is seconds old.
    Relaxed,
}

/// How to read the next changes of a view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadPlan {
    /// The consistency of the read.
    pub mode: ReadMode,
    /// The newest version that peers have reported. An exact read covers it, even if it returns no
    /// changes.
    pub target_version: RegistryVersion,
    /// Whether the view is known to be stale, so that a read should return changes without waiting.
    pub is_behind: bool,
}

impl ReadPlan {
    /// The plan for objects whose versions peers do not report.
    pub const RELAXED: Self = Self {
        mode: ReadMode::Relaxed,
        target_version: RegistryVersion {
            era: 0,
            revision: 0,
        },
        is_behind: false,
    };
}

/// Time limits and counts of following the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessSettings {
    /// Number of entries in the fleet that use exact reads.
    pub exact_readers: usize,
    /// How long a view may be behind a reported version before it counts as stale. When the first
    /// peer reports a change, the change is usually still in transit to the other entries.
    pub grace: Duration,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self {
            exact_readers: 8,
            grace: Duration::from_millis(300),
        }
    }
}

/// The versions of one view at this entry and at its peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViewVersions {
    // The log writes this type with `Debug`, so its fields keep their names.
    /// Newest version that this entry has read.
    own: RegistryVersion,
    /// Newest version that a peer has reported.
    told: RegistryVersion,
    /// Time since which `told` has been newer than `own`.
    behind_since: Option<Instant>,
}

impl ViewVersions {
    /// Returns the newest version that this entry has read.
    pub fn own_version(&self) -> RegistryVersion {
        self.own
    }

    /// Records that this entry has read a version, or that an exact read has covered it.
    pub fn record_own(&mut self, version: RegistryVersion) {
        self.own = self.own.max(version);
        if self.own >= self.told {
            self.behind_since = None;
        }
    }

    /// Records a version that a peer has reported.
    pub fn record_reported(&mut self, now: Instant, version: RegistryVersion) {
        if version > self.told {
            self.told = version;
        }
        if self.told > self.own && self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Returns whether the view has been behind a reported version for at least the grace period.
    pub fn is_behind(&self, now: Instant, grace: Duration) -> bool {
        self.behind_since
            .is_some_and(|since| now.saturating_duration_since(since) >= grace)
    }

    /// Returns how to read the next changes.
    pub fn plan(&self, now: Instant, grace: Duration, is_exact_reader: bool) -> ReadPlan {
        let is_behind = self.is_behind(now, grace);
        let mode = match is_exact_reader || is_behind {
            true => ReadMode::Exact,
            false => ReadMode::Relaxed,
        };
        ReadPlan {
            mode,
            target_version: self.told,
            is_behind,
        }
    }
}

/// Returns whether an entry is one of the `readers` exact readers of the fleet: the entries with
/// the lowest name hashes.
///
/// Entries with the same member list agree on the readers without coordination, and a failed reader
/// is replaced once it is suspected.
pub fn is_exact_reader(own: &EntryName, others: &[EntryName], readers: usize) -> bool {
    let rank = |name: &EntryName| (xxh3_64(name.as_str().as_bytes()), name.clone());
    let own = rank(own);
    let lower = others.iter().filter(|other| rank(other) < own).count();
    lower < readers
}
