//! The tokens of one answer, over as many tries as the control thread allows.

use std::time::{Duration, Instant};

use gs_control::dispatch::{AttemptEnd, DispatchEvent, RequestDemand, RequestStage};
use gs_protocol::engine::StreamEvent;
use gs_protocol::ids::AttemptId;
use gs_protocol::prefix::hash_prefixes;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_protocol::suspicion::PromptFingerprint;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::attempt::{AttemptRunner, OpenAttempt, attempt_end, count_waste, remaining};
use super::plan::AnswerPlan;
use crate::control::{ControlMessage, RequestDecision};
use crate::telemetry;
use crate::traffic::{CallerRefusal, RequestContext, TrafficState};

/// Whether an answer goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerProgress {
    /// More tokens follow.
    More,
    /// The answer is whole.
    Whole,
}

/// One answer that is being made. Dropping it gives the request up and frees all that it holds.
pub struct AnswerRun {
    context: RequestContext,
    plan: AnswerPlan,
    state: actix_web::web::Data<TrafficState>,
    decisions: UnboundedReceiver<RequestDecision>,
    open: Option<OpenAttempt>,
    events: Vec<StreamEvent>,
    tokens: u32,
    last_token: Option<Instant>,
    may_have_run: bool,
    started: bool,
}

impl AnswerRun {
    /// Hands the request to the control thread.
    pub fn new(
        context: RequestContext,
        plan: AnswerPlan,
        state: actix_web::web::Data<TrafficState>,
    ) -> Self {
        let (sender, decisions) = unbounded_channel();
        let demand = RequestDemand {
            request: context.request,
            caller: context.caller.clone(),
            model: plan.model.clone(),
            prompt_tokens: plan.prompt_tokens,
            prefix_hashes: hash_prefixes(&plan.prompt),
            max_tokens: plan.max_tokens,
            fingerprint: PromptFingerprint::new(&plan.model, &plan.prompt),
        };
        state.control.do_send(ControlMessage::Arrived {
            demand,
            decisions: sender,
        });
        Self {
            context,
            plan,
            state,
            decisions,
            open: None,
            events: Vec::new(),
            tokens: 0,
            last_token: None,
            may_have_run: false,
            started: false,
        }
    }

    /// The request that is answered.
    pub fn context(&self) -> &RequestContext {
        &self.context
    }

    /// What is asked.
    pub fn plan(&self) -> &AnswerPlan {
        &self.plan
    }

    /// Tokens that have come so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Waits for the next tokens and adds their texts.
    pub async fn next_tokens(
        &mut self,
        texts: &mut Vec<String>,
    ) -> Result<AnswerProgress, CallerRefusal> {
        loop {
            if self.open.is_none() {
                self.open_attempt().await?;
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

    /// Waits for a decision and carries it out.
    async fn open_attempt(&mut self) -> Result<(), CallerRefusal> {
        let Some(decision) = self.decisions.recv().await else {
            return Err(self.refusal(RefusalReason::ShuttingDown, None));
        };
        let order = match decision {
            RequestDecision::Refuse {
                reason,
                retry_after,
            } => {
                return Err(self.refusal(reason, retry_after));
            }
            RequestDecision::Start(order) => order,
        };
        if !self.started {
            self.started = true;
            self.context
                .meters
                .queue_wait
                .record(self.context.arrived.elapsed());
        }
        let runner = AttemptRunner {
            plan: &self.plan,
            engines: &self.state.engines,
            control: &self.state.control,
            owner: &self.state.identity,
            reserve_timeout: self.state.settings.timeouts.reserve,
            from_index: self.tokens,
        };
        match runner.open(&order).await {
            Ok(open) => {
                self.may_have_run = true;
                self.open = Some(open);
            }
            Err(end) => {
                self.may_have_run |= may_have_run(end);
                self.report_end(order.attempt, end);
            }
        }
        Ok(())
    }

    /// Reads what the open stream brings. An error ends the try, not yet the answer.
    async fn read_events(&mut self, texts: &mut Vec<String>) -> Result<AnswerProgress, AttemptEnd> {
        let silence = self.silence();
        let Some(open) = &mut self.open else {
            return Ok(AnswerProgress::More);
        };
        let mut events = std::mem::take(&mut self.events);
        let read = open.reader.next_events(silence, &mut events).await;
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
            progress = self.take_event(event, stage, texts);
            if progress != Ok(AnswerProgress::More) {
                break;
            }
        }
        self.events = events;
        progress
    }

    fn take_event(
        &mut self,
        event: StreamEvent,
        stage: RequestStage,
        texts: &mut Vec<String>,
    ) -> Result<AnswerProgress, AttemptEnd> {
        let attempt = event.attempt();
        if self.open.as_ref().map(|open| open.attempt) != Some(attempt) {
            return Ok(drop_late());
        }
        let lost = AttemptEnd::Lost {
            stage,
            tokens: self.tokens,
        };
        match event {
            StreamEvent::Token { index, .. } if index < self.tokens => Ok(drop_late()),
            StreamEvent::Token { index, .. } if index > self.tokens => Err(lost),
            StreamEvent::Token { text, .. } => {
                self.note_token(attempt);
                texts.push(text);
                Ok(AnswerProgress::More)
            }
            StreamEvent::End { tokens, .. } if tokens != self.tokens => Err(lost),
            StreamEvent::End { .. } => {
                self.finish();
                Ok(AnswerProgress::Whole)
            }
            StreamEvent::Failed { reason, .. } => Err(AttemptEnd::Refused { stage, reason }),
        }
    }

    fn note_token(&mut self, attempt: AttemptId) {
        let now = Instant::now();
        match self.last_token {
            Some(last) => self.context.meters.between_tokens.record(now - last),
            None => {
                self.context
                    .meters
                    .first_token
                    .record(now - self.context.arrived);
            }
        }
        self.note_first_of_attempt(attempt);
        self.last_token = Some(now);
        self.tokens += 1;
    }

    /// Tells the control thread of the first token of each try.
    fn note_first_of_attempt(&mut self, attempt: AttemptId) {
        let Some(open) = &mut self.open else { return };
        if std::mem::replace(&mut open.has_token, true) {
            return;
        }
        let event = DispatchEvent::FirstToken(attempt);
        self.state.control.do_send(ControlMessage::Dispatch(event));
    }

    fn finish(&mut self) {
        self.context.meters.answers.increment(1);
        let Some(open) = self.open.take() else { return };
        self.report_end(
            open.attempt,
            AttemptEnd::Completed {
                tokens: self.tokens,
            },
        );
        open.close();
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        let Some(open) = self.open.take() else { return };
        if self.tokens == 0 {
            count_waste(open.computed_tokens);
        }
        let (request, attempt) = (self.context.request, open.attempt);
        log::info!(target: "completion", request:%, attempt:%; "Attempt ended: {end:?}.");
        self.report_end(attempt, end);
    }

    fn report_end(&self, attempt: AttemptId, end: AttemptEnd) {
        let event = DispatchEvent::AttemptEnded { attempt, end };
        self.state.control.do_send(ControlMessage::Dispatch(event));
    }

    /// How long the stream may be silent now.
    fn silence(&self) -> Duration {
        let silent = self.state.settings.timeouts.engine_silent;
        match (&self.open, self.last_token) {
            (Some(open), None) => remaining(open.first_token_by),
            // A resumed stream computes its prompt first.
            (Some(open), Some(_)) if !open.has_token => remaining(open.first_token_by).max(silent),
            _ => silent,
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
                "the answer broke off after {tokens} tokens: {}",
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

impl Drop for AnswerRun {
    fn drop(&mut self) {
        self.state
            .control
            .do_send(ControlMessage::Finished(self.context.request));
    }
}

/// Counts an event that came late: of another attempt, or of a token that the caller has.
fn drop_late() -> AnswerProgress {
    metrics::counter!(telemetry::LATE_EVENTS_TOTAL).increment(1);
    AnswerProgress::More
}

/// Whether a failed try can have run a part of the request.
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
