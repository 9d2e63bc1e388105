//! Drives the dispatch slice and hands its decisions to the requests.

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

use super::messages::{AttemptOrder, RequestDecision};
use crate::servers::ServerDirectory;
use crate::telemetry;

/// A request that waits or runs.
struct OpenRequest {
    decisions: UnboundedSender<RequestDecision>,
    /// The latest attempt; it may have ended.
    attempt: Option<AttemptId>,
}

/// The requests of this entry that wait or run, and the slice that decides for them.
pub struct RequestDesk {
    state: DispatchState,
    open: HashMap<RequestId, OpenRequest>,
    effects: Vec<DispatchEffect>,
}

impl RequestDesk {
    /// A desk without requests.
    pub fn new(settings: &EntrySettings, seed: u64) -> Self {
        let settings = DispatchSettings {
            entry: settings.name.clone(),
            policy: settings.placement,
            ..DispatchSettings::default()
        };
        Self {
            state: DispatchState::new(settings, seed),
            open: HashMap::new(),
            effects: Vec::new(),
        }
    }

    /// Remembers where the decisions of a request go.
    pub fn open(&mut self, request: RequestId, decisions: UnboundedSender<RequestDecision>) {
        let attempt = None;
        self.open
            .insert(request, OpenRequest { decisions, attempt });
    }

    /// Forgets a request that has ended at its traffic thread, which reports nothing more of it: what
    /// the slice still counts of it ends too.
    pub fn close(&mut self, now: Instant, request: RequestId, directory: &ServerDirectory) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        if let Some(attempt) = open.attempt {
            let end = AttemptEnd::Cancelled;
            self.handle(now, DispatchEvent::AttemptEnded { attempt, end }, directory);
        }
        self.handle(now, DispatchEvent::RequestCancelled(request), directory);
    }

    /// When the slice wants to be told the time.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.state.next_wakeup()
    }

    /// Tells the slice what happened and carries out what it decides.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent, directory: &ServerDirectory) {
        let mut effects = std::mem::take(&mut self.effects);
        self.state.handle(now, event, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(now, effect, directory);
        }
        self.effects = effects;
    }

    /// Takes the reports on requests that may crash servers, which are for all peers.
    pub fn take_reports(&mut self) -> Vec<SuspicionReport> {
        let mut reports = Vec::new();
        for effect in self.state.take_quarantine_effects() {
            match effect {
                QuarantineEffect::SendReport(report) => reports.push(report),
                QuarantineEffect::Blamed { fingerprint, death } => {
                    metrics::counter!(telemetry::BLAMES_TOTAL).increment(1);
                    let server = death.server.as_str();
                    log::warn!(target: "quarantine", fingerprint:%, server, boot = death.boot; "Request is blamed for the end of a server.");
                }
            }
        }
        reports
    }

    /// Records how many kinds of requests are suspected.
    pub fn record_suspects(&self, now: Instant) {
        let suspects = self.state.count_suspects(now);
        metrics::gauge!(telemetry::SUSPECTS).set(suspects as f64);
    }

    fn carry_out(&mut self, now: Instant, effect: DispatchEffect, directory: &ServerDirectory) {
        match effect {
            DispatchEffect::Start {
                request, attempt, ..
            } => {
                if let Some(open) = self.open.get_mut(&request) {
                    open.attempt = Some(attempt);
                }
                match attempt_order(effect, directory) {
                    Ok(order) => self.send(request, RequestDecision::Start(order)),
                    Err(stage) => self.end_unreachable(now, attempt, stage, directory),
                }
            }
            DispatchEffect::Refuse {
                request,
                reason,
                retry_after,
            } => {
                self.send(
                    request,
                    RequestDecision::Refuse {
                        reason,
                        retry_after,
                    },
                );
                self.open.remove(&request);
            }
        }
    }

    /// Lets a request go again whose server has just left the directory.
    fn end_unreachable(
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

    fn send(&self, request: RequestId, decision: RequestDecision) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        // A failed send means that the request is ending; its `Finished` message follows.
        let _ = open.decisions.send(decision);
    }
}

/// Adds the addresses of the chosen engines, or tells the stage whose engine has left the directory.
fn attempt_order(
    effect: DispatchEffect,
    directory: &ServerDirectory,
) -> Result<AttemptOrder, RequestStage> {
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
    Ok(AttemptOrder {
        attempt,
        decode: directory.endpoint(&decode).ok_or(RequestStage::Reserve)?,
        prefill: directory.endpoint(&prefill).ok_or(RequestStage::Prefill)?,
        priority,
        prefill_after,
        first_token_within,
    })
}
