//! Admission control: validates, queues or refuses arriving requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_document::document::{CallerEntry, EnvironmentDocument};
use gs_protocol::ids::{ModelName, RequestId};
use gs_protocol::refusal::RefusalReason;

use super::fair_queue::{CallerId, SizeClass};
use super::messages::{DispatchEffect, RequestDemand};
use super::request_table::{RequestPhase, RequestRecord};
use super::state::DispatchState;

/// A refusal on arrival and the time after which a retry makes sense.
struct AdmissionRefusal {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl AdmissionRefusal {
    fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

impl DispatchState {
    /// Applies a document. Queued requests whose caller is no longer in it are refused; requests
    /// that await a retry are kept.
    pub(super) fn apply_document(
        &mut self,
        document: Arc<EnvironmentDocument>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.callers.apply(&document);
        self.document = Some(document);
        let waiting: Vec<RequestId> = self.table.wait_expiries.iter().map(|(_, id)| *id).collect();
        for request in waiting {
            let Some(record) = self.table.requests.get(&request) else {
                continue;
            };
            let caller = self.callers.get(record.caller);
            let is_named = caller.is_some_and(|caller| caller.document_entry.is_some());
            if record.phase == RequestPhase::Queued && !is_named {
                self.refuse_request(request, RefusalReason::Forbidden, None, effects);
            }
        }
        self.update_model_targets();
        for (caller, record) in self.callers.iter() {
            for model_state in self.model_states.values_mut() {
                model_state.queue.set_weight(caller, record.caller_weight());
            }
        }
    }

    /// Updates the callers of each model and the duration above which a prefill counts as long.
    fn update_model_targets(&mut self) {
        let Some(document) = &self.document else {
            return;
        };
        let mut tightest = Duration::MAX;
        for model in document.models.keys() {
            let callers = document.callers.values();
            let callers = callers.filter(|entry| entry.models.contains(model));
            let model_state = self.model_states.entry(model.clone()).or_default();
            model_state.set_callers(callers);
            tightest = tightest.min(model_state.tightest_first_token());
        }
        let bound_s = tightest.as_secs_f64() * self.settings.long_prefill_fraction;
        let bound = Duration::try_from_secs_f64(bound_s).unwrap_or(Duration::MAX);
        self.fleet.set_long_prefill_bound(bound);
    }

    /// Queues an arriving request or refuses it. A repeated request id is ignored.
    pub(super) fn handle_arrival(
        &mut self,
        now: Instant,
        demand: RequestDemand,
        effects: &mut Vec<DispatchEffect>,
    ) {
        if self.table.requests.contains_key(&demand.request) {
            return;
        }
        let request = demand.request;
        if let Err(refusal) = self.admit(now, demand) {
            effects.push(DispatchEffect::Refuse {
                request,
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            });
        }
    }

    /// Queues a request unless the document, quarantine or queue limits forbid it.
    fn admit(&mut self, now: Instant, demand: RequestDemand) -> Result<(), AdmissionRefusal> {
        let document = self.document.clone();
        let document = document.ok_or_else(|| AdmissionRefusal::new(RefusalReason::NoDocument))?;
        let (caller, entry) = self.check_permissions(&document, &demand)?;
        if self.is_quarantined(now, demand.fingerprint) {
            return Err(AdmissionRefusal::new(RefusalReason::Quarantined));
        }
        let request = demand.request;
        let record = self.build_record(now, demand, caller, entry);
        self.check_queue_limits(now, &record, entry)?;
        self.enqueue(now, request, record);
        Ok(())
    }

    /// Checks the model, the caller's access to it and the model's token limits.
    fn check_permissions<'a>(
        &self,
        document: &'a EnvironmentDocument,
        demand: &RequestDemand,
    ) -> Result<(CallerId, &'a CallerEntry), AdmissionRefusal> {
        let Some(model) = document.models.get(&demand.model) else {
            return Err(AdmissionRefusal::new(RefusalReason::UnknownModel));
        };
        let caller = self.callers.find(&demand.caller);
        let entry = document.callers.get(&demand.caller);
        let (Some(caller), Some(entry)) = (caller, entry) else {
            return Err(AdmissionRefusal::new(RefusalReason::Forbidden));
        };
        if !entry.models.contains(&demand.model) {
            return Err(AdmissionRefusal::new(RefusalReason::Forbidden));
        }
        let is_long = demand.prompt_tokens > model.max_prompt_tokens;
        if is_long || demand.max_tokens > model.max_output_tokens {
            return Err(AdmissionRefusal::new(RefusalReason::PromptTooLong));
        }
        Ok((caller, entry))
    }

    /// Builds the record of a request from the caller's targets and the estimated engine time.
    fn build_record(
        &mut self,
        now: Instant,
        demand: RequestDemand,
        caller: CallerId,
        entry: &CallerEntry,
    ) -> RequestRecord {
        let holders = self.fleet.find_prefix(&demand.prefix_hashes);
        let cached = holders.first().map_or(0, |prefix| prefix.tokens);
        let uncached = demand.prompt_tokens.saturating_sub(cached);
        let rates = self
            .model_states
            .entry(demand.model.clone())
            .or_default()
            .engine_rates;
        let prefill = rates.prefill_time(uncached);
        let deadline = now + entry.first_token;
        let margin = entry.first_token.mul_f64(self.settings.deadline_margin);
        let reserved_time = margin + prefill + rates.min_step_time();
        let size_class = match prefill > self.fleet.long_prefill_bound() {
            true => SizeClass::Long,
            false => SizeClass::Short,
        };
        RequestRecord {
            caller,
            rank: entry.rank,
            model: demand.model,
            prompt_tokens: demand.prompt_tokens,
            prefix_hashes: demand.prefix_hashes,
            max_tokens: demand.max_tokens,
            fingerprint: demand.fingerprint,
            size_class,
            first_token_target: entry.first_token,
            between_tokens_target: entry.between_tokens,
            arrived_at: now,
            deadline,
            wait_expires_at: now + entry.first_token.saturating_sub(reserved_time),
            cost_us: rates.cost_us(uncached, demand.max_tokens),
            phase: RequestPhase::Queued,
            was_started: false,
            has_streamed: false,
            has_failed: false,
            avoid_server: None,
            reserved_choice: None,
        }
    }

    /// Refuses a request whose queue is full or that would not start before its deadline.
    fn check_queue_limits(
        &self,
        now: Instant,
        record: &RequestRecord,
        entry: &CallerEntry,
    ) -> Result<(), AdmissionRefusal> {
        let time_left = record.wait_expires_at.saturating_duration_since(now);
        if time_left.is_zero() {
            return Err(AdmissionRefusal::new(RefusalReason::TooLate));
        }
        let wait = self.estimate_queue_wait(now, record.caller, &record.model);
        let retry_after = wait.map(|wait| wait.saturating_sub(time_left));
        let model_state = self.model_states.get(&record.model);
        let queued =
            model_state.map_or(0, |model_state| model_state.queue.caller_len(record.caller));
        if queued >= entry.queue_bound as usize {
            return Err(AdmissionRefusal {
                reason: RefusalReason::QueueFull,
                retry_after: retry_after.or(Some(record.first_token_target)),
            });
        }
        if wait.is_some_and(|wait| wait > time_left) {
            return Err(AdmissionRefusal {
                reason: RefusalReason::TooLate,
                retry_after,
            });
        }
        Ok(())
    }

    /// Estimated time until all waiting requests of a caller for a model are started; `None` until
    /// the drain rate of its queue has been measured for long enough.
    pub(super) fn estimate_queue_wait(
        &self,
        now: Instant,
        caller: CallerId,
        model: &ModelName,
    ) -> Option<Duration> {
        let cost_us = self.model_states.get(model)?.queue.caller_cost_us(caller);
        self.callers
            .get(caller)?
            .drain_meters
            .get(model)?
            .estimate_wait(now, cost_us)
    }

    fn enqueue(&mut self, now: Instant, request: RequestId, record: RequestRecord) {
        let model_state = self.model_states.entry(record.model.clone()).or_default();
        model_state.add_target(record.between_tokens_target);
        if let Some(caller) = self.callers.get_mut(record.caller) {
            model_state
                .queue
                .set_weight(record.caller, caller.caller_weight());
            let drain_meter = caller.drain_meters.entry(record.model.clone()).or_default();
            drain_meter.start(now);
        }
        let key = record.queue_key(request);
        model_state
            .queue
            .push(record.caller, record.size_class, key, record.cost_us);
        self.table
            .wait_expiries
            .insert((record.wait_expires_at, request));
        self.table.requests.insert(request, record);
    }
}
