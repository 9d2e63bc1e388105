//! Admission: what is queued, and what is refused at once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_document::document::{CallerEntry, EnvironmentDocument};
use gs_protocol::ids::{ModelName, RequestId};
use gs_protocol::refusal::RefusalReason;

use super::fair_queue::{CallerId, SizeClass};
use super::messages::{DispatchEffect, RequestDemand};
use super::request_table::{RequestPhase, RequestRecord};
use super::state::DispatchState;

/// A refusal, and when another try is worth it.
struct EarlyRefusal {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl EarlyRefusal {
    fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

impl DispatchState {
    /// Takes in a document; waiting requests of callers that it no longer names are refused.
    pub(super) fn apply_document(
        &mut self,
        document: Arc<EnvironmentDocument>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.callers.apply(&document);
        self.document = Some(document);
        let waiting: Vec<RequestId> = self.table.give_ups.iter().map(|(_, id)| *id).collect();
        for request in waiting {
            let Some(record) = self.table.requests.get(&request) else {
                continue;
            };
            let caller = self.callers.get(record.caller);
            let is_named = caller.is_some_and(|caller| caller.entry.is_some());
            if record.phase == RequestPhase::Waiting && !is_named {
                self.refuse_held(request, RefusalReason::Forbidden, None, effects);
            }
        }
        self.apply_targets();
        for (caller, record) in self.callers.iter() {
            for lane in self.lanes.values_mut() {
                lane.queue.set_weight(caller, record.weight());
            }
        }
    }

    /// Derives the bounds that follow from the tightest targets.
    fn apply_targets(&mut self) {
        let Some(document) = &self.document else {
            return;
        };
        let mut tightest = Duration::MAX;
        for model in document.models.keys() {
            let users = document.callers.values();
            let users = users.filter(|entry| entry.models.contains(model));
            let lane = self.lanes.entry(model.clone()).or_default();
            lane.set_users(users);
            tightest = tightest.min(lane.first_token());
        }
        let long = tightest.as_secs_f64() * self.settings.long_prefill;
        let bound = Duration::try_from_secs_f64(long).unwrap_or(Duration::MAX);
        self.fleet.set_long_bound(bound);
    }

    /// Queues a request or refuses it.
    pub(super) fn arrive(
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

    fn admit(&mut self, now: Instant, demand: RequestDemand) -> Result<(), EarlyRefusal> {
        let document = self.document.clone();
        let document = document.ok_or_else(|| EarlyRefusal::new(RefusalReason::NoDocument))?;
        let (caller, entry) = self.check_rights(&document, &demand)?;
        if self.is_quarantined(now, demand.fingerprint) {
            return Err(EarlyRefusal::new(RefusalReason::Quarantined));
        }
        let request = demand.request;
        let record = self.make_record(now, demand, caller, entry);
        self.check_queue(now, &record, entry)?;
        self.enqueue(now, request, record);
        Ok(())
    }

    fn check_rights<'a>(
        &self,
        document: &'a EnvironmentDocument,
        demand: &RequestDemand,
    ) -> Result<(CallerId, &'a CallerEntry), EarlyRefusal> {
        let Some(model) = document.models.get(&demand.model) else {
            return Err(EarlyRefusal::new(RefusalReason::UnknownModel));
        };
        let caller = self.callers.find(&demand.caller);
        let entry = document.callers.get(&demand.caller);
        let (Some(caller), Some(entry)) = (caller, entry) else {
            return Err(EarlyRefusal::new(RefusalReason::Forbidden));
        };
        if !entry.models.contains(&demand.model) {
            return Err(EarlyRefusal::new(RefusalReason::Forbidden));
        }
        let is_long = demand.prompt_tokens > model.max_prompt_tokens;
        if is_long || demand.max_tokens > model.max_output_tokens {
            return Err(EarlyRefusal::new(RefusalReason::PromptTooLong));
        }
        Ok((caller, entry))
    }

    fn make_record(
        &mut self,
        now: Instant,
        demand: RequestDemand,
        caller: CallerId,
        entry: &CallerEntry,
    ) -> RequestRecord {
        let held = self.fleet.find_prefix(&demand.prefix_hashes);
        let cached = held.first().map_or(0, |known| known.tokens);
        let uncached = demand.prompt_tokens.saturating_sub(cached);
        let rates = self.lanes.entry(demand.model.clone()).or_default().rates;
        let prefill = rates.prefill_time(uncached);
        let deadline = now + entry.first_token;
        let reserve = entry.first_token.mul_f64(self.settings.deadline_margin);
        let needed = reserve + prefill + rates.least_step();
        let class = match prefill > self.fleet.long_bound() {
            true => SizeClass::Long,
            false => SizeClass::Short,
        };
        RequestRecord {
            caller,
            rank: entry.rank,
            model: demand.model,
            prompt_tokens: demand.prompt_tokens,
            pieces: demand.prefix_hashes,
            max_tokens: demand.max_tokens,
            fingerprint: demand.fingerprint,
            class,
            first_token: entry.first_token,
            between_tokens: entry.between_tokens,
            arrived_at: now,
            deadline,
            gives_up_at: now + entry.first_token.saturating_sub(needed),
            cost_us: rates.cost_us(uncached, demand.max_tokens),
            phase: RequestPhase::Waiting,
            was_started: false,
            has_begun: false,
            has_failed: false,
            avoid: None,
            reserved: None,
        }
    }

    /// Refuses what the queue has no place for or what would wait there for too long.
    fn check_queue(
        &self,
        now: Instant,
        record: &RequestRecord,
        entry: &CallerEntry,
    ) -> Result<(), EarlyRefusal> {
        let time_left = record.gives_up_at.saturating_duration_since(now);
        if time_left.is_zero() {
            return Err(EarlyRefusal::new(RefusalReason::TooLate));
        }
        let wait = self.queue_wait(now, record.caller, &record.model);
        let retry_after = wait.map(|wait| wait.saturating_sub(time_left));
        let lane = self.lanes.get(&record.model);
        let queued = lane.map_or(0, |lane| lane.queue.caller_len(record.caller));
        if queued >= entry.queue_bound as usize {
            return Err(EarlyRefusal {
                reason: RefusalReason::QueueFull,
                retry_after: retry_after.or(Some(record.first_token)),
            });
        }
        if wait.is_some_and(|wait| wait > time_left) {
            return Err(EarlyRefusal {
                reason: RefusalReason::TooLate,
                retry_after,
            });
        }
        Ok(())
    }

    /// Time until what a caller has waiting is started; `None` while too little was seen.
    pub(super) fn queue_wait(
        &self,
        now: Instant,
        caller: CallerId,
        model: &ModelName,
    ) -> Option<Duration> {
        let cost_us = self.lanes.get(model)?.queue.caller_cost_us(caller);
        self.callers
            .get(caller)?
            .drains
            .get(model)?
            .wait(now, cost_us)
    }

    fn enqueue(&mut self, now: Instant, request: RequestId, record: RequestRecord) {
        let lane = self.lanes.entry(record.model.clone()).or_default();
        lane.add_target(record.between_tokens);
        if let Some(caller) = self.callers.get_mut(record.caller) {
            lane.queue.set_weight(record.caller, caller.weight());
            let drain = caller.drains.entry(record.model.clone()).or_default();
            drain.open(now);
        }
        let key = record.queue_key(request);
        lane.queue
            .push(record.caller, record.class, key, record.cost_us);
        self.table.give_ups.insert((record.gives_up_at, request));
        self.table.requests.insert(request, record);
    }
}
