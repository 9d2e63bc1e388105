//! Table of waiting and running requests and their attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_document::document::CallerRank;
use gs_protocol::ids::{AttemptId, ModelName, RequestId};
use gs_protocol::prefix::PrefixHash;
use gs_protocol::suspicion::RequestFingerprint;

use super::fair_queue::{CallerId, ChargedSelection, QueueKey, SizeClass};
use super::placement::PlacementChoice;
use super::server_load::ServerWork;
use super::server_record::ServerId;

/// Scheduling phase of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestPhase {
    /// Waiting in its caller's queue for the first start.
    Queued,
    /// Waiting for another attempt. Also used for suspects, which are placed one by one.
    AwaitingRetry,
    /// Running this attempt.
    Running(AttemptId),
}

/// A waiting or running request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Rank of the caller.
    pub rank: CallerRank,
    /// Model to run.
    pub model: ModelName,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Prefix hashes of the prompt, shortest first.
    pub prefix_hashes: Vec<PrefixHash>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Fingerprint under which quarantine tracks the request.
    pub fingerprint: RequestFingerprint,
    /// Size class of the prompt.
    pub size_class: SizeClass,
    /// First-token target of the caller.
    pub first_token_target: Duration,
    /// Between-token target of the caller.
    pub between_tokens_target: Duration,
    /// Arrival time.
    pub arrived_at: Instant,
    /// Time at which the first token is due.
    pub deadline: Instant,
    /// Time at which the request is refused if it still waits.
    pub wait_expires_at: Instant,
    /// Estimated engine time, in microseconds.
    pub cost_us: u64,
    /// Scheduling phase.
    pub phase: RequestPhase,
    /// Whether an attempt was started before, so that the retry budget is credited once.
    pub was_started: bool,
    /// Whether the caller has received tokens.
    pub has_streamed: bool,
    /// Whether an attempt failed after work was done.
    pub has_failed: bool,
    /// Server that failed the request last.
    pub avoid_server: Option<ServerId>,
    /// Servers reserved for the request as a suspect.
    pub reserved_choice: Option<PlacementChoice>,
}

impl RequestRecord {
    /// Position of the request in its caller's queue.
    pub fn queue_key(&self, request: RequestId) -> QueueKey {
        QueueKey {
            deadline: self.deadline,
            request,
        }
    }
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Request of the attempt.
    pub request: RequestId,
    /// Decode server, which generates the stream.
    pub decode: ServerId,
    /// Prefill server, which computes the prompt.
    pub prefill: ServerId,
    /// Work counted on the decode server.
    pub decode_work: ServerWork,
    /// Work counted on the prefill server.
    pub prefill_work: ServerWork,
    /// Charged queue selection; `None` for a retry.
    pub selection: Option<ChargedSelection>,
    /// Time at which the attempt is considered ended if it has not reported its end.
    pub expires_at: Instant,
}

/// Sort key of a retry: rank, end of the wait, id.
pub type RetryKey = (CallerRank, Instant, RequestId);

/// Requests and attempts by id.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    /// Waiting and running requests.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Running attempts.
    pub attempts: BTreeMap<AttemptId, AttemptRecord>,
    /// Waiting requests by the time at which they are refused.
    pub wait_expiries: BTreeSet<(Instant, RequestId)>,
    /// Running attempts by the time at which they expire.
    pub attempt_expiries: BTreeSet<(Instant, AttemptId)>,
    /// Requests that await a retry, by model.
    pub retries: BTreeMap<ModelName, BTreeSet<RetryKey>>,
}

impl RequestTable {
    /// Adds an attempt.
    pub fn add_attempt(&mut self, attempt: AttemptId, record: AttemptRecord) {
        self.attempt_expiries.insert((record.expires_at, attempt));
        self.attempts.insert(attempt, record);
    }

    /// Removes an attempt; `None` if it has already ended.
    pub fn remove_attempt(&mut self, attempt: AttemptId) -> Option<AttemptRecord> {
        let record = self.attempts.remove(&attempt)?;
        self.attempt_expiries.remove(&(record.expires_at, attempt));
        Some(record)
    }

    /// Whether a request of the model awaits a retry.
    pub fn has_retries(&self, model: &ModelName) -> bool {
        let retries = self.retries.get(model);
        retries.is_some_and(|keys| !keys.is_empty())
    }

    /// Adds a request to the retries of its model.
    pub fn add_retry(&mut self, request: RequestId) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let key = (record.rank, record.wait_expires_at, request);
        let retries = self.retries.entry(record.model.clone()).or_default();
        retries.insert(key);
        self.wait_expiries.insert((record.wait_expires_at, request));
    }

    /// Removes a request from the retries of its model.
    pub fn remove_retry(&mut self, request: RequestId) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let key = (record.rank, record.wait_expires_at, request);
        if let Some(retries) = self.retries.get_mut(&record.model) {
            retries.remove(&key);
        }
        self.wait_expiries
            .remove(&(record.wait_expires_at, request));
    }
}
