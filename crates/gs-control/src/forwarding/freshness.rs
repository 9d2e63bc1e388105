//! How exactly an entry reads what it follows in the registry, and when it must read anew.
//!
//! The load it answers: a fleet in which each entry follows the same objects. Reads that may be stale are
//! cheap, so a few entries read exactly and the others do not; heartbeats tell the newest versions, and an
//! entry that stays behind what it was told reads exactly. A watch that hangs is noticed the same way.

use std::time::{Duration, Instant};

use gs_protocol::ids::EntryName;
use xxhash_rust::xxh3::xxh3_64;

/// Something that entries follow and tell each other the version of.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RegistryView {
    /// The configuration.
    Routes,
    /// The servers.
    Servers,
}

/// How changes are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadMode {
    /// What is read is the newest.
    Exact,
    /// It may be seconds old.
    Relaxed,
}

/// How the next changes of a view are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadPlan {
    /// How exactly.
    pub mode: ReadMode,
    /// The version that an exact read covers, whether or not it brings changes.
    pub target_version: u64,
    /// Whether the view is known to be behind, so that changes should be there already.
    pub is_behind: bool,
}

impl ReadPlan {
    /// For what nobody tells the versions of.
    pub const RELAXED: Self = Self {
        mode: ReadMode::Relaxed,
        target_version: 0,
        is_behind: false,
    };
}

/// Times and counts of following.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessSettings {
    /// Entries of the fleet that read exactly.
    pub exact_readers: usize,
    /// How long a view may be behind what a peer has told before it is read anew. The change is on its way
    /// to most entries when the first of them tells of it.
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

/// The versions of one view that this entry and its peers have seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViewVersions {
    own: u64,
    told: u64,
    behind_since: Option<Instant>,
}

impl ViewVersions {
    /// The newest version that this entry has seen.
    pub fn own_version(&self) -> u64 {
        self.own
    }

    /// This entry has seen a version, or has read exactly what covers it.
    pub fn record_own(&mut self, version: u64) {
        self.own = self.own.max(version);
        if self.own >= self.told {
            self.behind_since = None;
        }
    }

    /// A peer has seen a version.
    pub fn record_reported(&mut self, now: Instant, version: u64) {
        if version > self.told {
            self.told = version;
        }
        if self.told > self.own && self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Whether the view has been behind for longer than the grace.
    pub fn is_behind(&self, now: Instant, grace: Duration) -> bool {
        self.behind_since
            .is_some_and(|since| now.saturating_duration_since(since) >= grace)
    }

    /// How the next changes are read.
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

/// Whether an entry is one of the exact readers among itself and the others: those whose names hash lowest,
/// so that all entries agree on them without a word and a lost one is replaced once it is suspected.
pub fn is_exact_reader(own: &EntryName, others: &[EntryName], readers: usize) -> bool {
    let place = |name: &EntryName| (xxh3_64(name.as_str().as_bytes()), name.clone());
    let own = place(own);
    let before = others.iter().filter(|other| place(other) < own).count();
    before < readers
}
