//! Generates the tokens of one answer, in as many attempts as the control thread starts.

use std::time::{Duration, Instant};

use gs_control::dispatch::{AttemptEnd, DispatchEvent, RequestDemand, RequestStage};
use gs_protocol::engine::StreamEvent;
use gs_protocol::ids::AttemptId;
use gs_protocol::prefix::hash_prefixes;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::sleep_until;

use super::attempt::{AttemptRunner, OpenAttempt, attempt_end, count_wasted_prefill, time_until};
use super::params::GenerationParams;
use crate::control::{ControlMessage, RequestDecision};
use crate::engine::EngineFailure;
use crate::telemetry;
use crate::traffic::{CallerRefusal, RequestContext, TrafficState};

/// Whether an answer has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerProgress {
    /// More tokens may follow.
    More,
    /// The answer is complete.
    Complete,
}

/// An answer in progress. Dropping it cancels the request and releases all engine resources.
pub struct AnswerGenerator {
    context: RequestContext,
    params: GenerationParams,
    state: actix_web::web::Data<TrafficState>,
    decisions: UnboundedReceiver<RequestDecision>,
    open_attempt: Option<OpenAttempt>,
    events: Vec<StreamEvent>,
    tokens: u32,
    last_token: Option<Instant>,
    may_have_run: bool,
    started: bool,
}

impl AnswerGenerator {
    /// Sends the request to the control thread.
    pub fn new(
        context: RequestContext,
        params: GenerationParams,
        state: actix_web::web::Data<TrafficState>,
    ) -> Self {
        let (sender, decisions) = unbounded_channel();
        let demand = RequestDemand {
            request: context.request,
            caller: context.caller.clone(),
            model: params.model.clone(),
            prompt_tokens: params.prompt_tokens,
            prefix_hashes: hash_prefixes(&params.prompt),
            max_tokens: params.max_tokens,
            fingerprint: params.fingerprint,
        };
        state.control.do_send(ControlMessage::RequestArrived {
            demand,
            decisions: sender,
        });
        Self {
            context,
            params,
            state,
            decisions,
            open_attempt: None,
            events: Vec::new(),
            tokens: 0,
            last_token: None,
            may_have_run: false,
            started: false,
        }
    }

    /// The request to answer.
    pub fn context(&self) -> &RequestContext {
        &self.context
    }

    /// Parameters of the generation.
    pub fn params(&self) -> &GenerationParams {
        &self.params
    }

    /// Number of tokens received so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Time at which the request ends, even if its answer is not complete then.
    pub fn ends_at(&self) -> Instant {
        self.context.arrived_at + self.state.settings.timeouts.completion
    }

    /// Waits for the next tokens and appends their texts to `texts`.
    pub async fn next_tokens(
        &mut self,
        texts: &mut Vec<String>,
    ) -> Result<AnswerProgress, CallerRefusal> {
        let shutdown = self.state.shutdown.clone();
        let ends_at = self.ends_at();
        tokio::select! {
            biased;
            progress = self.read_tokens(texts) => progress,
            () = sleep_until(ends_at.into()) => {
                Err(self.refusal(RefusalReason::DeadlinePassed, None))
            }
            () = shutdown.final_answers_due() => {
                let reason = match self.may_have_run {
                    true => RefusalReason::ServerFailed,
                    false => RefusalReason::ShuttingDown,
                };
                Err(self.refusal(reason, None))
            }
        }
    }

    async fn read_tokens(
        &mut self,
        texts: &mut Vec<String>,
    ) -> Result<AnswerProgress, CallerRefusal> {
        loop {
            if self.open_attempt.is_none() {
                self.start_attempt().await?;
                continue;
            }
            match self.read_events(texts).await {
                Ok(AnswerProgress::More) if texts.is_empty() => {}
                Ok(progress) => return Ok(progress),
                Err(end) => {
                    self.end_attempt(end);
                    if !texts.is_empty() {
                        return Ok(AnswerProgress::More);
                    }
                }
            }
        }
    }

    /// Waits for a decision and starts the attempt, or returns the refusal.
    async fn start_attempt(&mut self) -> Result<(), CallerRefusal> {
        let Some(decision) = self.decisions.recv().await else {
            return Err(self.refusal(RefusalReason::ShuttingDown, None));
        };
        let placement = match decision {
            RequestDecision::Refuse {
                reason,
                retry_after,
            } => {
                return Err(self.refusal(reason, retry_after));
            }
            RequestDecision::Start(placement) => placement,
        };
        if !self.started {
            self.started = true;
            self.context
                .metrics
                .queue_wait
                .record(self.context.arrived_at.elapsed());
        }
        let runner = AttemptRunner {
            params: &self.params,
            engines: &self.state.engines,
            control: &self.state.control,
            owner: &self.state.identity,
            reserve_timeout: self.state.settings.timeouts.reserve,
            from_index: self.tokens,
        };
        // The attempt may be given up while it is opened.
        let had_run = std::mem::replace(&mut self.may_have_run, true);
        match runner.open(&placement).await {
            Ok(open_attempt) => self.open_attempt = Some(open_attempt),
            Err(end) => {
                self.may_have_run = had_run || may_have_run(end);
                self.report_end(placement.attempt, end);
            }
        }
        Ok(())
    }

    /// Reads the next events of the open stream. An error ends the attempt; the answer may continue
    /// in another one.
    async fn read_events(&mut self, texts: &mut Vec<String>) -> Result<AnswerProgress, AttemptEnd> {
        let silence_limit = self.silence_limit();
        let Some(open_attempt) = &mut self.open_attempt else {
            return Ok(AnswerProgress::More);
        };
        let mut events = std::mem::take(&mut self.events);
        let mut read = open_attempt
            .reader
            .next_events(silence_limit, &mut events)
            .await;
        // An engine may take long for the first token, but it answers load polls meanwhile.
        if matches!(read, Err(EngineFailure::Silent { .. }))
            && !open_attempt.has_token
            && !time_until(open_attempt.first_token_deadline).is_zero()
        {
            let engine_silent = self.state.settings.timeouts.engine_silent;
            let poll = self.state.engines.load(open_attempt.decode, engine_silent);
            read = poll.await.map(drop);
        }
        let stage = if self.last_token.is_some() {
            RequestStage::Stream
        } else {
            RequestStage::Transfer
        };
        let mut progress = Ok(AnswerProgress::More);
        if let Err(failure) = read {
            progress = Err(attempt_end(&failure, stage, self.tokens));
        }
        for event in events.drain(..) {
            progress = self.apply_event(event, stage, texts);
            if progress != Ok(AnswerProgress::More) {
                break;
            }
        }
        self.events = events;
        progress
    }

    fn apply_event(
        &mut self,
        event: StreamEvent,
        stage: RequestStage,
        texts: &mut Vec<String>,
    ) -> Result<AnswerProgress, AttemptEnd> {
        let attempt = event.attempt();
        if self
            .open_attempt
            .as_ref()
            .map(|open_attempt| open_attempt.attempt)
            != Some(attempt)
        {
            return Ok(count_late_event());
        }
        let lost = AttemptEnd::Lost {
            stage,
            tokens: self.tokens,
        };
        match event {
            StreamEvent::Token { index, .. } if index < self.tokens => Ok(count_late_event()),
            StreamEvent::Token { index, .. } if index > self.tokens => Err(lost),
            StreamEvent::Token { text, .. } => {
                self.record_token(attempt);
                texts.push(text);
                Ok(AnswerProgress::More)
            }
            StreamEvent::End { tokens, .. } if tokens != self.tokens => Err(lost),
            StreamEvent::End { .. } => {
                self.finish();
                Ok(AnswerProgress::Complete)
            }
            StreamEvent::Failed { reason, .. } => Err(AttemptEnd::Refused { stage, reason }),
        }
    }

    fn record_token(&mut self, attempt: AttemptId) {
        let now = Instant::now();
        match self.last_token {
            Some(last) => self.context.metrics.between_tokens.record(now - last),
            None => {
                self.context
                    .metrics
                    .first_token
                    .record(now - self.context.arrived_at);
            }
        }
        self.report_first_token(attempt);
        self.last_token = Some(now);
        self.tokens += 1;
    }

    /// Reports the first token of each attempt to the control thread.
    fn report_first_token(&mut self, attempt: AttemptId) {
        let Some(open_attempt) = &mut self.open_attempt else {
            return;
        };
        if std::mem::replace(&mut open_attempt.has_token, true) {
            return;
        }
        let event = DispatchEvent::FirstToken(attempt);
        self.state.control.do_send(ControlMessage::Dispatch(event));
    }

    fn finish(&mut self) {
        self.context.metrics.answers.increment(1);
        let Some(open_attempt) = self.open_attempt.take() else {
            return;
        };
        self.report_end(
            open_attempt.attempt,
            AttemptEnd::Completed {
                tokens: self.tokens,
            },
        );
        open_attempt.close();
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        let Some(open_attempt) = self.open_attempt.take() else {
            return;
        };
        if self.tokens == 0 {
            count_wasted_prefill(open_attempt.computed_tokens);
        }
        let (request, attempt) = (self.context.request, open_attempt.attempt);
        log::info!(target: "completion", request:%, attempt:%; "Attempt ended: {end:?}.");
        self.report_end(attempt, end);
    }

    fn report_end(&self, attempt: AttemptId, end: AttemptEnd) {
        let event = DispatchEvent::AttemptEnded { attempt, end };
        self.state.control.do_send(ControlMessage::Dispatch(event));
    }

    /// Maximum time until the next event of the stream, or until the engine is polled if the attempt
    /// has no token yet.
    fn silence_limit(&self) -> Duration {
        let engine_silent = self.state.settings.timeouts.engine_silent;
        match &self.open_attempt {
            Some(open_attempt) if !open_attempt.has_token => {
                let left = time_until(open_attempt.first_token_deadline);
                // A resumed stream recomputes the prompt before its first token.
                match self.last_token {
                    Some(_) if left.is_zero() => engine_silent,
                    Some(_) | None => left.min(engine_silent),
                }
            }
            _ => engine_silent,
        }
    }

    fn refusal(&self, reason: RefusalReason, retry_after: Option<Duration>) -> CallerRefusal {
        let outcome = if self.may_have_run {
            RequestOutcome::Unknown
        } else {
            RequestOutcome::NotRun
        };
        let detail = match self.tokens {
            0 => format!("the request was refused: {}", reason.label()),
            tokens => format!(
                "the answer was interrupted after {tokens} tokens: {}",
                reason.label()
            ),
        };
        CallerRefusal {
            reason,
            outcome,
            detail,
            retry_after,
        }
    }
}

impl Drop for AnswerGenerator {
    fn drop(&mut self) {
        self.state
            .control
            .do_send(ControlMessage::RequestFinished(self.context.request));
    }
}

/// Counts a dropped event: it belongs to another attempt or repeats a token that the caller has.
fn count_late_event() -> AnswerProgress {
    metrics::counter!(telemetry::LATE_EVENTS_TOTAL).increment(1);
    AnswerProgress::More
}

/// Whether an ended attempt may have executed part of the request.
fn may_have_run(end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::Completed { .. } => true,
        AttemptEnd::Lost { stage, .. } => stage != RequestStage::Reserve,
        AttemptEnd::Refused { stage, .. } => {
            matches!(stage, RequestStage::Stream | RequestStage::Transfer)
        }
        AttemptEnd::Cancelled => false,
    }
}
