//! One try of a request: reservation, prefill and the open stream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix::Addr;
use gs_control::dispatch::{AttemptEnd, DispatchEvent, RequestStage};
use gs_protocol::engine::{KvSource, PrefillRequest, ReserveRequest, StreamRequest};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use tokio::time::sleep;

use super::plan::AnswerPlan;
use crate::control::{AttemptOrder, ControlActor, ControlMessage};
use crate::engine::{EngineClient, EngineFailure, EventReader};
use crate::reclaim::ReclaimCall;
use crate::telemetry;

/// Has everything freed that a try holds, unless it is closed first.
struct AttemptHold {
    attempt: AttemptId,
    engines: Vec<SocketAddr>,
    control: Addr<ControlActor>,
}

impl AttemptHold {
    /// Nothing is held any more.
    fn close(mut self) {
        self.engines.clear();
    }
}

impl Drop for AttemptHold {
    fn drop(&mut self) {
        if self.engines.is_empty() {
            return;
        }
        let engines = std::mem::take(&mut self.engines);
        let call = ReclaimCall {
            attempt: self.attempt,
            engines,
        };
        self.control.do_send(ControlMessage::Reclaim(call));
    }
}

/// A try whose stream is open.
pub struct OpenAttempt {
    /// The try.
    pub attempt: AttemptId,
    /// The engine's events.
    pub reader: EventReader,
    /// When the first token must have come.
    pub first_token_by: Instant,
    /// Prompt tokens that were computed for this try.
    pub computed_tokens: u32,
    /// Whether a token of it has come.
    pub has_token: bool,
    hold: AttemptHold,
}

impl OpenAttempt {
    /// Ends a try whose engine has freed everything.
    pub fn close(self) {
        self.hold.close();
    }
}

/// Runs tries for one answer.
pub struct AttemptRunner<'a> {
    /// The request.
    pub plan: &'a AnswerPlan,
    /// Calls to engines.
    pub engines: &'a EngineClient,
    /// The control thread.
    pub control: &'a Addr<ControlActor>,
    /// This start of this entry.
    pub owner: &'a EntryIdentity,
    /// How long a reservation may take.
    pub reserve_timeout: Duration,
    /// The index of the first token that the caller still needs.
    pub from_index: u32,
}

impl AttemptRunner<'_> {
    /// Takes a try up to its open stream. A failed try holds nothing when this returns.
    pub async fn open(&self, order: &AttemptOrder) -> Result<OpenAttempt, AttemptEnd> {
        let first_token_by = Instant::now() + order.first_token_within;
        let mut hold = AttemptHold {
            attempt: order.attempt,
            engines: vec![order.decode.address],
            control: self.control.clone(),
        };
        if let Err(failure) = self.reserve(order).await {
            if matches!(failure, EngineFailure::Refused(_)) {
                hold.close();
            }
            return Err(attempt_end(&failure, RequestStage::Reserve, 0));
        }
        let mut computed_tokens = 0;
        if self.from_index == 0 {
            // The timer's ticks are coarse: even an empty wait would take up to a millisecond.
            if !order.prefill_after.is_zero() {
                sleep(order.prefill_after).await;
            }
            hold.engines.push(order.prefill.address);
            computed_tokens = self.prefill(order, first_token_by).await?;
        }
        let within = remaining(first_token_by);
        let body = self.stream(order);
        let opened = self
            .engines
            .open_stream(order.decode.address, &body, within);
        let reader = opened.await.map_err(|failure| {
            count_waste(computed_tokens);
            attempt_end(&failure, RequestStage::Transfer, self.from_index)
        })?;
        let attempt = order.attempt;
        Ok(OpenAttempt {
            attempt,
            reader,
            first_token_by,
            computed_tokens,
            has_token: false,
            hold,
        })
    }

    async fn reserve(&self, order: &AttemptOrder) -> Result<(), EngineFailure> {
        let body = ReserveRequest {
            attempt: order.attempt,
            owner: self.owner.clone(),
            model: self.plan.model.clone(),
            tokens: self.plan.prompt_tokens.saturating_add(self.plan.max_tokens),
            ttl: order.first_token_within,
        };
        self.engines
            .reserve(order.decode.address, &body, self.reserve_timeout)
            .await?;
        Ok(())
    }

    /// Runs the prefill; returns how many tokens were computed.
    async fn prefill(&self, order: &AttemptOrder, by: Instant) -> Result<u32, AttemptEnd> {
        let body = PrefillRequest {
            attempt: order.attempt,
            owner: self.owner.clone(),
            model: self.plan.model.clone(),
            priority: order.priority,
            prompt: self.plan.prompt.clone(),
        };
        let answer = self
            .engines
            .prefill(order.prefill.address, &body, remaining(by))
            .await
            .map_err(|failure| attempt_end(&failure, RequestStage::Prefill, 0))?;
        let (attempt, cached_tokens) = (order.attempt, answer.cached_tokens);
        let event = DispatchEvent::PrefillDone {
            attempt,
            cached_tokens,
        };
        self.control.do_send(ControlMessage::Dispatch(event));
        Ok(answer.prompt_tokens.saturating_sub(cached_tokens))
    }

    fn stream(&self, order: &AttemptOrder) -> StreamRequest {
        let source = if self.from_index == 0 {
            KvSource::Engine {
                address: order.prefill.address,
            }
        } else {
            KvSource::Recompute {
                prompt: self.plan.prompt.clone(),
            }
        };
        StreamRequest {
            attempt: order.attempt,
            owner: self.owner.clone(),
            model: self.plan.model.clone(),
            source,
            max_tokens: self.plan.max_tokens,
            from_index: self.from_index,
            seed: self.plan.seed,
        }
    }
}

/// How a try has ended whose call failed.
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

/// Counts a prefill that brought no token.
pub fn count_waste(computed_tokens: u32) {
    metrics::counter!(telemetry::WASTED_PREFILL_TOKENS_TOTAL).increment(computed_tokens.into());
}

/// The time until an instant; zero if it has passed.
pub fn remaining(by: Instant) -> Duration {
    by.saturating_duration_since(Instant::now())
}
