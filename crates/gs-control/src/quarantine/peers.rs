//! The suspects that peers run, as they last said.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, ServerName};
use gs_protocol::suspicion::{PromptFingerprint, SuspectRun};

/// What one peer runs.
#[derive(Clone, Debug)]
struct PeerRuns {
    running: Vec<SuspectRun>,
    heard_at: Instant,
}

/// The suspects that peers run.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<EntryName, PeerRuns>,
}

impl PeerTable {
    /// Takes over what a peer runs.
    pub fn hear(&mut self, now: Instant, peer: EntryName, running: Vec<SuspectRun>) {
        if running.is_empty() {
            self.peers.remove(&peer);
            return;
        }
        let heard = PeerRuns {
            running,
            heard_at: now,
        };
        self.peers.insert(peer, heard);
    }

    /// Whether a peer runs a fingerprint or is about to.
    pub fn runs(&self, fingerprint: PromptFingerprint) -> bool {
        self.running().any(|run| run.fingerprint == fingerprint)
    }

    /// The servers on which peers run suspects or are about to.
    pub fn servers(&self) -> impl Iterator<Item = &ServerName> {
        self.running().map(|run| &run.server)
    }

    /// How many suspects run on a server by peers' orders.
    pub fn count_on(&self, server: &ServerName) -> usize {
        let started = self.running().filter(|run| run.has_started);
        started.filter(|run| run.server == *server).count()
    }

    /// Drops what has not been repeated for too long.
    pub fn forget_old(&mut self, now: Instant, stale: Duration) {
        self.peers
            .retain(|_, runs| now.saturating_duration_since(runs.heard_at) < stale);
    }

    fn running(&self) -> impl Iterator<Item = &SuspectRun> {
        self.peers.values().flat_map(|runs| &runs.running)
    }
}
