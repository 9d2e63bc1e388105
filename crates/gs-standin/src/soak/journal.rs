//! What happened during a soak.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use log::{error, info};

use super::schedule::{FaultKind, PlannedFault};

/// Fault events that are named with a violation.
const EVENTS_NAMED: usize = 6;

/// The points of which the checker asserts that they hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CheckPoint {
    /// Engines hold nothing of requests that are gone.
    Held,
    /// Answers are whole, the caller's own and once, or end in an explicit error.
    Answer,
    /// A refusal that says that the request did not run is true.
    NotRun,
    /// Each key runs at most once, and its repeats get the same answer.
    Key,
    /// Leaving servers get no new work.
    Leaving,
    /// A graceful shutdown cuts nothing.
    Shutdown,
    /// The document in force never goes back and is the latest in the end.
    Document,
    /// Everything recovers.
    Recovery,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Since the start.
    pub after: Duration,
    /// Which point.
    pub point: CheckPoint,
    /// What was seen.
    pub detail: String,
    /// The latest fault events, oldest first.
    pub events: Vec<String>,
}

/// How often a kind of fault was planned and brought about.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultCount {
    /// Brought about.
    pub done: u32,
    /// Not possible, for example for an outage.
    pub skipped: u32,
}

/// Everything that is reported.
#[derive(Debug)]
pub struct SoakJournal {
    /// Faults by kind.
    pub faults: BTreeMap<FaultKind, FaultCount>,
    /// Requests by kind and outcome.
    pub requests: BTreeMap<(&'static str, String), u64>,
    /// What did not hold.
    pub violations: Vec<Violation>,
    /// Checks that were not made, with the reason.
    pub skipped_checks: BTreeMap<&'static str, u32>,
    /// Checks that were made.
    pub checks: BTreeMap<&'static str, u32>,
    began: Instant,
    events: Vec<String>,
}

impl Default for SoakJournal {
    fn default() -> Self {
        Self {
            faults: BTreeMap::new(),
            requests: BTreeMap::new(),
            violations: Vec::new(),
            skipped_checks: BTreeMap::new(),
            checks: BTreeMap::new(),
            began: Instant::now(),
            events: Vec::new(),
        }
    }
}

impl SoakJournal {
    /// Notes something that happened to the fleet.
    pub fn note(&mut self, event: &str) {
        let after = self.began.elapsed();
        info!(target: "soak", after_ms = after.as_millis(); "{event}");
        self.events
            .push(format!("{:.3} s: {event}", after.as_secs_f64()));
    }

    /// Counts a fault that was brought about.
    pub fn count_fault(&mut self, fault: PlannedFault) {
        self.faults.entry(fault.kind).or_default().done += 1;
        self.note(&format!("begins: {fault}"));
    }

    /// Counts a fault that could not be brought about.
    pub fn skip_fault(&mut self, fault: PlannedFault, why: &str) {
        self.faults.entry(fault.kind).or_default().skipped += 1;
        self.note(&format!("not brought about: {fault}: {why}"));
    }

    /// Counts a request's end.
    pub fn count_request(&mut self, kind: &'static str, outcome: impl Into<String>) {
        *self.requests.entry((kind, outcome.into())).or_default() += 1;
    }

    /// Counts a check that was made.
    pub fn count_check(&mut self, check: &'static str) {
        *self.checks.entry(check).or_default() += 1;
    }

    /// Counts a check that was not made.
    pub fn skip_check(&mut self, check: &'static str) {
        *self.skipped_checks.entry(check).or_default() += 1;
        self.note(&format!("not checked: {check}"));
    }

    /// Notes a violated invariant.
    pub fn violate(&mut self, point: CheckPoint, detail: String) {
        let after = self.began.elapsed();
        error!(target: "soak", after_ms = after.as_millis(), point:? = point; "Violation: {detail}");
        let first = self.events.len().saturating_sub(EVENTS_NAMED);
        self.violations.push(Violation {
            after,
            point,
            detail,
            events: self.events[first..].to_vec(),
        });
    }
}
