//! Keeps what this entry follows in the registry as new as its peers have it.

use std::time::{Duration, Instant};

use gs_control::forwarding::{FreshnessSettings, ReadPlan, RegistryView, is_exact_reader};
use gs_protocol::ids::EntryName;

use crate::gateway::Gateway;

/// How often a view that waits for changes is compared with what peers have told.
const COMPARE_TICK: Duration = Duration::from_millis(200);

impl Gateway {
    /// This entry has seen a version of a view, or has read exactly what covers it.
    pub fn note_version(&self, view: RegistryView, version: u64) {
        let mut state = self.state.borrow_mut();
        state.views.entry(view).or_default().record_own(version);
    }

    /// The newest version of a view that this entry has seen.
    pub(crate) fn own_version(&self, view: RegistryView) -> u64 {
        let state = self.state.borrow();
        state
            .views
            .get(&view)
            .map_or(0, |versions| versions.own_version())
    }

    /// A peer has seen a version of a view.
    pub(crate) fn hear_version(&self, view: RegistryView, version: u64) {
        let mut state = self.state.borrow_mut();
        let versions = state.views.entry(view).or_default();
        versions.record_reported(Instant::now(), version);
    }

    /// How the next changes of a view are read.
    pub fn read_plan(&self, view: RegistryView) -> ReadPlan {
        let settings = FreshnessSettings::default();
        let state = self.state.borrow();
        let others: Vec<EntryName> = state
            .membership
            .usable_entries()
            .into_iter()
            .map(|member| member.name)
            .collect();
        let own = &self.settings.own.identity.entry;
        let is_exact = is_exact_reader(own, &others, settings.exact_readers);
        let versions = state.views.get(&view).copied().unwrap_or_default();
        versions.plan(Instant::now(), settings.grace, is_exact)
    }

    /// Waits until a view is behind what peers have told, which a reader that waits for changes would not
    /// notice.
    pub async fn falls_behind(&self, view: RegistryView) {
        let grace = FreshnessSettings::default().grace;
        loop {
            tokio::time::sleep(COMPARE_TICK).await;
            let state = self.state.borrow();
            let versions = state.views.get(&view).copied().unwrap_or_default();
            drop(state);
            if versions.is_behind(Instant::now(), grace) {
                log::info!(target: "store", view:?, versions:?; "peers have seen a newer version");
                return;
            }
        }
    }
}
