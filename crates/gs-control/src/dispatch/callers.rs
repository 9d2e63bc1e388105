//! Callers of the document and the drain rates of their queues.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_document::document::{CallerEntry, CallerRank, EnvironmentDocument};
use gs_protocol::ids::{CallerName, ModelName};

use super::fair_queue::{CallerId, CallerWeight};

/// Time over which the drain rate is averaged.
const DRAIN_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a queue must have held work before its drain rate is used.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(300);

/// Rate at which a caller's waiting work is started, as an exponentially weighted average over the
/// time in which its queue is not empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainMeter {
    started_at: Option<Instant>,
    updated_at: Option<Instant>,
    /// Engine time of started work in microseconds, decayed exponentially to `updated_at`.
    work_us: f64,
}

impl DrainMeter {
    /// Starts the measurement when the queue is no longer empty.
    pub fn start(&mut self, now: Instant) {
        if self.started_at.is_none() {
            *self = Self {
                started_at: Some(now),
                updated_at: Some(now),
                work_us: 0.0,
            };
        }
    }

    /// Adds work that was started.
    pub fn record_started(&mut self, now: Instant, cost_us: u64) {
        if let Some(updated_at) = self.updated_at {
            let elapsed = now.saturating_duration_since(updated_at);
            self.work_us *= (-elapsed.as_secs_f64() / DRAIN_WINDOW.as_secs_f64()).exp();
            self.work_us += cost_us as f64;
            self.updated_at = Some(now);
        }
    }

    /// Subtracts work that was started but not run.
    pub fn undo_started(&mut self, cost_us: u64) {
        self.work_us = (self.work_us - cost_us as f64).max(0.0);
    }

    /// Ends the measurement when the queue is empty.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Estimated time until waiting work of `cost_us` microseconds of engine time is started;
    /// `None` before the measurement has lasted for [`MIN_MEASURED_TIME`].
    pub fn estimate_wait(&self, now: Instant, cost_us: u64) -> Option<Duration> {
        let measured_for = now.saturating_duration_since(self.started_at?);
        if measured_for < MIN_MEASURED_TIME {
            return None;
        }
        let elapsed = now
            .saturating_duration_since(self.updated_at?)
            .as_secs_f64();
        let window = DRAIN_WINDOW.as_secs_f64();
        // Shorter than the window at first, because nothing was measured before the start.
        let effective_window = window * (1.0 - (-measured_for.as_secs_f64() / window).exp());
        let rate = self.work_us * (-elapsed / window).exp() / effective_window;
        let wait = cost_us as f64 / rate.max(1.0);
        Some(Duration::from_secs_f64(wait.min(MAX_REPORTED_WAIT_S)))
    }
}

/// Upper bound of the estimated wait, in seconds.
const MAX_REPORTED_WAIT_S: f64 = 60.0;

/// One caller.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Name of the caller.
    pub name: CallerName,
    /// The caller's entry in the document; `None` once the document no longer contains it.
    pub document_entry: Option<CallerEntry>,
    /// Number of running requests.
    pub running: u32,
    /// Drain rate of the caller's queue for each model.
    pub drain_meters: BTreeMap<ModelName, DrainMeter>,
}

impl CallerRecord {
    /// Scheduling weight of the caller.
    pub fn caller_weight(&self) -> CallerWeight {
        let entry = self.document_entry.as_ref();
        CallerWeight {
            rank: entry.map_or(CallerRank::Normal, |entry| entry.rank),
            guaranteed_share: entry.map_or(0.0, |entry| entry.guaranteed_share.clamp(0.0, 1.0)),
            worth: entry.map_or(1.0, |entry| entry.worth.max(MIN_SURPLUS_WORTH)),
        }
    }
}

/// Lower bound of a caller's weight in the surplus.
const MIN_SURPLUS_WORTH: f64 = 0.001;

/// Registry of callers by name and id.
#[derive(Clone, Debug, Default)]
pub struct CallerTable {
    names: BTreeMap<CallerName, CallerId>,
    records: Vec<CallerRecord>,
}

impl CallerTable {
    /// Applies a document. Callers keep their ids, also when they are no longer in it.
    pub fn apply(&mut self, document: &EnvironmentDocument) {
        for record in &mut self.records {
            record.document_entry = document.callers.get(&record.name).cloned();
        }
        for (name, entry) in &document.callers {
            if self.names.contains_key(name) {
                continue;
            }
            self.names
                .insert(name.clone(), self.records.len() as CallerId);
            self.records.push(CallerRecord {
                name: name.clone(),
                document_entry: Some(entry.clone()),
                running: 0,
                drain_meters: BTreeMap::new(),
            });
        }
    }

    /// Returns the id of a named caller.
    pub fn find(&self, name: &CallerName) -> Option<CallerId> {
        self.names.get(name).copied()
    }

    /// Returns the record of a caller.
    pub fn get(&self, caller: CallerId) -> Option<&CallerRecord> {
        self.records.get(caller as usize)
    }

    /// Returns the record of a caller for modification.
    pub fn get_mut(&mut self, caller: CallerId) -> Option<&mut CallerRecord> {
        self.records.get_mut(caller as usize)
    }

    /// All callers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (CallerId, &CallerRecord)> {
        self.records
            .iter()
            .enumerate()
            .map(|(index, record)| (index as CallerId, record))
    }
}
