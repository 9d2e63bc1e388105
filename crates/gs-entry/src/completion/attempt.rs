//! One attempt of a request: reservation, prefill and stream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix::Addr;
use gs_control::dispatch::{AttemptEnd, DispatchEvent, RequestStage};
use gs_protocol::engine::{KvSource, PrefillRequest, ReserveRequest, StreamRequest};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use tokio::time::sleep;

use super::params::GenerationParams;
use crate::control::{AttemptPlacement, ControlActor, ControlMessage};
use crate::engine::{EngineClient, EngineFailure, EventReader};
use crate::reclaim::ReclaimRequest;
use crate::telemetry;

/// Requests the release of an attempt's engine resources when dropped, unless disarmed.
struct AttemptGuard {
    attempt: AttemptId,
    engines: Vec<SocketAddr>,
    control: Addr<ControlActor>,
}

impl AttemptGuard {
    /// Disarms the guard: the attempt holds no engine resources any more.
    fn disarm(mut self) {
        self.engines.clear();
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.engines.is_empty() {
            return;
        }
        let engines = std::mem::take(&mut self.engines);
        let request = ReclaimRequest {
            attempt: self.attempt,
            engines,
        };
        self.control.do_send(ControlMessage::Reclaim(request));
    }
}

/// An attempt whose stream is open.
pub struct OpenAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Reader of the stream's events.
    pub reader: EventReader,
    /// Address of the decode engine.
    pub decode: SocketAddr,
    /// Deadline for the first token.
    pub first_token_deadline: Instant,
    /// Prompt tokens that the prefill computed for this attempt, without cached ones.
    pub computed_tokens: u32,
    /// Whether a token of this attempt arrived.
    pub has_token: bool,
    guard: AttemptGuard,
}

impl OpenAttempt {
    /// Closes an attempt whose engine has released all resources.
    pub fn close(self) {
        self.guard.disarm();
    }
}

/// Starts attempts for one answer.
pub struct AttemptRunner<'a> {
    /// Parameters of the generation.
    pub params: &'a GenerationParams,
    /// Client for engine calls.
    pub engines: &'a EngineClient,
    /// Address of the control thread's actor.
    pub control: &'a Addr<ControlActor>,
    /// Identity of this entry, which owns the resources of the attempt.
    pub owner: &'a EntryIdentity,
    /// Time limit for the reservation.
    pub reserve_timeout: Duration,
    /// Index of the first token that the caller has not received.
    pub from_index: u32,
}

impl AttemptRunner<'_> {
    /// Reserves, prefills and opens the stream. If this fails, resources that the attempt may hold
    /// are released.
    pub async fn open(&self, placement: &AttemptPlacement) -> Result<OpenAttempt, AttemptEnd> {
        let first_token_deadline = Instant::now() + placement.first_token_within;
        let mut guard = AttemptGuard {
            attempt: placement.attempt,
            engines: vec![placement.decode.address],
            control: self.control.clone(),
        };
        if let Err(failure) = self.reserve(placement).await {
            if matches!(failure, EngineFailure::Refused(_)) {
                guard.disarm();
            }
            return Err(attempt_end(&failure, RequestStage::Reserve, 0));
        }
        let mut computed_tokens = 0;
        if self.from_index == 0 {
            // The timer's granularity is coarse: even a zero delay would wait up to a millisecond.
            if !placement.prefill_after.is_zero() {
                sleep(placement.prefill_after).await;
            }
            guard.engines.push(placement.prefill.address);
            computed_tokens = self.prefill(placement, first_token_deadline).await?;
        }
        let time_limit = time_until(first_token_deadline);
        let body = self.stream(placement);
        let opened = self
            .engines
            .open_stream(placement.decode.address, &body, time_limit);
        let reader = opened.await.map_err(|failure| {
            count_wasted_prefill(computed_tokens);
            attempt_end(&failure, RequestStage::Transfer, self.from_index)
        })?;
        let attempt = placement.attempt;
        Ok(OpenAttempt {
            attempt,
            reader,
            decode: placement.decode.address,
            first_token_deadline,
            computed_tokens,
            has_token: false,
            guard,
        })
    }

    async fn reserve(&self, placement: &AttemptPlacement) -> Result<(), EngineFailure> {
        let body = ReserveRequest {
            attempt: placement.attempt,
            owner: self.owner.clone(),
            model: self.params.model.clone(),
            tokens: self
                .params
                .prompt_tokens
                .saturating_add(self.params.max_tokens),
            ttl: placement.first_token_within,
        };
        self.engines
            .reserve(placement.decode.address, &body, self.reserve_timeout)
            .await?;
        Ok(())
    }

    /// Runs the prefill and returns the number of computed tokens, without cached ones.
    async fn prefill(
        &self,
        placement: &AttemptPlacement,
        deadline: Instant,
    ) -> Result<u32, AttemptEnd> {
        let body = PrefillRequest {
            attempt: placement.attempt,
            owner: self.owner.clone(),
            model: self.params.model.clone(),
            priority: placement.priority,
            prompt: self.params.prompt.clone(),
        };
        let answer = self
            .engines
            .prefill(placement.prefill.address, &body, time_until(deadline))
            .await
            .map_err(|failure| attempt_end(&failure, RequestStage::Prefill, 0))?;
        let (attempt, cached_tokens) = (placement.attempt, answer.cached_tokens);
        let event = DispatchEvent::PrefillDone {
            attempt,
            cached_tokens,
        };
        self.control.do_send(ControlMessage::Dispatch(event));
        Ok(answer.prompt_tokens.saturating_sub(cached_tokens))
    }

    fn stream(&self, placement: &AttemptPlacement) -> StreamRequest {
        let source = if self.from_index == 0 {
            KvSource::Engine {
                address: placement.prefill.address,
            }
        } else {
            KvSource::Recompute {
                prompt: self.params.prompt.clone(),
            }
        };
        StreamRequest {
            attempt: placement.attempt,
            owner: self.owner.clone(),
            model: self.params.model.clone(),
            source,
            max_tokens: self.params.max_tokens,
            from_index: self.from_index,
            seed: self.params.seed,
        }
    }
}

/// Converts a failed engine call to the end of the attempt.
pub fn attempt_end(failure: &EngineFailure, stage: RequestStage, tokens: u32) -> AttemptEnd {
    match failure {
        EngineFailure::Refused(reason) => AttemptEnd::Refused {
            stage,
            reason: *reason,
        },
        EngineFailure::Broken { .. }
        | EngineFailure::Unreachable
        | EngineFailure::Silent { .. }
        | EngineFailure::Malformed { .. } => AttemptEnd::Lost { stage, tokens },
    }
}

/// Counts the tokens of a wasted prefill, whose attempt produced no token.
pub fn count_wasted_prefill(computed_tokens: u32) {
    metrics::counter!(telemetry::WASTED_PREFILL_TOKENS_TOTAL).increment(computed_tokens.into());
}

/// Time until a deadline; zero if it has passed.
pub fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
