//! Drives the dispatch slice and sends its decisions to the waiting requests.

use std::collections::HashMap;
use std::time::Instant;

use gs_control::dispatch::{
    AttemptEnd, DispatchEffect, DispatchEvent, DispatchSettings, DispatchState, RequestStage,
};
use gs_control::quarantine::QuarantineEffect;
use gs_document::settings::EntrySettings;
use gs_protocol::engine::EngineReason;
use gs_protocol::ids::{AttemptId, RequestId};
use gs_protocol::suspicion::SuspicionReport;
use tokio::sync::mpsc::UnboundedSender;

use super::messages::{AttemptPlacement, RequestDecision};
use crate::servers::ServerDirectory;
use crate::telemetry;

/// A queued or running request.
struct OpenRequest {
    decisions: UnboundedSender<RequestDecision>,
    /// The latest attempt, which may have ended.
    attempt: Option<AttemptId>,
}

/// The queued and running requests of this entry, and the dispatch slice.
pub struct RequestHandler {
    state: DispatchState,
    open_requests: HashMap<RequestId, OpenRequest>,
    effects: Vec<DispatchEffect>,
}

impl RequestHandler {
    /// Creates a handler without requests.
    pub fn new(settings: &EntrySettings, seed: u64) -> Self {
        let settings = DispatchSettings {
            entry: settings.name.clone(),
            policy: settings.placement,
            ..DispatchSettings::default()
        };
        Self {
            state: DispatchState::new(settings, seed),
            open_requests: HashMap::new(),
            effects: Vec::new(),
        }
    }

    /// Registers the channel for the decisions on a request.
    pub fn register(&mut self, request: RequestId, decisions: UnboundedSender<RequestDecision>) {
        let attempt = None;
        self.open_requests
            .insert(request, OpenRequest { decisions, attempt });
    }

    /// Removes a request that ended at its traffic thread. The thread sends no further events, so
    /// the latest attempt and the request are reported to the slice as cancelled.
    pub fn close(&mut self, now: Instant, request: RequestId, directory: &ServerDirectory) {
        let Some(open_request) = self.open_requests.remove(&request) else {
            return;
        };
        if let Some(attempt) = open_request.attempt {
            let end = AttemptEnd::Cancelled;
            self.handle(now, DispatchEvent::AttemptEnded { attempt, end }, directory);
        }
        self.handle(now, DispatchEvent::RequestCancelled(request), directory);
    }

    /// Time of the next tick that the slice requests.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.state.next_wakeup()
    }

    /// Passes an event to the slice and executes the effects.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent, directory: &ServerDirectory) {
        let mut effects = std::mem::take(&mut self.effects);
        self.state.handle(now, event, &mut effects);
        for effect in effects.drain(..) {
            self.execute_effect(now, effect, directory);
        }
        self.effects = effects;
    }

    /// Returns the pending reports on requests that may crash servers, to be sent to all peers, and
    /// counts and logs new blames.
    pub fn take_suspicion_reports(&mut self) -> Vec<SuspicionReport> {
        let mut reports = Vec::new();
        for effect in self.state.take_quarantine_effects() {
            match effect {
                QuarantineEffect::SendReport(report) => reports.push(report),
                QuarantineEffect::Blamed { fingerprint, death } => {
                    metrics::counter!(telemetry::BLAMES_TOTAL).increment(1);
                    let server = death.server.as_str();
                    log::warn!(target: "quarantine", fingerprint:%, server, boot = death.boot; "Request is blamed for the crash of a server.");
                }
            }
        }
        reports
    }

    /// Updates the gauge of suspected request fingerprints.
    pub fn record_suspects(&self, now: Instant) {
        let suspects = self.state.count_suspects(now);
        metrics::gauge!(telemetry::SUSPECTS).set(suspects as f64);
    }

    fn execute_effect(
        &mut self,
        now: Instant,
        effect: DispatchEffect,
        directory: &ServerDirectory,
    ) {
        match effect {
            DispatchEffect::Start {
                request, attempt, ..
            } => {
                if let Some(open_request) = self.open_requests.get_mut(&request) {
                    open_request.attempt = Some(attempt);
                }
                match attempt_placement(effect, directory) {
                    Ok(placement) => self.send_decision(request, RequestDecision::Start(placement)),
                    Err(stage) => self.refuse_unlisted_server(now, attempt, stage, directory),
                }
            }
            DispatchEffect::Refuse {
                request,
                reason,
                retry_after,
            } => {
                self.send_decision(
                    request,
                    RequestDecision::Refuse {
                        reason,
                        retry_after,
                    },
                );
                self.open_requests.remove(&request);
            }
        }
    }

    /// Ends an attempt as refused because its server just left the directory, so that the request
    /// is retried.
    fn refuse_unlisted_server(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        stage: RequestStage,
        directory: &ServerDirectory,
    ) {
        let reason = EngineReason::Leaving;
        let end = AttemptEnd::Refused { stage, reason };
        self.handle(now, DispatchEvent::AttemptEnded { attempt, end }, directory);
    }

    fn send_decision(&self, request: RequestId, decision: RequestDecision) {
        let Some(open_request) = self.open_requests.get(&request) else {
            return;
        };
        // Sending fails only if the request is ending; its `RequestFinished` message follows.
        let _ = open_request.decisions.send(decision);
    }
}

/// Adds the addresses of the chosen engines. The error is the stage whose engine left the
/// directory.
fn attempt_placement(
    effect: DispatchEffect,
    directory: &ServerDirectory,
) -> Result<AttemptPlacement, RequestStage> {
    let DispatchEffect::Start {
        attempt,
        decode,
        prefill,
        priority,
        prefill_after,
        first_token_within,
        ..
    } = effect
    else {
        return Err(RequestStage::Reserve);
    };
    Ok(AttemptPlacement {
        attempt,
        decode: directory.endpoint(&decode).ok_or(RequestStage::Reserve)?,
        prefill: directory.endpoint(&prefill).ok_or(RequestStage::Prefill)?,
        priority,
        prefill_after,
        first_token_within,
    })
}
