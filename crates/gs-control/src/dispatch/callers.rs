//! Callers that the document names, and how fast their queues drain.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_document::document::{CallerEntry, CallerRank, EnvironmentDocument};
use gs_protocol::ids::{CallerName, ModelName};

use super::fair_queue::{CallerId, CallerWeight};

/// Time over which a queue's drain rate is averaged.
const DRAIN_WINDOW: Duration = Duration::from_secs(1);

/// Time that a queue must have held work before its drain rate is relied on.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(300);

/// How fast a caller's waiting work is started, measured while some waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainMeter {
    started_at: Option<Instant>,
    updated_at: Option<Instant>,
    work_us: f64,
}

impl DrainMeter {
    /// Begins to measure: work waits now.
    pub fn start(&mut self, now: Instant) {
        if self.started_at.is_none() {
            *self = Self {
                started_at: Some(now),
                updated_at: Some(now),
                work_us: 0.0,
            };
        }
    }

    /// Counts work that was started.
    pub fn record_started(&mut self, now: Instant, cost_us: u64) {
        if let Some(updated_at) = self.updated_at {
            let elapsed = now.saturating_duration_since(updated_at);
            self.work_us *= (-elapsed.as_secs_f64() / DRAIN_WINDOW.as_secs_f64()).exp();
            self.work_us += cost_us as f64;
            self.updated_at = Some(now);
        }
    }

    /// Takes back work that was started and did not run.
    pub fn undo_started(&mut self, cost_us: u64) {
        self.work_us = (self.work_us - cost_us as f64).max(0.0);
    }

    /// Stops: no work waits.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Time until waiting work is started; `None` while too little was seen.
    pub fn estimate_wait(&self, now: Instant, cost_us: u64) -> Option<Duration> {
        let measured_for = now.saturating_duration_since(self.started_at?);
        if measured_for < MIN_MEASURED_TIME {
            return None;
        }
        let elapsed = now
            .saturating_duration_since(self.updated_at?)
            .as_secs_f64();
        let window = DRAIN_WINDOW.as_secs_f64();
        let effective_window = window * (1.0 - (-measured_for.as_secs_f64() / window).exp());
        let rate = self.work_us * (-elapsed / window).exp() / effective_window;
        let wait = cost_us as f64 / rate.max(1.0);
        Some(Duration::from_secs_f64(wait.min(MAX_REPORTED_WAIT_S)))
    }
}

/// The longest wait that is told, in seconds.
const MAX_REPORTED_WAIT_S: f64 = 60.0;

/// One caller.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The caller's name.
    pub name: CallerName,
    /// What the document says of it; `None` once the document names it no more.
    pub document_entry: Option<CallerEntry>,
    /// Requests that run.
    pub running: u32,
    /// How fast its queue drains, by model.
    pub drain_meters: BTreeMap<ModelName, DrainMeter>,
}

impl CallerRecord {
    /// What the caller is owed.
    pub fn caller_weight(&self) -> CallerWeight {
        let entry = self.document_entry.as_ref();
        CallerWeight {
            rank: entry.map_or(CallerRank::Normal, |entry| entry.rank),
            guaranteed_share: entry.map_or(0.0, |entry| entry.guaranteed_share.clamp(0.0, 1.0)),
            worth: entry.map_or(1.0, |entry| entry.worth.max(MIN_SURPLUS_WORTH)),
        }
    }
}

/// The least weight in the surplus.
const MIN_SURPLUS_WORTH: f64 = 0.001;

/// Callers by name and identity.
#[derive(Clone, Debug, Default)]
pub struct CallerTable {
    names: BTreeMap<CallerName, CallerId>,
    records: Vec<CallerRecord>,
}

impl CallerTable {
    /// Takes in a document: callers keep their identities.
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

    /// The identity of a named caller.
    pub fn find(&self, name: &CallerName) -> Option<CallerId> {
        self.names.get(name).copied()
    }

    /// The caller with an identity.
    pub fn get(&self, caller: CallerId) -> Option<&CallerRecord> {
        self.records.get(caller as usize)
    }

    /// The caller with an identity, to change it.
    pub fn get_mut(&mut self, caller: CallerId) -> Option<&mut CallerRecord> {
        self.records.get_mut(caller as usize)
    }

    /// All callers.
    pub fn iter(&self) -> impl Iterator<Item = (CallerId, &CallerRecord)> {
        self.records
            .iter()
            .enumerate()
            .map(|(index, record)| (index as CallerId, record))
    }
}
