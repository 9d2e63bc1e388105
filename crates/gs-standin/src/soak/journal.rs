//! Records the events, counts and violations of a soak.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use log::{error, info};

use super::schedule::{FaultKind, PlannedFault};

/// The number of recent events that are reported with a violation.
const MAX_VIOLATION_EVENTS: usize = 6;

/// The invariants that a soak checks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SoakInvariant {
    /// Engines hold no state of ended requests.
    Held,
    /// Each request gets its own answer once and completely, or an explicit error.
    Answer,
    /// A request that is reported as not run has not run.
    NotRun,
    /// A key of a non-idempotent route runs at most once, and its repeats get the same answer.
    Key,
    /// Leaving servers get no new work.
    Leaving,
    /// A graceful shutdown cuts off no request.
    Shutdown,
    /// The document in force is never replaced by an older one and is the latest one in the end.
    Document,
    /// Entries answer again once the faults are healed.
    Recovery,
}

/// A violated invariant, with the events before it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Time since the start of the soak.
    pub after: Duration,
    /// The invariant.
    pub invariant: SoakInvariant,
    /// What was observed.
    pub detail: String,
    /// The latest fault events, oldest first.
    pub events: Vec<String>,
}

/// How often a kind of fault was injected or skipped.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultCount {
    /// The number of injected faults.
    pub done: u32,
    /// The number of faults whose injection failed, for example because of an outage.
    pub skipped: u32,
}

/// The counts, events and violations of a soak.
#[derive(Debug)]
pub struct SoakJournal {
    /// Faults by kind.
    pub faults: BTreeMap<FaultKind, FaultCount>,
    /// Requests by kind and outcome.
    pub requests: BTreeMap<(&'static str, String), u64>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Skipped checks, by check and reason.
    pub skipped_checks: BTreeMap<&'static str, u32>,
    /// Checks that were made, by name.
    pub checks: BTreeMap<&'static str, u32>,
    started: Instant,
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
            started: Instant::now(),
            events: Vec::new(),
        }
    }
}

impl SoakJournal {
    /// Records and logs an event.
    pub fn record_event(&mut self, event: &str) {
        let after = self.started.elapsed();
        info!(target: "soak", after_ms = after.as_millis(); "{event}");
        self.events
            .push(format!("{:.3} s: {event}", after.as_secs_f64()));
    }

    /// Counts an injected fault.
    pub fn count_fault(&mut self, fault: PlannedFault) {
        self.faults.entry(fault.kind).or_default().done += 1;
        self.record_event(&format!("injected: {fault}"));
    }

    /// Counts a fault that could not be injected.
    pub fn skip_fault(&mut self, fault: PlannedFault, reason: &str) {
        self.faults.entry(fault.kind).or_default().skipped += 1;
        self.record_event(&format!("not injected: {fault}: {reason}"));
    }

    /// Counts a request by its outcome.
    pub fn count_request(&mut self, kind: &'static str, outcome: impl Into<String>) {
        *self.requests.entry((kind, outcome.into())).or_default() += 1;
    }

    /// Counts a check that was made.
    pub fn count_check(&mut self, check: &'static str) {
        *self.checks.entry(check).or_default() += 1;
    }

    /// Counts a skipped check.
    pub fn skip_check(&mut self, check: &'static str) {
        *self.skipped_checks.entry(check).or_default() += 1;
        self.record_event(&format!("not checked: {check}"));
    }

    /// Records and logs a violated invariant.
    pub fn record_violation(&mut self, invariant: SoakInvariant, detail: String) {
        let after = self.started.elapsed();
        error!(target: "soak", after_ms = after.as_millis(), point:? = invariant; "Violation: {detail}");
        let first = self.events.len().saturating_sub(MAX_VIOLATION_EVENTS);
        self.violations.push(Violation {
            after,
            invariant,
            detail,
            events: self.events[first..].to_vec(),
        });
    }
}
