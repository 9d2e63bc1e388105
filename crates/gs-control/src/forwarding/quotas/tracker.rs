//! The quotas of all workspaces, as one entry counts them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, Incarnation};
use xxhash_rust::xxh3::xxh3_64;

use super::bucket::{FirstReport, WorkspaceBucket};
use super::messages::{QuotaDecision, QuotaDigest, QuotaReport};
use super::peers::{FleetShare, PeerTable};
use super::settings::QuotaSettings;
use crate::forwarding::WorkspaceSpec;

/// Maximum number of workspaces in a report; of more, those that changed last.
const MAX_REPORTED: usize = 64;

/// Time between two checks for silent peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two reports of a peer that is assumed until it was heard twice.
const INITIAL_GAP: Duration = Duration::from_millis(500);

/// Time from the first list of entries until this entry spends quotas: of a fleet that starts as a whole,
/// the list is not complete at first, and each entry would take too large a part.
const START_PAUSE: Duration = Duration::from_secs(1);

/// Part of a minority's rate that it may spend while it does not know whether it is still listed: the
/// others may spend its part already.
const UNCONFIRMED_PART: f64 = 0.05;

/// The quotas of all workspaces, as one entry counts them.
#[derive(Debug)]
pub struct QuotaTracker {
    settings: QuotaSettings,
    max_silence: Duration,
    started_at: Instant,
    checked_at: Instant,
    /// When the list of entries was last known to be current.
    listed_at: Instant,
    /// From when on quotas may be spent; `None` until the other entries are known.
    opens_at: Option<Instant>,
    has_quotas: bool,
    buckets: BTreeMap<u32, WorkspaceBucket>,
    peers: PeerTable,
    share: FleetShare,
}

impl QuotaTracker {
    /// Creates a tracker without workspaces and peers. A peer counts as silent after `max_silence`.
    pub fn new(now: Instant, settings: QuotaSettings, max_silence: Duration) -> Self {
        Self {
            settings,
            max_silence,
            started_at: now,
            checked_at: now,
            listed_at: now,
            opens_at: None,
            has_quotas: false,
            buckets: BTreeMap::new(),
            peers: PeerTable::default(),
            share: FleetShare {
                entries: 1,
                heard: 1,
                rate_part: 0.0,
                is_majority: true,
            },
        }
    }

    /// Sets the time without a report after which a peer counts as silent.
    pub fn set_max_silence(&mut self, max_silence: Duration) {
        self.max_silence = max_silence;
    }

    /// Applies the workspaces of a configuration. Those that are no longer in it are forgotten.
    pub fn set_workspaces(&mut self, now: Instant, workspaces: &[Arc<WorkspaceSpec>]) {
        self.has_quotas = workspaces.iter().any(|workspace| workspace.quota.is_some());
        let mut before = std::mem::take(&mut self.buckets);
        for workspace in workspaces {
            let key = workspace_key(&workspace.name);
            let known = before.remove(&key);
            let mut bucket = known.unwrap_or_else(|| WorkspaceBucket::new(now, &self.settings));
            bucket.set_quota(now, workspace.quota, &self.share, &self.settings);
            self.buckets.insert(key, bucket);
        }
    }

    /// Sets which other entries are listed. No quota is spent before the first call. `is_current` tells whether the list is known to be current.
    pub fn set_peers(&mut self, now: Instant, listed: &[EntryName], is_current: bool) {
        if is_current {
            self.listed_at = now;
        }
        self.opens_at.get_or_insert(now + START_PAUSE);
        for name in self.peers.set_listed(now, listed) {
            let slot = self.peers.insert(now, &name, INITIAL_GAP);
            if let Some(peer) = self.peers.get_mut(slot) {
                peer.unlisted_since = None;
            }
        }
        self.check_peers(now);
    }

    /// Decides on a request and counts its cost if it is admitted. `draw` is a random number from 0 to 1.
    pub fn take(&mut self, now: Instant, workspace: &str, cost: u64, draw: f64) -> QuotaDecision {
        if now.saturating_duration_since(self.checked_at) >= CHECK_INTERVAL {
            self.check_peers(now);
        }
        let Some(bucket) = self.buckets.get_mut(&workspace_key(workspace)) else {
            return QuotaDecision::Admitted {
                is_report_due: false,
            };
        };
        let fleet = (&self.peers, &self.share);
        bucket.decide(now, cost, draw, fleet, &self.settings)
    }

    /// Gives back the cost of an admitted request that has certainly not run.
    pub fn give_back(&mut self, now: Instant, workspace: &str, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(&workspace_key(workspace)) {
            bucket.give_back(now, cost, &self.share);
        }
    }

    /// Returns the cost of a workspace's requests that all entries have admitted lately, decayed with a
    /// half-life of 4 s.
    pub fn recent_cost(&self, now: Instant, workspace: &str) -> f64 {
        let bucket = self.buckets.get(&workspace_key(workspace));
        bucket.map_or(0.0, |bucket| bucket.recent.value(now))
    }

    /// Returns what is reported to peers; nothing if no workspace has a quota.
    pub fn digest(&mut self, now: Instant) -> QuotaDigest {
        if !self.has_quotas {
            return QuotaDigest::new();
        }
        let settings = &self.settings;
        let buckets = self.buckets.iter_mut();
        let mut reports: Vec<(Instant, QuotaReport)> = buckets
            .filter_map(|(key, bucket)| {
                let report = bucket.report(now, *key, settings)?;
                Some((bucket.changed_at(), report))
            })
            .collect();
        if reports.len() > MAX_REPORTED {
            reports.sort_by_key(|(changed_at, _)| std::cmp::Reverse(*changed_at));
            reports.truncate(MAX_REPORTED);
            reports.sort_by_key(|(_, report)| report.workspace);
        }
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Applies the report of a peer, in which workspaces are sorted; reports of a peer must be applied in
    /// their order.
    pub fn apply_digest(
        &mut self,
        now: Instant,
        peer: &EntryName,
        incarnation: Incarnation,
        digest: &[QuotaReport],
    ) {
        if self.buckets.is_empty() {
            return;
        }
        self.check_peers(now);
        let slot = self.peers.slot(peer);
        let slot = slot.unwrap_or_else(|| self.peers.insert(now, peer, INITIAL_GAP));
        let Some(before) = self.peers.get(slot).copied() else {
            return;
        };
        if before.incarnation.is_some_and(|known| known > incarnation) {
            return;
        }
        let is_restarted = before.incarnation.is_some_and(|known| known < incarnation);
        let is_start = now.saturating_duration_since(self.started_at) < self.settings.window;
        let first = match before.incarnation.is_none() && is_start {
            true => FirstReport::Baseline,
            false => FirstReport::Counted,
        };
        for (key, bucket) in &mut self.buckets {
            if is_restarted {
                bucket.restart_peer(slot);
            }
            // A workspace that is not reported was not used since.
            let found = digest.binary_search_by_key(key, |report| report.workspace);
            let totals = match found.ok().and_then(|index| digest.get(index)) {
                Some(report) => (report.admitted, report.refused),
                None => bucket.known_totals(slot),
            };
            bucket.apply(now, slot, &before, totals, first, &self.share);
        }
        if let Some(known) = self.peers.get_mut(slot) {
            known.incarnation = Some(incarnation);
            known.record_report(now);
        }
        self.update_share(now);
    }

    /// Marks peers as silent and forgets those that have ended.
    fn check_peers(&mut self, now: Instant) {
        self.checked_at = now;
        let silent = self.peers.newly_silent(now, self.max_silence);
        if !silent.is_empty() {
            self.mark_silent(now, &silent);
        }
        for slot in self.peers.remove_ended(now, self.settings.unlisted_grace) {
            for bucket in self.buckets.values_mut() {
                bucket.restart_peer(slot);
            }
        }
        self.update_share(now);
    }

    /// Marks peers as silent, which may have admitted requests since their last reports.
    fn mark_silent(&mut self, now: Instant, slots: &[usize]) {
        let mut levels = Vec::new();
        for bucket in self.buckets.values_mut() {
            bucket.advance(now, &self.share);
            levels.push(bucket.level());
        }
        for slot in slots {
            let Some(peer) = self.peers.get_mut(*slot) else {
                continue;
            };
            peer.silent_since = Some(now);
            let peer = *peer;
            for bucket in self.buckets.values_mut() {
                bucket.mark_silent(now, *slot, &peer, &self.share);
            }
        }
        self.update_share(now);
        for (bucket, before) in self.buckets.values_mut().zip(levels) {
            bucket.limit_sudden_debt(before, &self.share);
        }
    }

    /// Works out the part of the quotas that this entry and those that it hears may spend.
    fn update_share(&mut self, now: Instant) {
        let (others, others_heard) = self.peers.counts();
        let (entries, heard) = (others + 1, others_heard + 1);
        let is_majority = 2 * heard > entries;
        let list_age = now.saturating_duration_since(self.listed_at);
        let is_open = self.opens_at.is_some_and(|opens_at| now >= opens_at);
        let is_confirmed = is_majority || list_age < self.settings.unlisted_grace;
        let heard_part = heard as f64 / entries as f64;
        let share = FleetShare {
            entries,
            heard,
            rate_part: match (is_open, is_confirmed) {
                (false, _) => 0.0,
                (true, true) => heard_part,
                (true, false) => heard_part * UNCONFIRMED_PART,
            },
            is_majority,
        };
        if share == self.share {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.advance(now, &self.share);
        }
        self.share = share;
    }
}

/// Returns what identifies a workspace in reports. Of 1,000 names, two are the same once in 8,600 draws of
/// names; their workspaces then count together.
fn workspace_key(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
