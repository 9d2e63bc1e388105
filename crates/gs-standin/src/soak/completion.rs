//! Sends completions and checks their answers.

use std::time::Duration;

use gs_protocol::prefix::derive_seed;
use gs_protocol::refusal::RefusalReason;
use rand::Rng;
use serde_json::{Value, json};

use super::context::SoakContext;
use super::deployment::{CALLER_TOKENS, ENGINE_KIND};
use super::fleet::EntryTarget;
use super::journal::SoakInvariant;
use crate::engine::token_text;
use crate::harness::{CallerAnswer, HarnessError, StreamedText};

/// Output tokens of a completion.
const OUTPUT_TOKENS: std::ops::Range<u32> = 1..120;

/// Words of a prompt.
const PROMPT_WORDS: std::ops::Range<usize> = 1..400;

/// Time after which a disconnecting caller closes its connection, in milliseconds.
const DISCONNECT_MS: std::ops::Range<u64> = 1..500;

/// The share of completions whose caller disconnects.
const DISCONNECT_SHARE: f64 = 0.1;

/// The share of completions that are streamed.
const STREAM_SHARE: f64 = 0.8;

/// A completion to send.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    prompt: String,
    tokens: u32,
    stream: bool,
    seed: Option<u64>,
    caller: &'static str,
    disconnect_after: Option<Duration>,
}

/// The outcome of a completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CompletionOutcome {
    /// The expected text arrived completely, with its end marker.
    Complete,
    /// An explicit error or refusal arrived; holds its reason.
    Refused(String),
    /// The connection closed before the end of the answer, or no answer arrived.
    Truncated(String),
    /// The caller disconnected, as drawn.
    Disconnected,
    /// The answer violates the protocol, such as a wrong text or a false refusal.
    Wrong(String),
}

impl CompletionCall {
    /// Draws a random completion whose prompt begins with `label`.
    pub fn draw(random: &mut impl Rng, label: &str) -> Self {
        let words = random.gen_range(PROMPT_WORDS);
        let prompt = format!(
            "{label} {} {}",
            random.r#gen::<u32>(),
            "word ".repeat(words)
        );
        let disconnects = random.gen_bool(DISCONNECT_SHARE);
        let seed = random.gen_bool(0.5).then(|| random.r#gen::<u32>().into());
        Self {
            prompt,
            tokens: random.gen_range(OUTPUT_TOKENS),
            stream: random.gen_bool(STREAM_SHARE),
            seed,
            caller: CALLER_TOKENS[random.gen_range(0..CALLER_TOKENS.len())],
            disconnect_after: disconnects
                .then(|| Duration::from_millis(random.gen_range(DISCONNECT_MS))),
        }
    }

    /// The same completion without a disconnect of its caller.
    pub fn without_disconnect(self) -> Self {
        Self {
            disconnect_after: None,
            ..self
        }
    }

    /// The name of the kind of request in the summary.
    pub fn kind(&self) -> &'static str {
        if self.stream {
            "streamed completion"
        } else {
            "whole completion"
        }
    }

    fn body(&self) -> Value {
        let mut body = json!({
            "model": ENGINE_KIND,
            "prompt": self.prompt,
            "max_tokens": self.tokens,
            "stream": self.stream,
        });
        if let Some(seed) = self.seed {
            body["seed"] = json!(seed);
        }
        body
    }

    fn expected_tokens(&self) -> impl Iterator<Item = String> {
        let seed = self.seed.unwrap_or_else(|| derive_seed(&self.prompt));
        (0..self.tokens).map(move |index| token_text(seed, index))
    }

    /// Sends the completion and records a violation if its outcome is not allowed.
    pub async fn send(&self, context: &SoakContext, target: EntryTarget) -> CompletionOutcome {
        let body = self.body();
        let answer = context
            .client
            .post_as(target.address, "/v1/completions", self.caller, &body);
        let answer = match self.disconnect_after {
            None => answer.await,
            Some(after) => match tokio::time::timeout(after, answer).await {
                Ok(answer) => answer,
                Err(_) => return CompletionOutcome::Disconnected,
            },
        };
        let outcome = self.classify(answer);
        self.check_outcome(context, target, &outcome);
        outcome
    }

    fn check_outcome(
        &self,
        context: &SoakContext,
        target: EntryTarget,
        outcome: &CompletionOutcome,
    ) {
        let (killed, terminated) = {
            let fleet = context.fleet.borrow();
            (
                fleet.was_killed(target.start),
                fleet.was_terminated(target.start),
            )
        };
        let (invariant, detail) = match outcome {
            CompletionOutcome::Wrong(detail) => (SoakInvariant::Answer, detail),
            CompletionOutcome::Truncated(_) if killed => return,
            CompletionOutcome::Truncated(detail) if terminated => (SoakInvariant::Shutdown, detail),
            CompletionOutcome::Truncated(detail) => (SoakInvariant::Answer, detail),
            _ => return,
        };
        context.record_violation(
            invariant,
            format!("{} at {target:?}: {detail}", self.kind()),
        );
    }

    fn classify(&self, answer: Result<CallerAnswer, HarnessError>) -> CompletionOutcome {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => return CompletionOutcome::Truncated(error.to_string()),
        };
        if answer.status != 200 {
            return match answer.parse_problem() {
                Ok(problem) if is_caller_error(problem.reason) => {
                    CompletionOutcome::Wrong(format!("a valid request was refused: {problem:?}"))
                }
                Ok(problem) => CompletionOutcome::Refused(problem.reason.label().to_owned()),
                Err(error) => {
                    CompletionOutcome::Truncated(format!("status {}: {error}", answer.status))
                }
            };
        }
        if self.stream {
            self.classify_stream(&answer.parse_stream())
        } else {
            self.classify_body(&answer)
        }
    }

    fn classify_stream(&self, text: &StreamedText) -> CompletionOutcome {
        let count = text.tokens.len();
        let matches = text
            .tokens
            .iter()
            .cloned()
            .eq(self.expected_tokens().take(count));
        if !matches {
            return CompletionOutcome::Wrong(format!("unexpected text: {:?}", text.tokens));
        }
        match &text.error {
            Some(_) if text.complete => {
                CompletionOutcome::Wrong("the stream has both an error and an end".to_owned())
            }
            Some(error) => {
                let reason = error["reason"].as_str().unwrap_or("no reason");
                CompletionOutcome::Refused(format!("broken stream: {reason}"))
            }
            None if !text.complete => CompletionOutcome::Truncated(format!(
                "no end after {count} of {} tokens",
                self.tokens
            )),
            None if count == self.tokens as usize => CompletionOutcome::Complete,
            None => CompletionOutcome::Wrong(format!(
                "stream ended at {count} of {} tokens",
                self.tokens
            )),
        }
    }

    fn classify_body(&self, answer: &CallerAnswer) -> CompletionOutcome {
        let body: Value = match answer.json() {
            Ok(body) => body,
            Err(error) => return CompletionOutcome::Truncated(error.to_string()),
        };
        let expected: String = self.expected_tokens().collect();
        match body["choices"][0]["text"].as_str() {
            Some(text) if text == expected => CompletionOutcome::Complete,
            text => CompletionOutcome::Wrong(format!("unexpected text: {text:?}")),
        }
    }
}

/// Whether a refusal reason blames the request. The requests of a soak are all valid, so such a
/// refusal is a violation.
pub fn is_caller_error(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::BadRequest
            | RefusalReason::Forbidden
            | RefusalReason::KeyExpired
            | RefusalReason::KeyInvalid
            | RefusalReason::KeyRequired
            | RefusalReason::KeyReused
            | RefusalReason::PromptTooLong
            | RefusalReason::TooLarge
            | RefusalReason::Unauthorized
            | RefusalReason::UnknownModel
            | RefusalReason::UnknownRoute
    )
}

impl CompletionOutcome {
    /// The outcome as a column of the summary.
    pub fn label(&self) -> String {
        match self {
            Self::Complete => "whole".to_owned(),
            Self::Refused(reason) => format!("refused: {reason}"),
            Self::Truncated(_) => "cut".to_owned(),
            Self::Disconnected => "caller left".to_owned(),
            Self::Wrong(_) => "wrong".to_owned(),
        }
    }
}
