//! Completion of attempts and requests: retries, refusals and timeouts.

use std::time::{Duration, Instant};

use gs_protocol::engine::EngineReason;
use gs_protocol::ids::{AttemptId, RequestId};
use gs_protocol::refusal::RefusalReason;

use super::messages::{AttemptEnd, DispatchEffect, RequestStage};
use super::request_table::{AttemptRecord, RequestPhase};
use super::server_load::ServerWork;
use super::server_record::{ServerId, ServerRecord};
use super::state::DispatchState;

/// Consequence of a failed attempt for its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptFailure {
    /// No work was done; the request is queued again at no cost to the retry budget.
    NotRun,
    /// Work was done or may have been done; a retry is charged to the retry budget.
    Wasted,
    /// Every server would fail the request in the same way.
    Final(RefusalReason),
}

impl DispatchState {
    /// Releases the prefill work of an attempt whose prefill has completed, and marks its server
    /// healthy.
    pub(super) fn finish_prefill(&mut self, now: Instant, attempt: AttemptId) {
        let Some(attempt_record) = self.table.attempts.get_mut(&attempt) else {
            return;
        };
        let prefilled = ServerWork {
            prefill_tokens: std::mem::take(&mut attempt_record.prefill_work.prefill_tokens),
            urgent_prefill_tokens: std::mem::take(
                &mut attempt_record.prefill_work.urgent_prefill_tokens,
            ),
            ..ServerWork::default()
        };
        let (server, request) = (attempt_record.prefill, attempt_record.request);
        self.remove_model_prefill(request, prefilled);
        self.fleet
            .update_server(now, server, &self.settings, |record| {
                record.remove_work(now, prefilled);
                record.mark_healthy();
            });
    }

    /// Releases the transfer work of an attempt that has produced its first token, and marks its
    /// servers healthy.
    pub(super) fn handle_first_token(&mut self, now: Instant, attempt: AttemptId) {
        self.finish_prefill(now, attempt);
        let Some(attempt_record) = self.table.attempts.get_mut(&attempt) else {
            return;
        };
        let take_transfer = |work: &mut ServerWork| ServerWork {
            transfer_bytes: std::mem::take(&mut work.transfer_bytes),
            ..ServerWork::default()
        };
        let transfers = [
            (
                attempt_record.prefill,
                take_transfer(&mut attempt_record.prefill_work),
            ),
            (
                attempt_record.decode,
                take_transfer(&mut attempt_record.decode_work),
            ),
        ];
        if let Some(record) = self.table.requests.get_mut(&attempt_record.request) {
            record.has_streamed = true;
        }
        for (server, work) in transfers {
            self.fleet
                .update_server(now, server, &self.settings, |record| {
                    record.remove_work(now, work);
                    record.mark_healthy();
                });
        }
    }

    /// Ends an attempt: its request completes, is retried or is refused.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        end: AttemptEnd,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(attempt_record) = self.table.remove_attempt(attempt) else {
            return;
        };
        self.release_work(now, &attempt_record);
        match end {
            AttemptEnd::Completed { .. } => {
                for server in [attempt_record.prefill, attempt_record.decode] {
                    self.update_server(now, server, ServerRecord::mark_healthy);
                }
                self.remove_request(attempt_record.request);
            }
            AttemptEnd::Cancelled => self.remove_request(attempt_record.request),
            AttemptEnd::Refused { stage, reason } => {
                let failure = self.classify_refusal(now, &attempt_record, stage, reason);
                self.retry_or_refuse(now, &attempt_record, stage, failure, effects);
            }
            AttemptEnd::Lost { stage, tokens } => {
                if let Some(record) = self.table.requests.get_mut(&attempt_record.request) {
                    record.has_streamed |= tokens > 0;
                }
                let backoff = self.settings.failure_backoff;
                self.update_server(now, stage_server(&attempt_record, stage), |record| {
                    record.mark_suspect(now, backoff);
                });
                self.retry_or_refuse(now, &attempt_record, stage, AttemptFailure::Wasted, effects);
            }
        }
    }

    /// Cancels a request whose caller is gone and releases the work of its attempt.
    pub(super) fn cancel_request(&mut self, now: Instant, request: RequestId) {
        let phase = self.table.requests.get(&request).map(|record| record.phase);
        if let Some(RequestPhase::Running(attempt)) = phase
            && let Some(attempt_record) = self.table.remove_attempt(attempt)
        {
            self.release_work(now, &attempt_record);
        }
        self.remove_request(request);
    }

    /// Refuses requests whose wait has expired, and requests whose attempt has not ended in time.
    pub(super) fn expire_requests(&mut self, now: Instant, effects: &mut Vec<DispatchEffect>) {
        while let Some((expires_at, request)) = self.table.wait_expiries.first().copied() {
            if expires_at > now {
                break;
            }
            let (reason, retry_after) = self.timeout_reason(now, request);
            self.refuse_request(request, reason, retry_after, effects);
        }
        while let Some((expires_at, attempt)) = self.table.attempt_expiries.first().copied() {
            if expires_at > now {
                break;
            }
            let Some(attempt_record) = self.table.remove_attempt(attempt) else {
                break;
            };
            self.report_attempt_expiry(now, attempt);
            self.release_work(now, &attempt_record);
            self.refuse_request(
                attempt_record.request,
                RefusalReason::DeadlinePassed,
                None,
                effects,
            );
        }
    }

    /// Removes a request and emits its refusal.
    pub(super) fn refuse_request(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.remove_request(request);
        effects.push(DispatchEffect::Refuse {
            request,
            reason,
            retry_after,
        });
    }

    /// Refusal reason for a request whose wait has expired, and the time after which a retry makes
    /// sense.
    fn timeout_reason(
        &self,
        now: Instant,
        request: RequestId,
    ) -> (RefusalReason, Option<Duration>) {
        let Some(record) = self.table.requests.get(&request) else {
            return (RefusalReason::TooLate, None);
        };
        if record.has_failed || record.has_streamed {
            return (RefusalReason::ServerFailed, None);
        }
        let pool = self.fleet.pool(&record.model);
        let has_both_roles = pool.is_some_and(|pool| pool.has_both_roles());
        if !has_both_roles && !self.fleet.has_backoffs() {
            return (
                RefusalReason::NoServer,
                Some(self.settings.report_stale_after),
            );
        }
        let wait = self.estimate_queue_wait(now, record.caller, &record.model);
        (RefusalReason::TooLate, wait)
    }

    /// Retries a request if its failure and the retry budget permit it, otherwise refuses it.
    fn retry_or_refuse(
        &mut self,
        now: Instant,
        attempt_record: &AttemptRecord,
        stage: RequestStage,
        failure: AttemptFailure,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let request = attempt_record.request;
        let Some(record) = self.table.requests.get(&request) else {
            return;
        };
        if stage == RequestStage::Prefill {
            self.fleet
                .remove_prompt(attempt_record.prefill, &record.prefix_hashes);
        }
        match failure {
            AttemptFailure::NotRun => self.requeue(now, attempt_record),
            AttemptFailure::Wasted if self.retry_budget.try_spend() => {
                self.schedule_retry(now, request, stage_server(attempt_record, stage));
            }
            AttemptFailure::Wasted => {
                self.refuse_request(request, RefusalReason::ServerFailed, None, effects);
            }
            AttemptFailure::Final(reason) => self.refuse_request(request, reason, None, effects),
        }
    }

    /// Returns a request that did not run to the queue or to the retries it was taken from.
    fn requeue(&mut self, now: Instant, attempt_record: &AttemptRecord) {
        let Some(record) = self.table.requests.get_mut(&attempt_record.request) else {
            return;
        };
        if let Some(caller) = self.callers.get_mut(record.caller) {
            caller.running = caller.running.saturating_sub(1);
        }
        let Some(charged) = &attempt_record.selection else {
            record.phase = RequestPhase::AwaitingRetry;
            self.table.add_retry(attempt_record.request);
            return;
        };
        record.phase = RequestPhase::Queued;
        self.table
            .wait_expiries
            .insert((record.wait_expires_at, attempt_record.request));
        if let Some(model_state) = self.model_states.get_mut(&record.model) {
            model_state
                .queue
                .undo_dequeue(charged, record.size_class, record.cost_us);
        }
        let caller = self.callers.get_mut(record.caller);
        if let Some(drain_meter) =
            caller.and_then(|caller| caller.drain_meters.get_mut(&record.model))
        {
            drain_meter.undo_started(record.cost_us);
            drain_meter.start(now);
        }
    }

    /// Schedules a retry, which goes before requests that have not been started yet.
    fn schedule_retry(&mut self, now: Instant, request: RequestId, failed_server: ServerId) {
        let Some(record) = self.table.requests.get_mut(&request) else {
            return;
        };
        record.phase = RequestPhase::AwaitingRetry;
        record.avoid_server = Some(failed_server);
        record.has_failed = true;
        let retry_window = record
            .first_token_target
            .mul_f64(self.settings.retry_window_targets);
        record.wait_expires_at = match record.has_streamed {
            true => now + self.settings.resume_timeout,
            false => record.arrived_at + retry_window,
        };
        if let Some(caller) = self.callers.get_mut(record.caller) {
            caller.running = caller.running.saturating_sub(1);
        }
        self.table.add_retry(request);
    }

    /// Classifies a refusal by its reason and stage, and backs off from the server if needed.
    fn classify_refusal(
        &mut self,
        now: Instant,
        attempt_record: &AttemptRecord,
        stage: RequestStage,
        reason: EngineReason,
    ) -> AttemptFailure {
        let server = stage_server(attempt_record, stage);
        let full_backoff = self.settings.full_backoff;
        let failure_backoff = self.settings.failure_backoff;
        match reason {
            EngineReason::Full => {
                self.update_server(now, server, |record| record.mark_full(now, full_backoff));
            }
            EngineReason::Leaving => {
                let name = self.fleet.server(server).map(|record| record.name.clone());
                if let Some(name) = name {
                    self.fleet.mark_leaving(now, &name, &self.settings);
                }
            }
            EngineReason::UnknownModel | EngineReason::WrongRole => {
                self.update_server(now, server, |record| {
                    record.mark_suspect(now, failure_backoff);
                });
            }
            EngineReason::BadRequest => return AttemptFailure::Final(RefusalReason::BadRequest),
            EngineReason::NoReservation
            | EngineReason::KvLost
            | EngineReason::TransferFailed
            | EngineReason::Cancelled
            | EngineReason::OldFence => return AttemptFailure::Wasted,
        }
        match stage {
            RequestStage::Reserve | RequestStage::Prefill => AttemptFailure::NotRun,
            RequestStage::Transfer | RequestStage::Stream => AttemptFailure::Wasted,
        }
    }

    /// Subtracts prefill work that has ended from the model's total.
    fn remove_model_prefill(&mut self, request: RequestId, work: ServerWork) {
        let Some(record) = self.table.requests.get(&request) else {
            return;
        };
        if let Some(model_state) = self.model_states.get_mut(&record.model) {
            model_state.remove_prefill(work.prefill_tokens, work.urgent_prefill_tokens);
        }
    }

    /// Subtracts an attempt's remaining work from its servers and its model.
    fn release_work(&mut self, now: Instant, attempt_record: &AttemptRecord) {
        self.remove_model_prefill(attempt_record.request, attempt_record.prefill_work);
        self.update_server(now, attempt_record.prefill, |record| {
            record.remove_work(now, attempt_record.prefill_work);
        });
        self.update_server(now, attempt_record.decode, |record| {
            record.remove_work(now, attempt_record.decode_work);
        });
    }

    /// Changes a server record and updates its index position.
    fn update_server(
        &mut self,
        now: Instant,
        server: ServerId,
        change: impl FnOnce(&mut ServerRecord),
    ) {
        self.fleet
            .update_server(now, server, &self.settings, change);
    }

    /// Removes a request and its queue or retry position.
    fn remove_request(&mut self, request: RequestId) {
        let Some(record) = self.table.requests.get(&request) else {
            return;
        };
        let model_state = self.model_states.get_mut(&record.model);
        match record.phase {
            RequestPhase::Queued => {
                self.table
                    .wait_expiries
                    .remove(&(record.wait_expires_at, request));
                if let Some(model_state) = model_state {
                    let key = record.queue_key(request);
                    model_state
                        .queue
                        .remove(record.caller, record.size_class, key, record.cost_us);
                    model_state.remove_target(record.between_tokens_target);
                }
            }
            RequestPhase::AwaitingRetry | RequestPhase::Running(_) => {
                if let Some(model_state) = model_state {
                    model_state.remove_target(record.between_tokens_target);
                }
            }
        }
        if let (RequestPhase::Running(_), Some(caller)) =
            (record.phase, self.callers.get_mut(record.caller))
        {
            caller.running = caller.running.saturating_sub(1);
        }
        self.table.remove_retry(request);
        self.table.requests.remove(&request);
    }
}

/// Server that an attempt uses in a stage.
pub(super) fn stage_server(attempt_record: &AttemptRecord, stage: RequestStage) -> ServerId {
    match stage {
        RequestStage::Prefill => attempt_record.prefill,
        RequestStage::Reserve | RequestStage::Transfer | RequestStage::Stream => {
            attempt_record.decode
        }
    }
}
