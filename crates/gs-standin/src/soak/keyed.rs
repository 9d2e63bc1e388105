//! Calls services under idempotency keys and remembers what became of each key.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use gs_protocol::refusal::RequestOutcome;
use rand::Rng;
use serde_json::{Value, json};
use uuid::Uuid;

use super::board::EntryTarget;
use super::completion::blames_caller;
use super::deployment::CALLER_TOKENS;
use super::journal::CheckPoint;
use super::shared::SoakShared;
use crate::harness::{CallerAnswer, HarnessError};

/// Tries of one key at most.
const MAX_TRIES: u32 = 8;

/// Between two tries, in milliseconds.
const TRY_PAUSE_MS: std::ops::Range<u64> = 10..400;

/// The share of answered keys that are tried again.
const REPEAT_SHARE: f64 = 0.4;

/// The share of tries that go to two entries at once.
const TWICE_SHARE: f64 = 0.2;

/// The share of keys that are given up after a refusal.
const GIVE_UP_SHARE: f64 = 0.3;

/// How one try ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TryEnd {
    /// The service's answer came.
    Answered,
    /// It was said not to have run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// No answer came.
    Lost(String),
}

/// What became of one key.
#[derive(Clone, Debug, Default)]
pub struct KeyRecord {
    /// The tries, by their ends, each with the entry's place.
    pub tries: Vec<(usize, TryEnd)>,
    /// The first answer.
    pub answer: Option<Bytes>,
    /// Whether the route may run a call repeatedly.
    pub idempotent: bool,
}

/// All keys.
#[derive(Debug, Default)]
pub struct KeyBook {
    /// By key.
    pub records: BTreeMap<Uuid, KeyRecord>,
}

/// One call under a key.
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

    /// What kind of call it is.
    pub fn kind(&self) -> &'static str {
        if self.idempotent {
            "idempotent call"
        } else {
            "keyed call"
        }
    }

    /// Tries at one entry after the other until an answer has come, or the caller gives up.
    pub async fn run(&self, shared: &SoakShared, random: &mut impl Rng) {
        let mut last = None;
        for _ in 0..MAX_TRIES {
            let target = shared.board.borrow().draw(random, last);
            let Some(target) = target else { break };
            last = Some(target.slot);
            let second = shared.board.borrow().draw(random, last);
            let end = match second.filter(|_| random.gen_bool(TWICE_SHARE)) {
                Some(second) => {
                    let tries = futures_util::join!(
                        self.try_once(shared, target),
                        self.try_once(shared, second)
                    );
                    tries.0
                }
                None => self.try_once(shared, target).await,
            };
            let done = match end {
                TryEnd::Answered => !random.gen_bool(REPEAT_SHARE),
                TryEnd::NotRun(_) => random.gen_bool(GIVE_UP_SHARE),
                TryEnd::Unknown(_) | TryEnd::Lost(_) => false,
            };
            if done {
                break;
            }
            let pause = Duration::from_millis(random.gen_range(TRY_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends the call to one entry, and records and checks its end.
    pub async fn try_once(&self, shared: &SoakShared, target: EntryTarget) -> TryEnd {
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
        let answer = shared
            .client
            .call(target.address, method, &path, &headers, body)
            .await;
        let end = self.judge(shared, answer);
        if let TryEnd::Lost(detail) = &end {
            self.note_lost(shared, target, detail);
        }
        let label = end.label();
        shared
            .journal
            .borrow_mut()
            .count_request(self.kind(), label);
        let mut keys = shared.keys.borrow_mut();
        let record = keys.records.entry(self.key).or_default();
        record.idempotent = self.idempotent;
        record.tries.push((target.slot, end.clone()));
        end
    }

    /// A try may only stay without an answer if its entry was killed.
    fn note_lost(&self, shared: &SoakShared, target: EntryTarget, detail: &str) {
        let (killed, terminated) = {
            let board = shared.board.borrow();
            (
                board.was_killed(target.start),
                board.was_terminated(target.start),
            )
        };
        if killed {
            return;
        }
        let point = if terminated {
            CheckPoint::Shutdown
        } else {
            CheckPoint::Answer
        };
        let (kind, key) = (self.kind(), self.key);
        shared.violate(point, format!("{kind} {key} at {target:?}: {detail}"));
    }

    fn judge(&self, shared: &SoakShared, answer: Result<CallerAnswer, HarnessError>) -> TryEnd {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => return TryEnd::Lost(error.to_string()),
        };
        if answer.status == 200 {
            return self.judge_answer(shared, &answer);
        }
        match answer.parse_problem() {
            Ok(problem) => {
                if blames_caller(problem.reason) {
                    let (kind, key) = (self.kind(), self.key);
                    let detail = format!("{kind} {key} got a false refusal: {problem:?}");
                    shared.violate(CheckPoint::Answer, detail);
                }
                let reason = problem.reason.label().to_owned();
                match problem.outcome {
                    RequestOutcome::NotRun => TryEnd::NotRun(reason),
                    RequestOutcome::Unknown => TryEnd::Unknown(reason),
                }
            }
            Err(error) => TryEnd::Lost(format!("status {}: {error}", answer.status)),
        }
    }

    fn judge_answer(&self, shared: &SoakShared, answer: &CallerAnswer) -> TryEnd {
        let Ok(found) = answer.json::<Value>() else {
            return TryEnd::Lost(format!("a cut answer: {:?}", answer.body));
        };
        let own = found["key"] == json!(self.key.to_string())
            && found["path"] == json!(self.path)
            && found["echo"] == self.body;
        let (kind, key) = (self.kind(), self.key);
        if !own {
            shared.violate(CheckPoint::Answer, format!("{kind} {key} got {found}"));
        }
        if self.idempotent {
            return TryEnd::Answered;
        }
        let first = {
            let mut keys = shared.keys.borrow_mut();
            let record = keys.records.entry(key).or_default();
            record.answer.get_or_insert(answer.body.clone()).clone()
        };
        if first != answer.body {
            let detail = format!("{kind} {key} got {first:?} and then {:?}", answer.body);
            shared.violate(CheckPoint::Key, detail);
        }
        TryEnd::Answered
    }
}

impl TryEnd {
    fn label(&self) -> String {
        match self {
            Self::Answered => "answered".to_owned(),
            Self::NotRun(reason) => format!("not run: {reason}"),
            Self::Unknown(reason) => format!("unknown: {reason}"),
            Self::Lost(_) => "cut".to_owned(),
        }
    }
}
