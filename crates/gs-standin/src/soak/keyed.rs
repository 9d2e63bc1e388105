//! Calls services with idempotency keys and records the outcomes of each key.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use gs_protocol::refusal::RequestOutcome;
use rand::Rng;
use serde_json::{Value, json};
use uuid::Uuid;

use super::completion::is_caller_error;
use super::context::SoakContext;
use super::deployment::CALLER_TOKENS;
use super::fleet::EntryTarget;
use super::journal::SoakInvariant;
use crate::harness::{CallerAnswer, HarnessError};

/// The maximum number of tries with one key.
const MAX_TRIES: u32 = 8;

/// Pause between two tries, in milliseconds.
const TRY_PAUSE_MS: std::ops::Range<u64> = 10..400;

/// The share of answered keys that are sent again.
const REPEAT_SHARE: f64 = 0.4;

/// The share of tries that are sent to two entries concurrently.
const PARALLEL_SHARE: f64 = 0.2;

/// The share of keys that are abandoned after a refusal.
const ABANDON_SHARE: f64 = 0.3;

/// The outcome of one try.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TryOutcome {
    /// The answer of the service arrived.
    Answered,
    /// The call was reported as not run; holds the reason.
    NotRun(String),
    /// The call may have run; holds the reason.
    Unknown(String),
    /// No answer or only a part of it arrived; holds the error.
    Lost(String),
}

/// The tries and the answer of one key.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    /// The outcomes of the tries in order of completion, each with the slot of its entry.
    pub tries: Vec<(usize, TryOutcome)>,
    /// The first answer, which later ones must equal.
    pub answer: Option<Bytes>,
    /// Whether the route is idempotent, so that a call may run more than once.
    pub idempotent: bool,
}

/// The histories of all keys.
#[derive(Debug, Default)]
pub struct KeyTable {
    /// Histories by key.
    pub histories: BTreeMap<Uuid, KeyHistory>,
}

/// A service call with an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    key: Uuid,
    idempotent: bool,
    path: String,
    body: Value,
    caller: &'static str,
}

impl KeyedCall {
    /// Draws a non-idempotent call.
    pub fn draw_charge(random: &mut impl Rng) -> Self {
        Self {
            key: Uuid::now_v7(),
            idempotent: false,
            path: "/charges".to_owned(),
            body: json!({ "amount": random.r#gen::<u32>() }),
            caller: CALLER_TOKENS[random.gen_range(0..CALLER_TOKENS.len())],
        }
    }

    /// Draws an idempotent call.
    pub fn draw_ticket(random: &mut impl Rng) -> Self {
        Self {
            key: Uuid::now_v7(),
            idempotent: true,
            path: format!("/tickets/{}", random.r#gen::<u32>()),
            body: Value::Null,
            caller: CALLER_TOKENS[random.gen_range(0..CALLER_TOKENS.len())],
        }
    }

    /// The name of the kind of call in the summary.
    pub fn kind(&self) -> &'static str {
        if self.idempotent {
            "idempotent call"
        } else {
            "keyed call"
        }
    }

    /// Sends the call to one entry after the other until it is answered or abandoned. Some tries
    /// are sent to two entries concurrently, and some answered calls are repeated.
    pub async fn run(&self, context: &SoakContext, random: &mut impl Rng) {
        let mut last = None;
        for _ in 0..MAX_TRIES {
            let target = context.fleet.borrow().choose_entry(random, last);
            let Some(target) = target else { break };
            last = Some(target.slot);
            let second = context.fleet.borrow().choose_entry(random, last);
            let outcome = match second.filter(|_| random.gen_bool(PARALLEL_SHARE)) {
                Some(second) => {
                    let tries = futures_util::join!(
                        self.try_once(context, target),
                        self.try_once(context, second)
                    );
                    tries.0
                }
                None => self.try_once(context, target).await,
            };
            let done = match outcome {
                TryOutcome::Answered => !random.gen_bool(REPEAT_SHARE),
                TryOutcome::NotRun(_) => random.gen_bool(ABANDON_SHARE),
                TryOutcome::Unknown(_) | TryOutcome::Lost(_) => false,
            };
            if done {
                break;
            }
            let pause = Duration::from_millis(random.gen_range(TRY_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends the call to one entry, and records and checks its outcome.
    pub async fn try_once(&self, context: &SoakContext, target: EntryTarget) -> TryOutcome {
        let (bearer, key) = (format!("Bearer {}", self.caller), self.key.to_string());
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", key.as_str()),
            ("content-type", "application/json"),
        ];
        let (method, body) = match self.idempotent {
            true => ("GET", Bytes::new()),
            false => ("POST", Bytes::from(self.body.to_string())),
        };
        let path = format!("/services/desk{}", self.path);
        let answer = context
            .client
            .call(target.address, method, &path, &headers, body)
            .await;
        let outcome = self.classify(context, answer);
        if let TryOutcome::Lost(detail) = &outcome {
            self.check_lost(context, target, detail);
        }
        let label = outcome.label();
        context
            .journal
            .borrow_mut()
            .count_request(self.kind(), label);
        let mut keys = context.keys.borrow_mut();
        let history = keys.histories.entry(self.key).or_default();
        history.idempotent = self.idempotent;
        history.tries.push((target.slot, outcome.clone()));
        outcome
    }

    /// Records a violation if a try has no answer although its entry was not killed.
    fn check_lost(&self, context: &SoakContext, target: EntryTarget, detail: &str) {
        let (killed, terminated) = {
            let fleet = context.fleet.borrow();
            (
                fleet.was_killed(target.start),
                fleet.was_terminated(target.start),
            )
        };
        if killed {
            return;
        }
        let invariant = if terminated {
            SoakInvariant::Shutdown
        } else {
            SoakInvariant::Answer
        };
        let (kind, key) = (self.kind(), self.key);
        context.record_violation(invariant, format!("{kind} {key} at {target:?}: {detail}"));
    }

    fn classify(
        &self,
        context: &SoakContext,
        answer: Result<CallerAnswer, HarnessError>,
    ) -> TryOutcome {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => return TryOutcome::Lost(error.to_string()),
        };
        if answer.status == 200 {
            return self.classify_success(context, &answer);
        }
        match answer.parse_problem() {
            Ok(problem) => {
                if is_caller_error(problem.reason) {
                    let (kind, key) = (self.kind(), self.key);
                    let detail = format!("{kind} {key} got a false refusal: {problem:?}");
                    context.record_violation(SoakInvariant::Answer, detail);
                }
                let reason = problem.reason.label().to_owned();
                match problem.outcome {
                    RequestOutcome::NotRun => TryOutcome::NotRun(reason),
                    RequestOutcome::Unknown => TryOutcome::Unknown(reason),
                }
            }
            Err(error) => TryOutcome::Lost(format!("status {}: {error}", answer.status)),
        }
    }

    fn classify_success(&self, context: &SoakContext, answer: &CallerAnswer) -> TryOutcome {
        let Ok(body) = answer.json::<Value>() else {
            return TryOutcome::Lost(format!("truncated answer: {:?}", answer.body));
        };
        let matches = body["key"] == json!(self.key.to_string())
            && body["path"] == json!(self.path)
            && body["echo"] == self.body;
        let (kind, key) = (self.kind(), self.key);
        if !matches {
            context.record_violation(SoakInvariant::Answer, format!("{kind} {key} got {body}"));
        }
        if self.idempotent {
            return TryOutcome::Answered;
        }
        let first = {
            let mut keys = context.keys.borrow_mut();
            let history = keys.histories.entry(key).or_default();
            history.answer.get_or_insert(answer.body.clone()).clone()
        };
        if first != answer.body {
            let detail = format!("{kind} {key} got {first:?} and then {:?}", answer.body);
            context.record_violation(SoakInvariant::Key, detail);
        }
        TryOutcome::Answered
    }
}

impl TryOutcome {
    fn label(&self) -> String {
        match self {
            Self::Answered => "answered".to_owned(),
            Self::NotRun(reason) => format!("not run: {reason}"),
            Self::Unknown(reason) => format!("unknown: {reason}"),
            Self::Lost(_) => "cut".to_owned(),
        }
    }
}
