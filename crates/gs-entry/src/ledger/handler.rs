//! Drives the ledger slice and sends its decisions to the callers' requests.

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
use super::store::{list_heads, start_operation};
use crate::control::{ControlActor, ControlMessage, PeerHandler};
use crate::telemetry;

/// A decision of the ledger slice on a non-idempotent request.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// The claim is written: run the request and report its end to the ledger.
    Grant,
    /// Return the stored answer of an earlier request with the same key.
    Replay(StoredAnswer),
    /// Refuse the request.
    Refuse {
        /// Reason that the caller receives.
        reason: RefusalReason,
        /// Whether the request may have run.
        outcome: RequestOutcome,
    },
}

/// Handles the claims of this entry's callers and of the shards that it owns.
pub struct ClaimHandler {
    own: EntryIdentity,
    leaving: bool,
    state: LedgerState,
    platform: Rc<HttpPlatform>,
    decisions: HashMap<AttemptId, oneshot::Sender<ClaimDecision>>,
}

impl ClaimHandler {
    /// Creates a handler without claims.
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
            decisions: HashMap::new(),
        }
    }

    /// Registers the channel for the decision on an attempt.
    pub fn register(&mut self, attempt: AttemptId, decision: oneshot::Sender<ClaimDecision>) {
        self.decisions.insert(attempt, decision);
    }

    /// Number of attempts whose end is not written yet.
    pub fn count_open(&self) -> usize {
        usize::try_from(self.state.counts().open_attempts).unwrap_or(usize::MAX)
    }

    /// Excludes this entry from the possible owners of shards.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Creates the event with the live entries: the others, and this one unless it is leaving.
    pub fn members_event(&self, mut members: Vec<EntryIdentity>) -> LedgerEvent {
        if !self.leaving {
            members.push(self.own.clone());
        }
        LedgerEvent::MembersUpdated(members)
    }

    /// Passes an event to the slice and executes the effects.
    pub fn handle(
        &mut self,
        event: LedgerEvent,
        peers: &PeerHandler,
        control: &Addr<ControlActor>,
    ) {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let is_tick = matches!(event, LedgerEvent::Tick);
        let mut effects = Vec::new();
        self.state
            .handle(Instant::now(), wall_ms, event, &mut effects);
        for effect in effects {
            self.execute_effect(effect, peers, control);
        }
        if is_tick {
            self.record_counts();
        }
    }

    fn execute_effect(
        &mut self,
        effect: LedgerEffect,
        peers: &PeerHandler,
        control: &Addr<ControlActor>,
    ) {
        match effect {
            LedgerEffect::Grant(attempt) => self.send(attempt, ClaimDecision::Grant, control),
            LedgerEffect::Replay { attempt, answer } => {
                self.send(attempt, ClaimDecision::Replay(answer), control);
            }
            LedgerEffect::Refuse {
                attempt,
                reason,
                outcome,
            } => {
                self.send(attempt, ClaimDecision::Refuse { reason, outcome }, control);
            }
            LedgerEffect::Call { to, call } => peers.send(&to.entry, PeerCall::Claim(call)),
            LedgerEffect::Reply { to, reply } => {
                peers.send(&to.entry, PeerCall::ClaimReply(reply));
            }
            LedgerEffect::ListHeads { prefix } => list_heads(prefix, &self.platform, control),
            LedgerEffect::Read { .. }
            | LedgerEffect::Write { .. }
            | LedgerEffect::Remove { .. } => {
                start_operation(effect, &self.platform, control);
            }
        }
    }

    fn send(&mut self, attempt: AttemptId, decision: ClaimDecision, control: &Addr<ControlActor>) {
        let is_grant = matches!(decision, ClaimDecision::Grant);
        let sent = match self.decisions.remove(&attempt) {
            Some(sender) => sender.send(decision).is_ok(),
            None => false,
        };
        if is_grant && !sent {
            // The request has ended, so it cannot run.
            control.do_send(ControlMessage::Ledger(LedgerEvent::AttemptReleased(
                attempt,
            )));
        }
    }

    fn record_counts(&self) {
        let counts = self.state.counts();
        let gauge = |name, value: u64| metrics::gauge!(name).set(value as f64);
        gauge(telemetry::CLAIM_SHARDS_OWNED, counts.owned_shards);
        gauge(telemetry::CLAIMS_STORED, counts.stored_claims);
        gauge(telemetry::CLAIMS_OPEN, counts.open_attempts);
    }
}
