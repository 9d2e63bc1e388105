//! What the dispatch slice tells the quarantine slice, and how it keeps suspects apart.

use std::time::Instant;

use gs_protocol::ids::{AttemptId, RequestId};
use gs_protocol::refusal::RefusalReason;
use gs_protocol::suspicion::{PromptFingerprint, ServerBoot};

use super::endings::server_of;
use super::messages::{AttemptEnd, DispatchEffect, DispatchEvent};
use super::placement::{PlacementBlock, PlacementChoice};
use super::request_table::{AttemptRecord, RequestPhase, RequestRecord, ReturnKey};
use super::server_record::ServerId;
use super::state::DispatchState;
use crate::quarantine::{QuarantineDecision, QuarantineEffect, QuarantineEvent, RunEnd};

/// Where a request may run.
#[derive(Clone, Debug)]
pub enum SuspectPermit {
    /// On any server.
    Anywhere,
    /// On all servers but these, once they have been kept for it.
    Apart(Vec<ServerId>),
    /// On the servers that are kept for it.
    Reserved(PlacementChoice),
}

impl DispatchState {
    /// Takes what the quarantine slice wants done.
    pub fn take_quarantine_effects(&mut self) -> Vec<QuarantineEffect> {
        std::mem::take(&mut self.quarantine_effects)
    }

    /// How many fingerprints are suspected or refused.
    pub fn count_suspects(&self, now: Instant) -> usize {
        self.quarantine.count_suspects(now)
    }

    /// Tells the quarantine slice what concerns it, before anything else follows from it.
    pub(super) fn watch(&mut self, now: Instant, event: &DispatchEvent) {
        let Some(event) = self.watched_event(event) else {
            return;
        };
        self.tell_quarantine(now, event);
    }

    /// An attempt was started.
    pub(super) fn watch_start(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        running: &AttemptRecord,
    ) {
        let Some(record) = self.table.requests.get(&running.request) else {
            return;
        };
        let fingerprint = record.fingerprint;
        let has_begun = record.has_begun;
        let name = |server| self.fleet.server(server).map(|known| known.name.clone());
        let Some(decode) = name(running.decode) else {
            return;
        };
        let prefill = name(running.prefill).filter(|_| !has_begun);
        let started = QuarantineEvent::AttemptStarted {
            attempt,
            fingerprint,
            prefill,
            decode,
        };
        self.tell_quarantine(now, started);
    }

    /// Nothing was heard of an attempt for too long.
    pub(super) fn watch_expiry(&mut self, now: Instant, attempt: AttemptId) {
        let end = RunEnd::Abandoned;
        self.tell_quarantine(now, QuarantineEvent::AttemptEnded { attempt, end });
    }

    /// Whether a request is refused as one that crashes servers.
    pub(super) fn is_quarantined(&self, now: Instant, fingerprint: PromptFingerprint) -> bool {
        self.quarantine.decide(now, fingerprint) == QuarantineDecision::Refused
    }

    /// Refuses requests that go again but must not.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Instant,
        keys: &[ReturnKey],
        effects: &mut Vec<DispatchEffect>,
    ) {
        for (_, _, request) in keys {
            let record = self.table.requests.get(request);
            if record.is_some_and(|record| self.is_quarantined(now, record.fingerprint)) {
                self.refuse_held(*request, RefusalReason::Quarantined, None, effects);
            }
        }
    }

    /// Whether a request that goes again must wait for what is not yet known.
    pub(super) fn is_held(&self, now: Instant, request: RequestId) -> bool {
        let record = self.table.requests.get(&request);
        record.is_some_and(|record| {
            self.quarantine.decide(now, record.fingerprint) == QuarantineDecision::Held
        })
    }

    /// Where a request may run; an error if it is a suspect and may not run now.
    pub(super) fn permit(
        &self,
        now: Instant,
        record: &RequestRecord,
    ) -> Result<SuspectPermit, PlacementBlock> {
        let waits = record.phase == RequestPhase::Waiting;
        match self.quarantine.decide(now, record.fingerprint) {
            QuarantineDecision::Unrestricted => Ok(SuspectPermit::Anywhere),
            QuarantineDecision::Isolated if !waits => {
                let closed = self.quarantine.servers_closed_to_suspects(now);
                let closed = closed.iter().filter_map(|name| self.fleet.find(name));
                Ok(SuspectPermit::Apart(closed.collect()))
            }
            QuarantineDecision::Reserved if !waits => {
                let reserved = record.reserved.filter(|choice| self.is_usable(choice));
                let choice = reserved.ok_or(PlacementBlock::Suspect)?;
                Ok(SuspectPermit::Reserved(choice))
            }
            QuarantineDecision::Isolated
            | QuarantineDecision::Held
            | QuarantineDecision::Refused
            | QuarantineDecision::Reserved => Err(PlacementBlock::Suspect),
        }
    }

    /// Keeps servers for a suspect; returns them if it may run there at once.
    pub(super) fn reserve(
        &mut self,
        now: Instant,
        request: RequestId,
        choice: PlacementChoice,
    ) -> Result<PlacementChoice, PlacementBlock> {
        let record = self.table.requests.get_mut(&request);
        let record = record.ok_or(PlacementBlock::Suspect)?;
        record.reserved = Some(choice);
        let fingerprint = record.fingerprint;
        let mut servers = vec![choice.decode];
        if !record.has_begun {
            servers.push(choice.prefill);
        }
        let records = servers
            .iter()
            .filter_map(|server| self.fleet.server(*server));
        let servers = records.map(|known| known.name.clone()).collect();
        let reserved = QuarantineEvent::ServersReserved {
            fingerprint,
            servers,
        };
        self.tell_quarantine(now, reserved);
        match self.quarantine.decide(now, fingerprint) {
            QuarantineDecision::Reserved => Ok(choice),
            _ => Err(PlacementBlock::Suspect),
        }
    }

    /// Whether servers that were chosen a while ago can still take the request.
    fn is_usable(&self, choice: &PlacementChoice) -> bool {
        let listed = |server| self.fleet.listed_load(server).is_some();
        let decode = self.fleet.server(choice.decode);
        let has_slot = decode.is_some_and(|known| known.own().streams < known.report.max_streams);
        has_slot && listed(choice.decode) && listed(choice.prefill)
    }

    /// Moves a suspect from its queue to the requests that are looked at one by one.
    pub(super) fn set_suspect_aside(&mut self, request: RequestId) {
        let Some(record) = self.table.requests.get_mut(&request) else {
            return;
        };
        record.phase = RequestPhase::Returning;
        self.table.give_ups.remove(&(record.gives_up_at, request));
        if let Some(lane) = self.lanes.get_mut(&record.model) {
            let key = record.queue_key(request);
            lane.queue
                .remove(record.caller, record.class, key, record.cost_us);
        }
        self.table.add_returning(request);
    }

    fn tell_quarantine(&mut self, now: Instant, event: QuarantineEvent) {
        self.quarantine
            .handle(now, event, &mut self.quarantine_effects);
    }

    fn watched_event(&self, event: &DispatchEvent) -> Option<QuarantineEvent> {
        Some(match event {
            DispatchEvent::LoadSeen(sighting) => QuarantineEvent::LoadReported(ServerBoot {
                server: sighting.report.server.clone(),
                boot: sighting.report.boot,
            }),
            DispatchEvent::ServerDown(server) => QuarantineEvent::ServerDown(server.clone()),
            DispatchEvent::PrefillDone { attempt, .. } => QuarantineEvent::PrefillDone(*attempt),
            DispatchEvent::FirstToken(attempt) => QuarantineEvent::FirstToken(*attempt),
            DispatchEvent::Ended { attempt, end } => QuarantineEvent::AttemptEnded {
                attempt: *attempt,
                end: self.run_end(*attempt, *end)?,
            },
            DispatchEvent::Withdrawn(request) => {
                let record = self.table.requests.get(request)?;
                let RequestPhase::Running(attempt) = record.phase else {
                    return None;
                };
                let end = RunEnd::Abandoned;
                QuarantineEvent::AttemptEnded { attempt, end }
            }
            DispatchEvent::PeerTold { peer, report } => QuarantineEvent::PeerReported {
                peer: peer.clone(),
                report: report.clone(),
            },
            DispatchEvent::EntriesSeen(entries) => QuarantineEvent::EntryCountChanged(*entries),
            DispatchEvent::Tick => QuarantineEvent::Tick,
            DispatchEvent::Arrived(_)
            | DispatchEvent::CacheSeen { .. }
            | DispatchEvent::DocumentApplied(_)
            | DispatchEvent::ServerLeaving(_)
            | DispatchEvent::ServerLost(_) => return None,
        })
    }

    fn run_end(&self, attempt: AttemptId, end: AttemptEnd) -> Option<RunEnd> {
        Some(match end {
            AttemptEnd::Whole { .. } => RunEnd::Completed,
            AttemptEnd::Refused { .. } => RunEnd::Refused,
            AttemptEnd::Withdrawn => RunEnd::Abandoned,
            AttemptEnd::Lost { stage, .. } => {
                let running = self.table.attempts.get(&attempt)?;
                let server = self.fleet.server(server_of(running, stage))?;
                RunEnd::ConnectionLost(server.name.clone())
            }
        })
    }
}
