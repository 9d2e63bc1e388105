//! Reports that wait to be sent, at most one for each entry.

use std::collections::BTreeMap;

use gs_protocol::ids::EntryName;

use super::messages::EntryReport;

/// The newest report of each entry, in the order in which the entries began to wait.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingReports {
    reports: BTreeMap<EntryName, (u64, EntryReport)>,
    next_place: u64,
}

impl PendingReports {
    pub fn get(&self, entry: &EntryName) -> Option<&EntryReport> {
        self.reports.get(entry).map(|(_, report)| report)
    }

    /// Adds a report that is newer than the one before. It takes that one's place and keeps what it lacks of it.
    pub fn insert(&mut self, report: EntryReport) {
        let entry = report.entry.clone();
        let (place, report) = match self.reports.remove(&entry) {
            Some((place, earlier)) => (place, report.with_presence_of(earlier)),
            None => {
                self.next_place += 1;
                (self.next_place, report)
            }
        };
        self.reports.insert(entry, (place, report));
    }

    pub fn remove(&mut self, entry: &EntryName) {
        self.reports.remove(entry);
    }

    pub fn retain(&mut self, predicate: impl Fn(&EntryName) -> bool) {
        self.reports.retain(|entry, _| predicate(entry));
    }

    /// Removes and returns at most `max_reports`, those that have waited longest.
    pub fn take(&mut self, max_reports: usize) -> Vec<EntryReport> {
        let mut places: Vec<u64> = self.reports.values().map(|(place, _)| *place).collect();
        places.sort_unstable();
        let Some(last) = places
            .get(max_reports.min(places.len()).wrapping_sub(1))
            .copied()
        else {
            return Vec::new();
        };
        let taken = self.reports.extract_if(.., |_, (place, _)| *place <= last);
        taken.map(|(_, (_, report))| report).collect()
    }
}
