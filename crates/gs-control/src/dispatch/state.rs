//! The dispatch state machine.

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
use super::model_state::ModelState;
use super::request_table::RequestTable;
use super::retry_budget::RetryBudget;
use super::settings::DispatchSettings;
use crate::quarantine::{QuarantineEffect, QuarantineSettings, QuarantineState};

/// Admits requests and places them on model servers.
#[derive(Clone, Debug)]
pub struct DispatchState {
    pub(super) settings: DispatchSettings,
    pub(super) rng: Pcg64Mcg,
    pub(super) document: Option<Arc<EnvironmentDocument>>,
    /// Number of entries that share the fleet, including this one; at least 1.
    pub(super) entry_count: u32,
    pub(super) callers: CallerTable,
    pub(super) model_states: BTreeMap<ModelName, ModelState>,
    pub(super) fleet: FleetTable,
    pub(super) table: RequestTable,
    pub(super) retry_budget: RetryBudget,
    /// Time of the latest attempt to place waiting requests.
    pub(super) last_placement_at: Option<Instant>,
    pub(super) quarantine: QuarantineState,
    pub(super) quarantine_effects: Vec<QuarantineEffect>,
}

impl DispatchState {
    /// Creates a state without a document or servers. Random choices and attempt ids are generated
    /// from `seed`.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            document: None,
            entry_count: settings.entries.max(1),
            callers: CallerTable::default(),
            model_states: BTreeMap::new(),
            fleet: FleetTable::new(settings.prefix_capacity),
            table: RequestTable::default(),
            retry_budget: RetryBudget::new(settings.retry_ratio, settings.retry_burst),
            last_placement_at: None,
            quarantine: QuarantineState::new(settings.entry.clone(), QuarantineSettings::default()),
            quarantine_effects: Vec::new(),
            settings,
        }
    }

    /// Handles an event and adds the resulting actions to `effects`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: DispatchEvent,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.forward_event(now, &event);
        match event {
            DispatchEvent::DocumentApplied(document) => self.apply_document(document, effects),
            DispatchEvent::LoadReported(observation) => self.apply_load_report(now, &observation),
            DispatchEvent::CacheChanged { server, events } => {
                self.fleet.apply_cache_events(&server, &events);
            }
            DispatchEvent::ServerLeaving(name) => {
                self.fleet.mark_leaving(now, &name, &self.settings);
            }
            DispatchEvent::ServerDown(name) | DispatchEvent::ServerLost(name) => {
                self.fleet.mark_lost(now, &name, &self.settings);
            }
            DispatchEvent::RequestArrived(demand) => self.handle_arrival(now, demand, effects),
            DispatchEvent::RequestCancelled(request) => self.cancel_request(now, request),
            DispatchEvent::PrefillDone { attempt, .. } => self.finish_prefill(now, attempt),
            DispatchEvent::FirstToken(attempt) => self.handle_first_token(now, attempt),
            DispatchEvent::AttemptEnded { attempt, end } => {
                self.end_attempt(now, attempt, end, effects);
            }
            DispatchEvent::EntryCountChanged(entry_count) => self.entry_count = entry_count.max(1),
            DispatchEvent::PeerReported { .. } | DispatchEvent::Tick => {}
        }
        self.expire_requests(now, effects);
        self.start_requests(now, effects);
        #[cfg(debug_assertions)]
        self.check_invariants();
    }

    /// Time at which [`DispatchEvent::Tick`] is due at the latest; `None` if nothing waits or runs.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let wait_expiry = self.table.wait_expiries.first().map(|(at, _)| *at);
        let attempt_expiry = self.table.attempt_expiries.first().map(|(at, _)| *at);
        let poll = self
            .last_placement_at
            .filter(|_| wait_expiry.is_some())
            .map(|last| last + self.settings.poll_interval);
        [wait_expiry, attempt_expiry, poll]
            .into_iter()
            .flatten()
            .min()
    }

    /// Number of queued requests by caller.
    pub fn queued_by_caller(&self) -> impl Iterator<Item = (&CallerName, usize)> {
        self.callers.iter().map(|(caller, record)| {
            let queues = self
                .model_states
                .values()
                .map(|model_state| &model_state.queue);
            (
                &record.name,
                queues.map(|queue| queue.caller_len(caller)).sum(),
            )
        })
    }

    /// Number of running requests by caller.
    pub fn running_by_caller(&self) -> impl Iterator<Item = (&CallerName, u32)> {
        self.callers
            .iter()
            .map(|(_, record)| (&record.name, record.running))
    }

    /// Number of this entry's streams and reservations by server.
    pub fn running_by_server(&self) -> impl Iterator<Item = (&ServerName, u32)> {
        self.fleet
            .servers()
            .map(|record| (&record.name, record.own_work().streams))
    }

    /// Whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.table.requests.is_empty()
    }

    fn apply_load_report(&mut self, now: Instant, observation: &ServerObservation) {
        for model in &observation.report.models {
            let model_state = self.model_states.entry(model.clone()).or_default();
            model_state.engine_rates.apply_report(&observation.report);
        }
        let peers = self.entry_count - 1;
        let Self {
            fleet,
            settings,
            rng,
            ..
        } = self;
        fleet.apply_load_report(now, observation, settings, peers, rng);
    }
}
