//! The reports that a relay has yet to pass on to other data centres.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, Incarnation};

use super::messages::{EntryLoad, EntryPresence, EntryReport};
use super::pending::PendingReports;
use crate::forwarding::RegistryVersion;

/// What other data centres must know at once of an entry: whether it is leaving, and whether it reaches no server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Availability {
    is_leaving: bool,
    is_isolated: bool,
}

impl From<&EntryPresence> for Availability {
    fn from(presence: &EntryPresence) -> Self {
        Self {
            is_leaving: presence.is_leaving,
            is_isolated: presence.is_isolated,
        }
    }
}

/// The newest report of an entry that was passed on.
#[derive(Clone, Debug)]
struct ForwardedReport {
    version: (Incarnation, u64),
    load: EntryLoad,
    availability: Availability,
    presence_at: Option<Instant>,
}

/// The newest report of each entry that is not passed on yet; at most one for each entry.
#[derive(Clone, Debug, Default)]
pub struct RelayQueue {
    /// Minimum time between two reports of the presence of an entry that bring nothing new.
    presence_interval: Duration,
    pending: PendingReports,
    forwarded: BTreeMap<EntryName, ForwardedReport>,
    /// Newest progress that was passed on, of any entry.
    progress: [RegistryVersion; 3],
}

impl RelayQueue {
    /// Sets the minimum time between two reports of the presence of an entry that bring nothing new.
    pub fn set_presence_interval(&mut self, presence_interval: Duration) {
        self.presence_interval = presence_interval;
    }

    /// Adds a report, unless other data centres know all that it tells. Returns whether it was added.
    pub fn push(&mut self, now: Instant, mut report: EntryReport) -> bool {
        let forwarded = self.forwarded.get(&report.entry);
        let pending = self.pending.get(&report.entry);
        let is_old = |version| version >= report.version();
        if forwarded.is_some_and(|forwarded| is_old(forwarded.version))
            || pending.is_some_and(|pending| is_old(pending.version()))
        {
            return false;
        }
        let has_new_presence = self.has_new_presence(now, &report);
        if !has_new_presence {
            report.presence = None;
        }
        let has_new_load = forwarded.is_none_or(|forwarded| forwarded.load != report.load);
        if pending.is_none() && !has_new_presence && !has_new_load {
            return false;
        }
        self.pending.insert(report);
        true
    }

    /// Removes and returns at most `max_reports`, those that have waited longest.
    pub fn take(&mut self, now: Instant, max_reports: usize) -> Vec<EntryReport> {
        let reports = self.pending.take(max_reports);
        for report in &reports {
            let known = self.forwarded.get(&report.entry);
            let known = known.filter(|known| known.version.0 == report.incarnation);
            let mut forwarded = ForwardedReport {
                version: report.version(),
                load: report.load.clone(),
                availability: known.map(|known| known.availability).unwrap_or_default(),
                presence_at: known.and_then(|known| known.presence_at),
            };
            if let Some(presence) = &report.presence {
                forwarded.availability = Availability::from(presence);
                forwarded.presence_at = Some(now);
                for (known, new) in self.progress.iter_mut().zip(presence.progress()) {
                    *known = new.max(*known);
                }
            }
            self.forwarded.insert(report.entry.clone(), forwarded);
        }
        reports
    }

    /// Forgets the entries that do not satisfy a predicate.
    pub fn retain(&mut self, predicate: impl Fn(&EntryName) -> bool) {
        self.forwarded.retain(|entry, _| predicate(entry));
        self.pending.retain(predicate);
    }

    /// Returns whether a report has a presence that is due, or that differs from what is known
    /// elsewhere. Progress counts once for the whole data centre.
    fn has_new_presence(&self, now: Instant, report: &EntryReport) -> bool {
        let Some(presence) = &report.presence else {
            return false;
        };
        let Some(forwarded) = self.forwarded.get(&report.entry) else {
            return true;
        };
        let is_due = forwarded
            .presence_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.presence_interval);
        let mut progress = presence.progress().into_iter().zip(self.progress);
        is_due
            || forwarded.version.0 != report.incarnation
            || forwarded.availability != Availability::from(presence)
            || progress.any(|(new, known)| new > known)
    }
}
