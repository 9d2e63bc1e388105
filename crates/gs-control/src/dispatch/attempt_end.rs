//! Ends of attempts and requests: what goes again, and what is refused.

use std::time::{Duration, Instant};

use gs_protocol::engine::EngineReason;
use gs_protocol::ids::{AttemptId, RequestId};
use gs_protocol::refusal::RefusalReason;

use super::messages::{AttemptEnd, DispatchEffect, RequestStage};
use super::request_table::{AttemptRecord, RequestPhase};
use super::server_load::ServerWork;
use super::server_record::{ServerId, ServerRecord};
use super::state::DispatchState;

/// What a failed attempt means for its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptFailure {
    /// Nothing was run.
    NotRun,
    /// Work was done, or may have been.
    Wasted,
    /// No server would do better.
    Final(RefusalReason),
}

impl DispatchState {
    /// The prefill of an attempt has ended well.
    pub(super) fn end_prefill(&mut self, now: Instant, attempt: AttemptId) {
        let Some(running) = self.table.attempts.get_mut(&attempt) else {
            return;
        };
        let done = ServerWork {
            tokens: std::mem::take(&mut running.prefill_work.tokens),
            urgent_tokens: std::mem::take(&mut running.prefill_work.urgent_tokens),
            ..ServerWork::default()
        };
        let (server, request) = (running.prefill, running.request);
        self.end_lane_prefill(request, done);
        self.fleet.update(now, server, &self.settings, |record| {
            record.remove_work(now, done);
            record.trust();
        });
    }

    /// The first token of an attempt has come.
    pub(super) fn begin_stream(&mut self, now: Instant, attempt: AttemptId) {
        self.end_prefill(now, attempt);
        let Some(running) = self.table.attempts.get_mut(&attempt) else {
            return;
        };
        let moved = |work: &mut ServerWork| ServerWork {
            bytes: std::mem::take(&mut work.bytes),
            ..ServerWork::default()
        };
        let ends = [
            (running.prefill, moved(&mut running.prefill_work)),
            (running.decode, moved(&mut running.decode_work)),
        ];
        if let Some(record) = self.table.requests.get_mut(&running.request) {
            record.has_begun = true;
        }
        for (server, work) in ends {
            self.fleet.update(now, server, &self.settings, |record| {
                record.remove_work(now, work);
                record.trust();
            });
        }
    }

    /// An attempt has ended; its request ends, goes again or is refused.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        end: AttemptEnd,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(running) = self.table.remove_attempt(attempt) else {
            return;
        };
        self.release(now, &running);
        match end {
            AttemptEnd::Completed { .. } => {
                for server in [running.prefill, running.decode] {
                    self.update_server(now, server, ServerRecord::trust);
                }
                self.finish(running.request);
            }
            AttemptEnd::Cancelled => self.finish(running.request),
            AttemptEnd::Refused { stage, reason } => {
                let failure = self.judge_refusal(now, &running, stage, reason);
                self.go_again(now, &running, stage, failure, effects);
            }
            AttemptEnd::Lost { stage, tokens } => {
                if let Some(record) = self.table.requests.get_mut(&running.request) {
                    record.has_begun |= tokens > 0;
                }
                let hold = self.settings.suspect_hold;
                self.update_server(now, server_of(&running, stage), |record| {
                    record.hold_suspect(now, hold);
                });
                self.go_again(now, &running, stage, AttemptFailure::Wasted, effects);
            }
        }
    }

    /// The caller of a request is gone: the request ends, and what its attempt held is free.
    pub(super) fn withdraw(&mut self, now: Instant, request: RequestId) {
        let phase = self.table.requests.get(&request).map(|record| record.phase);
        if let Some(RequestPhase::Running(attempt)) = phase
            && let Some(running) = self.table.remove_attempt(attempt)
        {
            self.release(now, &running);
        }
        self.finish(request);
    }

    /// Refuses what has waited for too long, and ends attempts of which nothing was heard.
    pub(super) fn give_up(&mut self, now: Instant, effects: &mut Vec<DispatchEffect>) {
        while let Some((at, request)) = self.table.give_ups.first().copied() {
            if at > now {
                break;
            }
            let (reason, retry_after) = self.late_reason(now, request);
            self.refuse_held(request, reason, retry_after, effects);
        }
        while let Some((at, attempt)) = self.table.expiries.first().copied() {
            if at > now {
                break;
            }
            let Some(running) = self.table.remove_attempt(attempt) else {
                break;
            };
            self.watch_expiry(now, attempt);
            self.release(now, &running);
            self.refuse_held(
                running.request,
                RefusalReason::DeadlinePassed,
                None,
                effects,
            );
        }
    }

    /// Refuses a request that is known.
    pub(super) fn refuse_held(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.finish(request);
        effects.push(DispatchEffect::Refuse {
            request,
            reason,
            retry_after,
        });
    }

    fn late_reason(&self, now: Instant, request: RequestId) -> (RefusalReason, Option<Duration>) {
        let Some(record) = self.table.requests.get(&request) else {
            return (RefusalReason::TooLate, None);
        };
        if record.has_failed || record.has_begun {
            return (RefusalReason::ServerFailed, None);
        }
        let pool = self.fleet.pool(&record.model);
        let is_whole = pool.is_some_and(|pool| pool.is_whole());
        if !is_whole && !self.fleet.has_held() {
            return (RefusalReason::NoServer, Some(self.settings.report_stale));
        }
        let wait = self.queue_wait(now, record.caller, &record.model);
        (RefusalReason::TooLate, wait)
    }

    /// Lets a request go again, within its deadline and the retry budget.
    fn go_again(
        &mut self,
        now: Instant,
        running: &AttemptRecord,
        stage: RequestStage,
        failure: AttemptFailure,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let request = running.request;
        let Some(record) = self.table.requests.get(&request) else {
            return;
        };
        if stage == RequestStage::Prefill {
            self.fleet.forget_prompt(running.prefill, &record.pieces);
        }
        match failure {
            AttemptFailure::NotRun => self.put_back(now, running),
            AttemptFailure::Wasted if self.budget.spend() => {
                self.put_aside(now, request, server_of(running, stage));
            }
            AttemptFailure::Wasted => {
                self.refuse_held(request, RefusalReason::ServerFailed, None, effects);
            }
            AttemptFailure::Final(reason) => self.refuse_held(request, reason, None, effects),
        }
    }

    /// Puts a request that did not run back to where it was taken from.
    fn put_back(&mut self, now: Instant, running: &AttemptRecord) {
        let Some(record) = self.table.requests.get_mut(&running.request) else {
            return;
        };
        if let Some(caller) = self.callers.get_mut(record.caller) {
            caller.running = caller.running.saturating_sub(1);
        }
        let Some(started) = &running.turn else {
            record.phase = RequestPhase::Returning;
            self.table.add_returning(running.request);
            return;
        };
        record.phase = RequestPhase::Waiting;
        self.table
            .give_ups
            .insert((record.gives_up_at, running.request));
        if let Some(lane) = self.lanes.get_mut(&record.model) {
            lane.queue.put_back(started, record.class, record.cost_us);
        }
        let caller = self.callers.get_mut(record.caller);
        if let Some(drain) = caller.and_then(|caller| caller.drains.get_mut(&record.model)) {
            drain.uncount(record.cost_us);
            drain.open(now);
        }
    }

    /// Lets a request go again before all that has not been started.
    fn put_aside(&mut self, now: Instant, request: RequestId, avoid: ServerId) {
        let Some(record) = self.table.requests.get_mut(&request) else {
            return;
        };
        record.phase = RequestPhase::Returning;
        record.avoid = Some(avoid);
        record.has_failed = true;
        let patience = record.first_token.mul_f64(self.settings.retry_patience);
        record.gives_up_at = match record.has_begun {
            true => now + self.settings.resume_within,
            false => record.arrived_at + patience,
        };
        if let Some(caller) = self.callers.get_mut(record.caller) {
            caller.running = caller.running.saturating_sub(1);
        }
        self.table.add_returning(request);
    }

    /// Marks the server that refused, and says what its refusal means.
    fn judge_refusal(
        &mut self,
        now: Instant,
        running: &AttemptRecord,
        stage: RequestStage,
        reason: EngineReason,
    ) -> AttemptFailure {
        let server = server_of(running, stage);
        let full_hold = self.settings.full_hold;
        let suspect_hold = self.settings.suspect_hold;
        match reason {
            EngineReason::Full => {
                self.update_server(now, server, |record| record.hold_full(now, full_hold));
            }
            EngineReason::Leaving => {
                let name = self.fleet.server(server).map(|record| record.name.clone());
                if let Some(name) = name {
                    self.fleet.see_leaving(now, &name, &self.settings);
                }
            }
            EngineReason::UnknownModel | EngineReason::WrongRole => {
                self.update_server(now, server, |record| record.hold_suspect(now, suspect_hold));
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

    /// Stops counting a prefill in its model's lane.
    fn end_lane_prefill(&mut self, request: RequestId, done: ServerWork) {
        let Some(record) = self.table.requests.get(&request) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&record.model) {
            lane.remove_prefill(done.tokens, done.urgent_tokens);
        }
    }

    /// Takes an attempt's work off its servers.
    fn release(&mut self, now: Instant, running: &AttemptRecord) {
        self.end_lane_prefill(running.request, running.prefill_work);
        self.update_server(now, running.prefill, |record| {
            record.remove_work(now, running.prefill_work);
        });
        self.update_server(now, running.decode, |record| {
            record.remove_work(now, running.decode_work);
        });
    }

    fn update_server(
        &mut self,
        now: Instant,
        server: ServerId,
        change: impl FnOnce(&mut ServerRecord),
    ) {
        self.fleet.update(now, server, &self.settings, change);
    }

    /// Forgets a request wherever it stands.
    fn finish(&mut self, request: RequestId) {
        let Some(record) = self.table.requests.get(&request) else {
            return;
        };
        let lane = self.lanes.get_mut(&record.model);
        match record.phase {
            RequestPhase::Waiting => {
                self.table.give_ups.remove(&(record.gives_up_at, request));
                if let Some(lane) = lane {
                    let key = record.queue_key(request);
                    lane.queue
                        .remove(record.caller, record.class, key, record.cost_us);
                    lane.remove_target(record.between_tokens);
                }
            }
            RequestPhase::Returning | RequestPhase::Running(_) => {
                if let Some(lane) = lane {
                    lane.remove_target(record.between_tokens);
                }
            }
        }
        if let (RequestPhase::Running(_), Some(caller)) =
            (record.phase, self.callers.get_mut(record.caller))
        {
            caller.running = caller.running.saturating_sub(1);
        }
        self.table.remove_returning(request);
        self.table.requests.remove(&request);
    }
}

/// The server that a stage concerns.
pub(super) fn server_of(running: &AttemptRecord, stage: RequestStage) -> ServerId {
    match stage {
        RequestStage::Prefill => running.prefill,
        RequestStage::Reserve | RequestStage::Transfer | RequestStage::Stream => running.decode,
    }
}
