//! Requests that wait or run, and their attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_document::document::CallerRank;
use gs_protocol::ids::{AttemptId, ModelName, RequestId};
use gs_protocol::prefix::PrefixHash;
use gs_protocol::suspicion::PromptFingerprint;

use super::fair_queue::{CallerId, QueueKey, SizeClass, StartedTurn};
use super::own_load::ServerWork;
use super::placement::PlacementChoice;
use super::server_record::ServerId;

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestPhase {
    /// It waits for its first start.
    Waiting,
    /// An attempt failed after work was done and it waits to go again.
    Returning,
    /// An attempt runs.
    Running(AttemptId),
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Who sent it.
    pub caller: CallerId,
    /// The caller's rank.
    pub rank: CallerRank,
    /// The model to run.
    pub model: ModelName,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prefix hashes of the prompt.
    pub pieces: Vec<PrefixHash>,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// What it makes engines do.
    pub fingerprint: PromptFingerprint,
    /// Whether its prefill may hold up others.
    pub class: SizeClass,
    /// The caller's first-token target.
    pub first_token: Duration,
    /// The caller's between-token target.
    pub between_tokens: Duration,
    /// When it came.
    pub arrived_at: Instant,
    /// When the first token is due.
    pub deadline: Instant,
    /// When it is refused if it still waits.
    pub gives_up_at: Instant,
    /// Engine time, in microseconds.
    pub cost_us: u64,
    /// Where it stands.
    pub phase: RequestPhase,
    /// Whether it has been started before.
    pub was_started: bool,
    /// Whether the caller has got tokens.
    pub has_begun: bool,
    /// Whether an attempt failed after work was done for it.
    pub has_failed: bool,
    /// The server that failed it last.
    pub avoid: Option<ServerId>,
    /// The servers that are kept for it.
    pub reserved: Option<PlacementChoice>,
}

impl RequestRecord {
    /// Its place in its caller's queue.
    pub fn queue_key(&self, request: RequestId) -> QueueKey {
        QueueKey {
            deadline: self.deadline,
            request,
        }
    }
}

/// One attempt that runs.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request.
    pub request: RequestId,
    /// The engine for the stream.
    pub decode: ServerId,
    /// The engine for the prefill.
    pub prefill: ServerId,
    /// Work counted on the decode engine.
    pub decode_work: ServerWork,
    /// Work counted on the prefill engine.
    pub prefill_work: ServerWork,
    /// Whose turn it was; `None` for a request that went again.
    pub turn: Option<StartedTurn>,
    /// When it is taken for ended if nothing is heard of it.
    pub expires_at: Instant,
}

/// A failed request's place in the order of going again.
pub type ReturnKey = (CallerRank, Instant, RequestId);

/// Requests and attempts by identity.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    /// Requests that wait or run.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Attempts that run.
    pub attempts: BTreeMap<AttemptId, AttemptRecord>,
    /// Waiting and returning requests by the time at which they are refused.
    pub give_ups: BTreeSet<(Instant, RequestId)>,
    /// Attempts by the time at which they are taken for ended.
    pub expiries: BTreeSet<(Instant, AttemptId)>,
    /// Requests that go again, by model.
    pub returning: BTreeMap<ModelName, BTreeSet<ReturnKey>>,
}

impl RequestTable {
    /// Adds an attempt.
    pub fn add_attempt(&mut self, attempt: AttemptId, record: AttemptRecord) {
        self.expiries.insert((record.expires_at, attempt));
        self.attempts.insert(attempt, record);
    }

    /// Removes an attempt; `None` if it has ended before.
    pub fn remove_attempt(&mut self, attempt: AttemptId) -> Option<AttemptRecord> {
        let record = self.attempts.remove(&attempt)?;
        self.expiries.remove(&(record.expires_at, attempt));
        Some(record)
    }

    /// Whether a request of the model goes again.
    pub fn is_returning(&self, model: &ModelName) -> bool {
        let returning = self.returning.get(model);
        returning.is_some_and(|keys| !keys.is_empty())
    }

    /// Lists a request among those that go again.
    pub fn add_returning(&mut self, request: RequestId) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let key = (record.rank, record.gives_up_at, request);
        let returning = self.returning.entry(record.model.clone()).or_default();
        returning.insert(key);
        self.give_ups.insert((record.gives_up_at, request));
    }

    /// Takes a request off those that go again.
    pub fn remove_returning(&mut self, request: RequestId) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let key = (record.rank, record.gives_up_at, request);
        if let Some(returning) = self.returning.get_mut(&record.model) {
            returning.remove(&key);
        }
        self.give_ups.remove(&(record.gives_up_at, request));
    }
}
