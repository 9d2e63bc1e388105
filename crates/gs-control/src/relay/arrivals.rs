//! The reports of other data centres that a relay has yet to pass on to its own.

use std::collections::BTreeMap;

use gs_protocol::ids::EntryName;

use super::messages::EntryReport;

/// The newest report of each entry of another data centre that is not passed on yet. A relay hears
/// many others, so it collects what they send.
#[derive(Clone, Debug, Default)]
pub struct ArrivalQueue {
    pending: BTreeMap<EntryName, EntryReport>,
}

impl ArrivalQueue {
    /// Adds a report that is newer than those before it.
    pub fn push(&mut self, report: EntryReport) {
        let report = match self.pending.remove(&report.entry) {
            Some(earlier) => report.with_presence_of(earlier),
            None => report,
        };
        self.pending.insert(report.entry.clone(), report);
    }

    /// Removes what another relay of the data centre has passed on with a report.
    pub fn remove_passed(&mut self, passed: &EntryReport) {
        let is_passed = |pending: &EntryReport| {
            pending.version() <= passed.version()
                && (pending.presence.is_none() || passed.presence.is_some())
        };
        if self.pending.get(&passed.entry).is_some_and(is_passed) {
            self.pending.remove(&passed.entry);
        }
    }

    /// Removes and returns all reports.
    pub fn take_all(&mut self) -> Vec<EntryReport> {
        std::mem::take(&mut self.pending).into_values().collect()
    }
}
