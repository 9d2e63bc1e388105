//! The claims of this entry's callers, and the slice that decides for them.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use actix::Addr;
use gs_control::ledger::{LedgerEffect, LedgerEvent, LedgerState};
use gs_document::settings::EntrySettings;
use gs_platform::HttpPlatform;
use gs_protocol::claims::StoredAnswer;
use gs_protocol::ids::{AttemptId, EntryIdentity};
use gs_protocol::peer::PeerCall;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use tokio::sync::oneshot;

use super::settings::ledger_settings;
use super::store::{start_call, start_probe};
use crate::control::{ControlActor, ControlMessage, PeerDesk};
use crate::telemetry;

/// What the ledger decided for a non-idempotent request.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// The claim is written: run the request, and tell the ledger how it ended.
    Grant,
    /// Answer with what an earlier try brought.
    Replay(StoredAnswer),
    /// Answer with a refusal.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// What is said of the request.
        outcome: RequestOutcome,
    },
}

/// Drives the ledger slice.
pub struct ClaimDesk {
    own: EntryIdentity,
    leaving: bool,
    state: LedgerState,
    platform: Rc<HttpPlatform>,
    open: HashMap<AttemptId, oneshot::Sender<ClaimDecision>>,
}

impl ClaimDesk {
    /// A desk without claims.
    pub fn new(
        own: EntryIdentity,
        settings: &EntrySettings,
        seed: u64,
        platform: Rc<HttpPlatform>,
    ) -> Self {
        let settings = ledger_settings(own.clone(), settings, seed);
        Self {
            own,
            leaving: false,
            state: LedgerState::new(Instant::now(), settings),
            platform,
            open: HashMap::new(),
        }
    }

    /// Remembers where the decision for an attempt goes.
    pub fn open(&mut self, attempt: AttemptId, decision: oneshot::Sender<ClaimDecision>) {
        self.open.insert(attempt, decision);
    }

    /// Attempts whose end is not written yet.
    pub fn count(&self) -> usize {
        usize::try_from(self.state.counts().open_attempts).unwrap_or(usize::MAX)
    }

    /// Takes this entry out of the choice of owners.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The event for the other live entries; this one is added unless it is leaving.
    pub fn see_members(&self, mut members: Vec<EntryIdentity>) -> LedgerEvent {
        if !self.leaving {
            members.push(self.own.clone());
        }
        LedgerEvent::MembersUpdated(members)
    }

    /// Tells the slice what happened and carries out what it decides.
    pub fn handle(&mut self, event: LedgerEvent, peers: &PeerDesk, control: &Addr<ControlActor>) {
        let wall_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall_ms = u64::try_from(wall_ms.as_millis()).unwrap_or(u64::MAX);
        let is_tick = matches!(event, LedgerEvent::Tick);
        let mut effects = Vec::new();
        self.state
            .handle(Instant::now(), wall_ms, event, &mut effects);
        for effect in effects {
            self.carry_out(effect, peers, control);
        }
        if is_tick {
            self.record_counts();
        }
    }

    fn carry_out(&mut self, effect: LedgerEffect, peers: &PeerDesk, control: &Addr<ControlActor>) {
        match effect {
            LedgerEffect::Grant(attempt) => self.decide(attempt, ClaimDecision::Grant, control),
            LedgerEffect::Replay { attempt, answer } => {
                self.decide(attempt, ClaimDecision::Replay(answer), control);
            }
            LedgerEffect::Refuse {
                attempt,
                reason,
                outcome,
            } => {
                self.decide(attempt, ClaimDecision::Refuse { reason, outcome }, control);
            }
            LedgerEffect::Call { to, call } => peers.send(&to.entry, PeerCall::Claim(call)),
            LedgerEffect::Reply { to, reply } => {
                peers.send(&to.entry, PeerCall::ClaimReply(reply));
            }
            LedgerEffect::ListHeads { prefix } => start_probe(prefix, &self.platform, control),
            LedgerEffect::Read { .. }
            | LedgerEffect::Write { .. }
            | LedgerEffect::Remove { .. } => {
                start_call(effect, &self.platform, control);
            }
        }
    }

    fn decide(
        &mut self,
        attempt: AttemptId,
        decision: ClaimDecision,
        control: &Addr<ControlActor>,
    ) {
        let is_grant = matches!(decision, ClaimDecision::Grant);
        let sent = match self.open.remove(&attempt) {
            Some(sender) => sender.send(decision).is_ok(),
            None => false,
        };
        if is_grant && !sent {
            // Nobody is there to run it.
            control.do_send(ControlMessage::Ledger(LedgerEvent::AttemptReleased(
                attempt,
            )));
        }
    }

    fn record_counts(&self) {
        let counts = self.state.counts();
        let gauge = |name, value: u64| metrics::gauge!(name).set(value as f64);
        gauge(telemetry::CLAIM_SHARDS_OWNED, counts.owned_shards);
        gauge(telemetry::CLAIMS_KEPT, counts.stored_claims);
        gauge(telemetry::CLAIMS_OPEN, counts.open_attempts);
    }
}
