//! Forwards events to quarantine and enforces its decisions on suspects.

use std::time::Instant;

use gs_protocol::ids::{AttemptId, RequestId};
use gs_protocol::refusal::RefusalReason;
use gs_protocol::suspicion::{RequestFingerprint, ServerBoot};

use super::attempt_end::stage_server;
use super::messages::{AttemptEnd, DispatchEffect, DispatchEvent, RequestStage};
use super::placement::{PlacementChoice, PlacementError};
use super::request_table::{AttemptRecord, RequestPhase, RequestRecord, RetryKey};
use super::server_record::ServerId;
use super::state::DispatchState;
use crate::quarantine::{QuarantineDecision, QuarantineEffect, QuarantineEvent, RunEnd};

/// Servers on which a request may run.
#[derive(Clone, Debug)]
pub enum SuspectPermit {
    /// Any server.
    AnyServer,
    /// Any server except these, after it has been reserved for the request.
    Excluding(Vec<ServerId>),
    /// Only the servers reserved for the request.
    Reserved(PlacementChoice),
}

impl DispatchState {
    /// Takes the pending effects of quarantine.
    pub fn take_quarantine_effects(&mut self) -> Vec<QuarantineEffect> {
        std::mem::take(&mut self.quarantine_effects)
    }

    /// Number of fingerprints that are suspected or refused.
    pub fn count_suspects(&self, now: Instant) -> usize {
        self.quarantine.count_suspects(now)
    }

    /// Forwards an event to quarantine if quarantine uses events of this kind. Runs before dispatch
    /// handles the event, so that the decisions that follow already take it into account.
    pub(super) fn forward_event(&mut self, now: Instant, event: &DispatchEvent) {
        let Some(event) = self.quarantine_event(event) else {
            return;
        };
        self.send_to_quarantine(now, event);
    }

    /// Reports the start of an attempt to quarantine.
    pub(super) fn report_attempt_start(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        attempt_record: &AttemptRecord,
    ) {
        let Some(record) = self.table.requests.get(&attempt_record.request) else {
            return;
        };
        let fingerprint = record.fingerprint;
        let has_streamed = record.has_streamed;
        let name = |server| self.fleet.server(server).map(|record| record.name.clone());
        let Some(decode) = name(attempt_record.decode) else {
            return;
        };
        let prefill = name(attempt_record.prefill).filter(|_| !has_streamed);
        let started = QuarantineEvent::AttemptStarted {
            attempt,
            fingerprint,
            prefill,
            decode,
        };
        self.send_to_quarantine(now, started);
    }

    /// Reports to quarantine that an attempt has expired.
    pub(super) fn report_attempt_expiry(&mut self, now: Instant, attempt: AttemptId) {
        let end = RunEnd::Abandoned;
        self.send_to_quarantine(now, QuarantineEvent::AttemptEnded { attempt, end });
    }

    /// Whether requests with this fingerprint are refused because they crash servers.
    pub(super) fn is_quarantined(&self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        self.quarantine.decide(now, fingerprint) == QuarantineDecision::Refused
    }

    /// Refuses those of the given retries that have been quarantined.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Instant,
        keys: &[RetryKey],
        effects: &mut Vec<DispatchEffect>,
    ) {
        for (_, _, request) in keys {
            let record = self.table.requests.get(request);
            if record.is_some_and(|record| self.is_quarantined(now, record.fingerprint)) {
                self.refuse_request(*request, RefusalReason::Quarantined, None, effects);
            }
        }
    }

    /// Whether quarantine holds back a retry until more is known about its fingerprint.
    pub(super) fn is_suspect_held(&self, now: Instant, request: RequestId) -> bool {
        let record = self.table.requests.get(&request);
        record.is_some_and(|record| {
            self.quarantine.decide(now, record.fingerprint) == QuarantineDecision::Held
        })
    }

    /// Servers on which a request may run; an error if it is a suspect that may not run now. A
    /// queued suspect is always an error, because suspects are placed from the retries only.
    pub(super) fn suspect_permit(
        &self,
        now: Instant,
        record: &RequestRecord,
    ) -> Result<SuspectPermit, PlacementError> {
        let is_queued = record.phase == RequestPhase::Queued;
        match self.quarantine.decide(now, record.fingerprint) {
            QuarantineDecision::Unrestricted => Ok(SuspectPermit::AnyServer),
            QuarantineDecision::Isolated if !is_queued => {
                let excluded = self.quarantine.servers_closed_to_suspects(now);
                let excluded = excluded
                    .iter()
                    .filter_map(|name| self.fleet.find_server(name));
                Ok(SuspectPermit::Excluding(excluded.collect()))
            }
            QuarantineDecision::Reserved if !is_queued => {
                let reserved = record
                    .reserved_choice
                    .filter(|choice| self.is_choice_usable(choice));
                let choice = reserved.ok_or(PlacementError::SuspectHeld)?;
                Ok(SuspectPermit::Reserved(choice))
            }
            QuarantineDecision::Isolated
            | QuarantineDecision::Held
            | QuarantineDecision::Refused
            | QuarantineDecision::Reserved => Err(PlacementError::SuspectHeld),
        }
    }

    /// Reserves servers for a suspect. Returns them if it may run there at once.
    pub(super) fn reserve_servers(
        &mut self,
        now: Instant,
        request: RequestId,
        choice: PlacementChoice,
    ) -> Result<PlacementChoice, PlacementError> {
        let record = self.table.requests.get_mut(&request);
        let record = record.ok_or(PlacementError::SuspectHeld)?;
        record.reserved_choice = Some(choice);
        let fingerprint = record.fingerprint;
        let mut servers = vec![choice.decode];
        if !record.has_streamed {
            servers.push(choice.prefill);
        }
        let records = servers
            .iter()
            .filter_map(|server| self.fleet.server(*server));
        let servers = records.map(|record| record.name.clone()).collect();
        let reserved = QuarantineEvent::ServersReserved {
            fingerprint,
            servers,
        };
        self.send_to_quarantine(now, reserved);
        match self.quarantine.decide(now, fingerprint) {
            QuarantineDecision::Reserved => Ok(choice),
            _ => Err(PlacementError::SuspectHeld),
        }
    }

    /// Whether the servers of an earlier choice are still available, and this entry does not use
    /// all slots of the decode server.
    fn is_choice_usable(&self, choice: &PlacementChoice) -> bool {
        let is_indexed = |server| self.fleet.indexed_load(server).is_some();
        let decode = self.fleet.server(choice.decode);
        let has_slot =
            decode.is_some_and(|record| record.own_work().streams < record.report.max_streams);
        has_slot && is_indexed(choice.decode) && is_indexed(choice.prefill)
    }

    /// Moves a suspect from its queue to the retries, which are considered one by one.
    pub(super) fn move_suspect_to_retries(&mut self, request: RequestId) {
        let Some(record) = self.table.requests.get_mut(&request) else {
            return;
        };
        record.phase = RequestPhase::AwaitingRetry;
        self.table
            .wait_expiries
            .remove(&(record.wait_expires_at, request));
        if let Some(model_state) = self.model_states.get_mut(&record.model) {
            let key = record.queue_key(request);
            model_state
                .queue
                .remove(record.caller, record.size_class, key, record.cost_us);
        }
        self.table.add_retry(request);
    }

    fn send_to_quarantine(&mut self, now: Instant, event: QuarantineEvent) {
        self.quarantine
            .handle(now, event, &mut self.quarantine_effects);
    }

    /// Translates a dispatch event into one of quarantine; `None` if quarantine does not use it.
    fn quarantine_event(&self, event: &DispatchEvent) -> Option<QuarantineEvent> {
        Some(match event {
            DispatchEvent::LoadReported(observation) => QuarantineEvent::LoadReported(ServerBoot {
                server: observation.report.server.clone(),
                boot: observation.report.boot,
            }),
            DispatchEvent::ServerDown(server) => QuarantineEvent::ServerDown(server.clone()),
            DispatchEvent::PrefillDone { attempt, .. } => QuarantineEvent::PrefillDone(*attempt),
            DispatchEvent::FirstToken(attempt) => QuarantineEvent::FirstToken(*attempt),
            DispatchEvent::AttemptEnded { attempt, end } => QuarantineEvent::AttemptEnded {
                attempt: *attempt,
                end: self.run_end(*attempt, *end)?,
            },
            DispatchEvent::RequestCancelled(request) => {
                let record = self.table.requests.get(request)?;
                let RequestPhase::Running(attempt) = record.phase else {
                    return None;
                };
                let end = RunEnd::Abandoned;
                QuarantineEvent::AttemptEnded { attempt, end }
            }
            DispatchEvent::PeerReported { peer, report } => QuarantineEvent::PeerReported {
                peer: peer.clone(),
                report: report.clone(),
            },
            DispatchEvent::EntryCountChanged(entry_count) => {
                QuarantineEvent::EntryCountChanged(*entry_count)
            }
            DispatchEvent::Tick => QuarantineEvent::Tick,
            DispatchEvent::RequestArrived(_)
            | DispatchEvent::CacheChanged { .. }
            | DispatchEvent::DocumentApplied(_)
            | DispatchEvent::ServerLeaving(_)
            | DispatchEvent::ServerLost(_) => return None,
        })
    }

    fn run_end(&self, attempt: AttemptId, end: AttemptEnd) -> Option<RunEnd> {
        Some(match end {
            AttemptEnd::Completed { .. } => RunEnd::Completed,
            AttemptEnd::Refused { .. } => RunEnd::Refused,
            AttemptEnd::Cancelled => RunEnd::Abandoned,
            AttemptEnd::Lost { stage, .. } => {
                let attempt_record = self.table.attempts.get(&attempt)?;
                let record = self.fleet.server(stage_server(attempt_record, stage))?;
                let server = record.name.clone();
                match stage {
                    // A reservation does not carry the prompt.
                    RequestStage::Reserve => RunEnd::PromptNotSent(server),
                    RequestStage::Prefill | RequestStage::Transfer | RequestStage::Stream => {
                        RunEnd::ConnectionLost(server)
                    }
                }
            }
        })
    }
}
