//! Sends completions and judges their answers.

use std::time::Duration;

use gs_protocol::prefix::seed_prompt;
use gs_protocol::refusal::RefusalReason;
use rand::Rng;
use serde_json::{Value, json};

use super::board::EntryTarget;
use super::deployment::{CALLER_TOKENS, ENGINE_KIND};
use super::journal::CheckPoint;
use super::shared::SoakShared;
use crate::engine::expected_token;
use crate::harness::{CallerAnswer, HarnessError, StreamedText};

/// Tokens of an answer.
const OUTPUT_TOKENS: std::ops::Range<u32> = 1..120;

/// Words of a prompt.
const PROMPT_WORDS: std::ops::Range<usize> = 1..400;

/// When a caller that leaves does so, in milliseconds.
const LEAVE_MS: std::ops::Range<u64> = 1..500;

/// The share of callers that leave.
const LEAVE_SHARE: f64 = 0.1;

/// The share of answers that are streamed.
const STREAM_SHARE: f64 = 0.8;

/// One completion to send.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    prompt: String,
    tokens: u32,
    stream: bool,
    seed: Option<u64>,
    caller: &'static str,
    leave_after: Option<Duration>,
}

/// How a completion ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CompletionEnd {
    /// The expected text came, and was said to be whole.
    Whole,
    /// An explicit error or refusal came.
    Refused(String),
    /// The answer broke off without a word, or did not come.
    Cut(String),
    /// The caller left.
    Left,
    /// Anything else, which must not be.
    Wrong(String),
}

impl CompletionCall {
    /// Draws a call.
    pub fn draw(random: &mut impl Rng, label: &str) -> Self {
        let words = random.gen_range(PROMPT_WORDS);
        let prompt = format!(
            "{label} {} {}",
            random.r#gen::<u32>(),
            "word ".repeat(words)
        );
        let leaves = random.gen_bool(LEAVE_SHARE);
        let seed = random.gen_bool(0.5).then(|| random.r#gen::<u32>().into());
        Self {
            prompt,
            tokens: random.gen_range(OUTPUT_TOKENS),
            stream: random.gen_bool(STREAM_SHARE),
            seed,
            caller: CALLER_TOKENS[random.gen_range(0..CALLER_TOKENS.len())],
            leave_after: leaves.then(|| Duration::from_millis(random.gen_range(LEAVE_MS))),
        }
    }

    /// The same call by a caller that stays.
    pub fn staying(self) -> Self {
        Self {
            leave_after: None,
            ..self
        }
    }

    /// Whether the answer is streamed or whole.
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

    fn expected(&self) -> impl Iterator<Item = String> {
        let seed = self.seed.unwrap_or_else(|| seed_prompt(&self.prompt));
        (0..self.tokens).map(move |index| expected_token(seed, index))
    }

    /// Sends the call and notes a wrong end as a violation.
    pub async fn send(&self, shared: &SoakShared, target: EntryTarget) -> CompletionEnd {
        let body = self.body();
        let asked = shared
            .client
            .post_as(target.address, "/v1/completions", self.caller, &body);
        let answer = match self.leave_after {
            None => asked.await,
            Some(after) => match tokio::time::timeout(after, asked).await {
                Ok(answer) => answer,
                Err(_) => return CompletionEnd::Left,
            },
        };
        let end = self.judge(answer);
        self.note_violation(shared, target, &end);
        end
    }

    fn note_violation(&self, shared: &SoakShared, target: EntryTarget, end: &CompletionEnd) {
        let (killed, terminated) = {
            let board = shared.board.borrow();
            (
                board.was_killed(target.start),
                board.was_terminated(target.start),
            )
        };
        let (point, detail) = match end {
            CompletionEnd::Wrong(detail) => (CheckPoint::Answer, detail),
            CompletionEnd::Cut(_) if killed => return,
            CompletionEnd::Cut(detail) if terminated => (CheckPoint::Shutdown, detail),
            CompletionEnd::Cut(detail) => (CheckPoint::Answer, detail),
            _ => return,
        };
        shared.violate(point, format!("{} at {target:?}: {detail}", self.kind()));
    }

    fn judge(&self, answer: Result<CallerAnswer, HarnessError>) -> CompletionEnd {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => return CompletionEnd::Cut(error.to_string()),
        };
        if answer.status != 200 {
            return match answer.parse_problem() {
                Ok(problem) if blames_caller(problem.reason) => {
                    CompletionEnd::Wrong(format!("a false refusal: {problem:?}"))
                }
                Ok(problem) => CompletionEnd::Refused(problem.reason.label().to_owned()),
                Err(error) => CompletionEnd::Cut(format!("status {}: {error}", answer.status)),
            };
        }
        if self.stream {
            self.judge_stream(&answer.parse_stream())
        } else {
            self.judge_whole(&answer)
        }
    }

    fn judge_stream(&self, text: &StreamedText) -> CompletionEnd {
        let count = text.tokens.len();
        let own = text.tokens.iter().cloned().eq(self.expected().take(count));
        if !own {
            return CompletionEnd::Wrong(format!("another text: {:?}", text.tokens));
        }
        match &text.error {
            Some(_) if text.complete => CompletionEnd::Wrong("an error and an end".to_owned()),
            Some(error) => {
                let reason = error["reason"].as_str().unwrap_or("no reason");
                CompletionEnd::Refused(format!("broken stream: {reason}"))
            }
            None if !text.complete => {
                CompletionEnd::Cut(format!("no end after {count} of {} tokens", self.tokens))
            }
            None if count == self.tokens as usize => CompletionEnd::Whole,
            None => CompletionEnd::Wrong(format!("ended at {count} of {} tokens", self.tokens)),
        }
    }

    fn judge_whole(&self, answer: &CallerAnswer) -> CompletionEnd {
        let body: Value = match answer.json() {
            Ok(body) => body,
            Err(error) => return CompletionEnd::Cut(error.to_string()),
        };
        let expected: String = self.expected().collect();
        match body["choices"][0]["text"].as_str() {
            Some(text) if text == expected => CompletionEnd::Whole,
            text => CompletionEnd::Wrong(format!("another text: {text:?}")),
        }
    }
}

/// Whether a refusal says that the caller made a mistake. The callers of a soak make none.
pub fn blames_caller(reason: RefusalReason) -> bool {
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

impl CompletionEnd {
    /// The end as a column of the summary.
    pub fn label(&self) -> String {
        match self {
            Self::Whole => "whole".to_owned(),
            Self::Refused(reason) => format!("refused: {reason}"),
            Self::Cut(_) => "cut".to_owned(),
            Self::Left => "caller left".to_owned(),
            Self::Wrong(_) => "wrong".to_owned(),
        }
    }
}
