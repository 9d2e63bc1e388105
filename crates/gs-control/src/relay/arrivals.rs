//! The reports of other data centres that a relay has yet to pass on to its own.

use super::messages::EntryReport;
use super::pending::PendingReports;

/// The newest report of each entry of another data centre that is not passed on yet. A relay hears
/// many others, so it collects what they send.
#[derive(Clone, Debug, Default)]
pub struct ArrivalQueue {
    pending: PendingReports,
}

impl ArrivalQueue {
    /// Adds a report that is newer than those before it.
    pub fn push(&mut self, report: EntryReport) {
        self.pending.insert(report);
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

    /// Removes and returns at most `max_reports`, those that have waited longest.
    pub fn take(&mut self, max_reports: usize) -> Vec<EntryReport> {
        self.pending.take(max_reports)
    }
}
