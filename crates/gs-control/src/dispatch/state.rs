//! The dispatch slice's state and its events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use gs_document::document::EnvironmentDocument;
use gs_protocol::ids::{CallerName, ModelName, ServerName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::callers::CallerTable;
use super::fleet::FleetTable;
use super::messages::{DispatchEffect, DispatchEvent, ServerObservation};
use super::model_state::ModelLane;
use super::request_table::RequestTable;
use super::retry_budget::RetryBudget;
use super::settings::DispatchSettings;
use crate::quarantine::{QuarantineEffect, QuarantineSettings, QuarantineState};

/// Admits requests and places them on model engines.
#[derive(Clone, Debug)]
pub struct DispatchState {
    pub(super) settings: DispatchSettings,
    pub(super) rng: Pcg64Mcg,
    pub(super) document: Option<Arc<EnvironmentDocument>>,
    pub(super) entries: u32,
    pub(super) callers: CallerTable,
    pub(super) lanes: BTreeMap<ModelName, ModelLane>,
    pub(super) fleet: FleetTable,
    pub(super) table: RequestTable,
    pub(super) budget: RetryBudget,
    pub(super) last_start: Option<Instant>,
    pub(super) quarantine: QuarantineState,
    pub(super) quarantine_effects: Vec<QuarantineEffect>,
}

impl DispatchState {
    /// A state that knows no document and no server yet.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            document: None,
            entries: settings.entries.max(1),
            callers: CallerTable::default(),
            lanes: BTreeMap::new(),
            fleet: FleetTable::new(settings.prefix_capacity),
            table: RequestTable::default(),
            budget: RetryBudget::new(settings.retry_share, settings.retry_floor),
            last_start: None,
            quarantine: QuarantineState::new(settings.entry.clone(), QuarantineSettings::default()),
            quarantine_effects: Vec::new(),
            settings,
        }
    }

    /// Takes in an event, and adds what is to be done to `effects`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: DispatchEvent,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.watch(now, &event);
        match event {
            DispatchEvent::DocumentApplied(document) => self.apply_document(document, effects),
            DispatchEvent::LoadReported(observation) => self.see_load(now, &observation),
            DispatchEvent::CacheChanged { server, events } => {
                self.fleet.see_cache(&server, &events)
            }
            DispatchEvent::ServerLeaving(name) => {
                self.fleet.see_leaving(now, &name, &self.settings);
            }
            DispatchEvent::ServerDown(name) | DispatchEvent::ServerLost(name) => {
                self.fleet.see_lost(now, &name, &self.settings);
            }
            DispatchEvent::RequestArrived(demand) => self.arrive(now, demand, effects),
            DispatchEvent::RequestCancelled(request) => self.withdraw(now, request),
            DispatchEvent::PrefillDone { attempt, .. } => self.end_prefill(now, attempt),
            DispatchEvent::FirstToken(attempt) => self.begin_stream(now, attempt),
            DispatchEvent::AttemptEnded { attempt, end } => {
                self.end_attempt(now, attempt, end, effects)
            }
            DispatchEvent::EntryCountChanged(entries) => self.entries = entries.max(1),
            DispatchEvent::PeerReported { .. } | DispatchEvent::Tick => {}
        }
        self.give_up(now, effects);
        self.start_waiting(now, effects);
        #[cfg(debug_assertions)]
        self.check_invariants();
    }

    /// When [`DispatchEvent::Tick`] is due at the latest; `None` if nothing waits or runs.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let give_up = self.table.give_ups.first().map(|(at, _)| *at);
        let expiry = self.table.expiries.first().map(|(at, _)| *at);
        let poll = self
            .last_start
            .filter(|_| give_up.is_some())
            .map(|last| last + self.settings.poll_interval);
        [give_up, expiry, poll].into_iter().flatten().min()
    }

    /// Requests that wait, by caller.
    pub fn queued_by_caller(&self) -> impl Iterator<Item = (&CallerName, usize)> {
        self.callers.iter().map(|(caller, record)| {
            let queues = self.lanes.values().map(|lane| &lane.queue);
            (
                &record.name,
                queues.map(|queue| queue.caller_len(caller)).sum(),
            )
        })
    }

    /// Requests that run, by caller.
    pub fn running_by_caller(&self) -> impl Iterator<Item = (&CallerName, u32)> {
        self.callers
            .iter()
            .map(|(_, record)| (&record.name, record.running))
    }

    /// Streams and reservations of this entry, by server.
    pub fn running_by_server(&self) -> impl Iterator<Item = (&ServerName, u32)> {
        self.fleet
            .servers()
            .map(|record| (&record.name, record.own().streams))
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.table.requests.is_empty()
    }

    fn see_load(&mut self, now: Instant, observation: &ServerObservation) {
        for model in &observation.report.models {
            let lane = self.lanes.entry(model.clone()).or_default();
            lane.rates.refresh(&observation.report);
        }
        let peers = self.entries - 1;
        let Self {
            fleet,
            settings,
            rng,
            ..
        } = self;
        fleet.see_load(now, observation, settings, peers, rng);
    }
}
