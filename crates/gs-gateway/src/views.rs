//! Compares the versions of the registry's views at this entry with those of its peers.

use std::time::{Duration, Instant};

use gs_control::forwarding::{
    FreshnessSettings, ProbeRole, ReadPlan, Recovery, RegistryView, is_exact_reader,
};
use gs_protocol::ids::EntryName;

use crate::gateway::Gateway;

/// Interval at which a view is compared with the versions that peers report.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two calls because an outage has ended for a peer.
const MIN_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time from the word that the registry answers again to this entry's call.
const MAX_RECOVERY_JITTER: Duration = Duration::from_millis(200);

impl Gateway {
    /// Records a version of a view that this entry has read, or that an exact read covers.
    pub fn record_version(&self, view: RegistryView, version: u64) {
        let mut state = self.state.borrow_mut();
        state
            .view_versions
            .entry(view)
            .or_default()
            .record_own(version);
    }

    /// Returns the newest version of a view that this entry has read.
    pub(crate) fn own_version(&self, view: RegistryView) -> u64 {
        let state = self.state.borrow();
        state
            .view_versions
            .get(&view)
            .map_or(0, |versions| versions.own_version())
    }

    /// Records a version of a view that a peer reports.
    pub(crate) fn record_peer_version(&self, view: RegistryView, version: u64) {
        let mut state = self.state.borrow_mut();
        let versions = state.view_versions.entry(view).or_default();
        versions.record_reported(Instant::now(), version);
    }

    /// Decides how the next changes of a view are read.
    pub fn read_plan(&self, view: RegistryView) -> ReadPlan {
        let settings = FreshnessSettings::default();
        let is_exact = self.probe_role().is_exact_reader;
        let state = self.state.borrow();
        let versions = state.view_versions.get(&view).copied().unwrap_or_default();
        versions.plan(Instant::now(), settings.grace, is_exact)
    }

    /// Records that a call to the registry has failed, as `failures` calls of the reader in a row; returns the
    /// time until its next call.
    pub fn record_registry_failure(&self, reader: RegistryView, failures: u32) -> Duration {
        let random = self.random_fraction();
        let role = self.probe_role();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let was_outage = state.outage.is_outage();
        let delay = state.outage.record_failure(reader, failures, role, random);
        if state.outage.is_outage() && !was_outage {
            log::info!(target: "store", reader:?, entries = role.entries, exact = role.is_exact_reader; "the registry does not answer");
            state.directory.mark_registry_unreachable();
        }
        delay
    }

    /// Records an answer of the registry.
    pub fn record_registry_answer(&self) {
        let mut state = self.state.borrow_mut();
        match state.outage.record_answer() {
            Recovery::None => return,
            Recovery::OfCall => {}
            Recovery::OfRegistry => {
                state.ended_outages += 1;
                state.directory.mark_registry_reachable(Instant::now());
                log::info!(target: "store", outages = state.ended_outages; "the registry answers again");
            }
        }
        drop(state);
        self.registry_answered.notify_waiters();
    }

    /// Wakes the reader that probes the registry because an outage has ended for a peer, at most once in
    /// [`MIN_WAKE_INTERVAL`]: the registry may turn this entry away while it serves others.
    pub(crate) fn retry_registry(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let is_recent = state
            .registry_retried_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_WAKE_INTERVAL);
        if is_recent || !state.outage.is_outage() {
            return;
        }
        state.registry_retried_at = Some(now);
        drop(state);
        self.registry_retry.notify_waiters();
    }

    /// Whether the registry does not answer this entry.
    pub fn is_registry_outage(&self) -> bool {
        self.state.borrow().outage.is_outage()
    }

    /// Waits until the registry answers another reader of this entry; for the reader that probes, until a
    /// peer reports the end of an outage. The times at which the readers of a fleet call then differ by up to
    /// [`MAX_RECOVERY_JITTER`].
    pub async fn wait_for_registry(&self, reader: RegistryView) {
        let answered = self.registry_answered.notified();
        let prober = self.state.borrow().outage.prober();
        match prober {
            None => {}
            Some(prober) if prober == reader => self.registry_retry.notified().await,
            Some(_) => answered.await,
        }
        tokio::time::sleep(MAX_RECOVERY_JITTER.mul_f64(self.random_fraction())).await;
    }

    /// Waits until the registry answers a reader of this entry, during an outage; does not wait otherwise.
    pub async fn wait_for_registry_answer(&self) {
        let answered = self.registry_answered.notified();
        if self.is_registry_outage() {
            answered.await;
        }
    }

    fn probe_role(&self) -> ProbeRole {
        let settings = FreshnessSettings::default();
        let state = self.state.borrow();
        let usable = state.membership.usable_entries();
        let others: Vec<EntryName> = usable.into_iter().map(|member| member.name).collect();
        let own = &self.settings.own.identity.entry;
        ProbeRole {
            is_exact_reader: is_exact_reader(own, &others, settings.exact_readers),
            entries: others.len() as u32 + 1,
        }
    }

    /// Waits until a view is older than a version that peers report. A reader that only waits for changes would
    /// not notice this.
    pub async fn wait_until_behind(&self, view: RegistryView) {
        let grace = FreshnessSettings::default().grace;
        loop {
            tokio::time::sleep(COMPARE_INTERVAL).await;
            let state = self.state.borrow();
            let versions = state.view_versions.get(&view).copied().unwrap_or_default();
            drop(state);
            if versions.is_behind(Instant::now(), grace) {
                log::info!(target: "store", view:?, versions:?; "peers report a newer version");
                return;
            }
        }
    }
}
