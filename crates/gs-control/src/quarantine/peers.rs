//! The suspects that peers run, as they last said.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryIdentity, EntryName, Incarnation, ServerName};
use gs_protocol::suspicion::{HeardRun, PromptFingerprint, SuspectRun, SuspicionReport};

/// What one peer runs.
#[derive(Clone, Debug)]
struct PeerRuns {
    running: Vec<SuspectRun>,
    /// What it has heard of the runs that this entry is about to begin.
    confirmed: Vec<SuspectRun>,
    report: (Incarnation, u64),
    heard_at: Instant,
}

/// The suspects that peers run.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<EntryName, PeerRuns>,
}

impl PeerTable {
    /// Takes over what a peer runs; returns whether that is news. Reports may come twice and out of order.
    pub fn hear(
        &mut self,
        now: Instant,
        own: &EntryName,
        peer: &EntryIdentity,
        told: &SuspicionReport,
    ) -> bool {
        let report = (peer.incarnation, told.number);
        let known = self.peers.get(&peer.entry);
        if known.is_some_and(|known| known.report >= report) {
            return false;
        }
        let confirmed = told.heard.iter().filter(|heard| heard.entry == *own);
        let heard = PeerRuns {
            running: told.running.clone(),
            confirmed: confirmed.map(|heard| heard.run.clone()).collect(),
            report,
            heard_at: now,
        };
        self.peers.insert(peer.entry.clone(), heard);
        true
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

    /// What peers are about to run.
    pub fn announced(&self) -> Vec<HeardRun> {
        let peers = self.peers.iter();
        let runs = peers.flat_map(|(entry, runs)| runs.running.iter().map(move |run| (entry, run)));
        runs.filter(|(_, run)| !run.has_started)
            .map(|(entry, run)| HeardRun {
                entry: entry.clone(),
                run: run.clone(),
            })
            .collect()
    }

    /// How many peers have heard of all of the runs.
    pub fn count_confirmed(&self, runs: &[SuspectRun]) -> usize {
        let has_heard = |peer: &&PeerRuns| runs.iter().all(|run| peer.confirmed.contains(run));
        self.peers.values().filter(has_heard).count()
    }

    /// Peers must say anew what they have heard.
    pub fn forget_confirmed(&mut self) {
        for peer in self.peers.values_mut() {
            peer.confirmed.clear();
        }
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
