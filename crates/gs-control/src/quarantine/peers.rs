//! The suspect runs of peers, according to their last reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryIdentity, EntryName, Incarnation, ServerName};
use gs_protocol::suspicion::{PendingRun, RequestFingerprint, SuspectRun, SuspicionReport};

/// The last report of one peer.
#[derive(Clone, Debug)]
struct PeerRecord {
    /// The suspect runs that the peer has started or reserved servers for.
    running: Vec<SuspectRun>,
    /// Pending runs of this entry that the peer has acknowledged.
    acknowledged: Vec<SuspectRun>,
    /// The peer's incarnation and report number, which order its reports.
    version: (Incarnation, u64),
    received_at: Instant,
}

/// The suspect runs and acknowledgements of all peers.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<EntryName, PeerRecord>,
}

impl PeerTable {
    /// Replaces a peer's record by a newer report; returns false for a report that is repeated or
    /// out of order.
    pub fn apply_report(
        &mut self,
        now: Instant,
        own_entry: &EntryName,
        peer: &EntryIdentity,
        report: &SuspicionReport,
    ) -> bool {
        let version = (peer.incarnation, report.number);
        let known = self.peers.get(&peer.entry);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        let acknowledged = report
            .pending_runs
            .iter()
            .filter(|pending| pending.entry == *own_entry);
        let record = PeerRecord {
            running: report.running.clone(),
            acknowledged: acknowledged.map(|pending| pending.run.clone()).collect(),
            version,
            received_at: now,
        };
        self.peers.insert(peer.entry.clone(), record);
        true
    }

    /// Returns whether a peer runs a fingerprint or has reserved servers for it.
    pub fn has_run(&self, fingerprint: RequestFingerprint) -> bool {
        self.running().any(|run| run.fingerprint == fingerprint)
    }

    /// Iterates over the servers that peers use or have reserved for suspects.
    pub fn suspect_servers(&self) -> impl Iterator<Item = &ServerName> {
        self.running().map(|run| &run.server)
    }

    /// Iterates over the suspects that peers have started on a server.
    pub fn started(&self, server: &ServerName) -> impl Iterator<Item = RequestFingerprint> {
        let started = self.running().filter(|run| run.has_started);
        let started = started.filter(move |run| run.server == *server);
        started.map(|run| run.fingerprint)
    }

    /// Returns the runs that peers have reserved but not started, for acknowledgement.
    pub fn pending_runs(&self) -> Vec<PendingRun> {
        let peers = self.peers.iter();
        let runs =
            peers.flat_map(|(entry, record)| record.running.iter().map(move |run| (entry, run)));
        runs.filter(|(_, run)| !run.has_started)
            .map(|(entry, run)| PendingRun {
                entry: entry.clone(),
                run: run.clone(),
            })
            .collect()
    }

    /// Counts the peers that have acknowledged all of `runs`.
    pub fn count_acknowledged(&self, runs: &[SuspectRun]) -> usize {
        let has_all =
            |record: &&PeerRecord| runs.iter().all(|run| record.acknowledged.contains(run));
        self.peers.values().filter(has_all).count()
    }

    /// Discards all acknowledgements, so that peers must send them again.
    pub fn clear_acknowledgements(&mut self) {
        for record in self.peers.values_mut() {
            record.acknowledged.clear();
        }
    }

    /// Removes peers whose last report is at least `timeout` old.
    pub fn expire_old(&mut self, now: Instant, timeout: Duration) {
        self.peers
            .retain(|_, record| now.saturating_duration_since(record.received_at) < timeout);
    }

    /// Iterates over the suspect runs of all peers, started or reserved.
    fn running(&self) -> impl Iterator<Item = &SuspectRun> {
        self.peers.values().flat_map(|record| &record.running)
    }
}
