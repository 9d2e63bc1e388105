//! Test harness, document and fleet for the tests of dispatch.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::dispatch::{
    AttemptEnd, DispatchEffect, DispatchEvent, DispatchSettings, DispatchState, RequestDemand,
    ServerObservation,
};
use gs_document::document::{
    CallerEntry, CallerRank, EnvironmentDocument, ModelEntry, ServerKindEntry, ServerProtocol,
};
use gs_protocol::engine::{EngineRole, LoadReport};
use gs_protocol::ids::{AttemptId, FenceNumber, RequestId, ServerName};
use gs_protocol::prefix::PrefixHash;
use gs_protocol::refusal::RefusalReason;
use gs_protocol::suspicion::RequestFingerprint;
use uuid::Uuid;

pub const MODEL: &str = "care-notes";
pub const KIND: &str = "care-notes-engine";
pub const MAX_STREAMS: u32 = 4;

/// Document entry of a caller that may use [`MODEL`]. `share` is its guaranteed share, 0 to 1.
pub fn caller(rank: CallerRank, share: f64, first_token_ms: u64) -> CallerEntry {
    CallerEntry {
        token_digests: Vec::new(),
        rank,
        first_token: Duration::from_millis(first_token_ms),
        between_tokens: Duration::from_millis(60),
        worth: 1.0,
        guaranteed_share: share,
        queue_bound: 1_000,
        models: vec![MODEL.into()],
        services: Vec::new(),
    }
}

pub fn document(callers: &[(&str, CallerEntry)]) -> Arc<EnvironmentDocument> {
    let model = ModelEntry {
        server_kind: KIND.into(),
        max_prompt_tokens: 100_000,
        max_output_tokens: 10_000,
    };
    let kind = ServerKindEntry {
        protocol: ServerProtocol::Engine,
        checks_fence: false,
    };
    Arc::new(EnvironmentDocument {
        callers: callers
            .iter()
            .map(|(name, entry)| ((*name).into(), entry.clone()))
            .collect(),
        models: BTreeMap::from([(MODEL.into(), model)]),
        services: BTreeMap::new(),
        server_kinds: BTreeMap::from([(KIND.into(), kind)]),
        operators: BTreeMap::new(),
        key_retention: Duration::from_secs(3_600),
    })
}

/// Load report of an idle server that prefills 10 000 tokens per second and takes 10 ms plus 0.5 ms
/// per stream for a decode step.
pub fn idle_report(server: &str, role: EngineRole) -> LoadReport {
    LoadReport {
        server: server.into(),
        role,
        models: vec![MODEL.into()],
        leaving: false,
        streams: 0,
        reservations: 0,
        max_streams: MAX_STREAMS,
        prefill_tokens: 0,
        prefills: 0,
        free_blocks: 2_000,
        total_blocks: 2_000,
        transfer_bytes: 0,
        prefill_rate: 10_000,
        link_rate: 1_000_000_000,
        step_base_us: 10_000,
        step_stream_us: 500,
        fence: FenceNumber(0),
        boot: 1,
    }
}

pub fn observation(report: LoadReport) -> ServerObservation {
    ServerObservation {
        kind: KIND.into(),
        data_centre: "duluth".into(),
        delay: Duration::from_micros(200),
        report,
    }
}

pub fn request(number: u64) -> RequestId {
    RequestId(Uuid::from_u64_pair(0, number))
}

/// Request whose number determines its id, fingerprint and prefix hashes, so it shares no prefix
/// with others.
pub fn demand(number: u64, caller: &str, prompt_tokens: u32) -> RequestDemand {
    RequestDemand {
        request: request(number),
        caller: caller.into(),
        model: MODEL.into(),
        prompt_tokens,
        prefix_hashes: (0..u64::from(prompt_tokens / 16))
            .map(|block| PrefixHash(number << 32 | block))
            .collect(),
        max_tokens: 20,
        fingerprint: RequestFingerprint(number),
    }
}

/// Data of a [`DispatchEffect::Start`].
#[derive(Clone, Debug, PartialEq)]
pub struct StartedAttempt {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub decode: ServerName,
    pub prefill: ServerName,
    pub first_token_within: Duration,
}

/// A dispatch state with a manual clock and the effects that were not taken yet.
pub struct DispatchHarness {
    pub state: DispatchState,
    pub now: Instant,
    pub effects: Vec<DispatchEffect>,
}

impl DispatchHarness {
    pub fn new(settings: DispatchSettings, callers: &[(&str, CallerEntry)]) -> Self {
        let mut harness = Self {
            state: DispatchState::new(settings, 7),
            now: Instant::now(),
            effects: Vec::new(),
        };
        harness.send(DispatchEvent::DocumentApplied(document(callers)));
        harness
    }

    /// Adds idle prefill servers `p0…` and decode servers `d0…`.
    pub fn with_servers(mut self, prefills: usize, decodes: usize) -> Self {
        for index in 0..prefills {
            self.report_load(idle_report(&format!("p{index}"), EngineRole::Prefill));
        }
        for index in 0..decodes {
            self.report_load(idle_report(&format!("d{index}"), EngineRole::Decode));
        }
        self
    }

    pub fn report_load(&mut self, report: LoadReport) {
        self.send(DispatchEvent::LoadReported(observation(report)));
    }

    pub fn send(&mut self, event: DispatchEvent) {
        self.state.handle(self.now, event, &mut self.effects);
    }

    pub fn send_request(&mut self, number: u64, caller: &str, prompt_tokens: u32) {
        self.send(DispatchEvent::RequestArrived(demand(
            number,
            caller,
            prompt_tokens,
        )));
    }

    pub fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.send(DispatchEvent::AttemptEnded { attempt, end });
    }

    pub fn advance_ms(&mut self, delay_ms: u64) {
        self.now += Duration::from_millis(delay_ms);
        self.send(DispatchEvent::Tick);
    }

    /// Takes the starts emitted since the last call.
    pub fn take_starts(&mut self) -> Vec<StartedAttempt> {
        let mut starts = Vec::new();
        self.effects.retain(|effect| match effect {
            DispatchEffect::Start {
                request,
                attempt,
                decode,
                prefill,
                first_token_within,
                ..
            } => {
                starts.push(StartedAttempt {
                    request: *request,
                    attempt: *attempt,
                    decode: decode.clone(),
                    prefill: prefill.clone(),
                    first_token_within: *first_token_within,
                });
                false
            }
            DispatchEffect::Refuse { .. } => true,
        });
        starts
    }

    /// Takes the refusals emitted since the last call.
    pub fn take_refusals(&mut self) -> Vec<(RequestId, RefusalReason)> {
        let mut refusals = Vec::new();
        self.effects.retain(|effect| match effect {
            DispatchEffect::Refuse {
                request, reason, ..
            } => {
                refusals.push((*request, *reason));
                false
            }
            DispatchEffect::Start { .. } => true,
        });
        refusals
    }
}
