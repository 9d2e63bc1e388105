//! Compares the versions of the registry's views at this entry with those of its peers.

use std::time::{Duration, Instant};

use gs_control::forwarding::{FreshnessSettings, ReadPlan, RegistryVersion, RegistryView};

use crate::gateway::Gateway;

/// Interval at which a view is compared with the versions that peers report.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);

impl Gateway {
    /// Records a version of a view that this entry has read, or that an exact read covers.
    pub fn record_version(&self, view: RegistryView, version: RegistryVersion) {
        let mut state = self.state.borrow_mut();
        state
            .view_versions
            .entry(view)
            .or_default()
            .record_own(version);
    }

    /// Returns the newest version of a view that this entry has read.
    pub(crate) fn own_version(&self, view: RegistryView) -> RegistryVersion {
        let state = self.state.borrow();
        let versions = state.view_versions.get(&view).copied().unwrap_or_default();
        versions.own_version()
    }

    /// Records a version of a view that a peer reports.
    pub(crate) fn record_peer_version(&self, view: RegistryView, version: RegistryVersion) {
        let mut state = self.state.borrow_mut();
        let versions = state.view_versions.entry(view).or_default();
        versions.record_reported(Instant::now(), version);
    }

    /// Decides how the next changes of a view are read.
    pub fn read_plan(&self, view: RegistryView) -> ReadPlan {
        let settings = FreshnessSettings::default();
        let is_exact_reader = self.probe_role().is_exact_reader;
        let state = self.state.borrow();
        let is_exact = is_exact_reader || state.registry.is_recently_restored(Instant::now());
        let versions = state.view_versions.get(&view).copied().unwrap_or_default();
        versions.plan(Instant::now(), settings.grace, is_exact)
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
