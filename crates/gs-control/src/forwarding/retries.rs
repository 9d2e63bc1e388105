//! Decides whether a request that failed at a server is retried at another one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::routes::RouteKind;

/// Length of one bucket of the sliding window.
const BUCKET: Duration = Duration::from_secs(1);

/// How an attempt to run a request at a server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The server reported that it did not run the request.
    NotExecuted,
    /// The server ran the request and answered with an error.
    ServerError,
    /// The connection broke, or the answer was malformed or missing. The request may have run.
    Unknown,
}

impl AttemptFailure {
    /// Returns whether the request certainly did not run at the server.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::NotSent | Self::NotExecuted => true,
            Self::ServerError | Self::Unknown => false,
        }
    }
}

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Number of servers that may have run the request.
    pub runs: u32,
    /// Number of servers that the request was sent to, whether or not they accepted it.
    pub sends: u32,
}

impl AttemptHistory {
    /// Returns what is known of a request that no server answered.
    pub fn outcome(self) -> FinalAnswer {
        match self.runs {
            0 => FinalAnswer::NotRun,
            _ => FinalAnswer::Unknown,
        }
    }
}

/// The answer to a request that failed and is not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// The request has not run and will not run.
    NotRun,
    /// The error that the server answered with.
    ServersOwn,
    /// The request may have run.
    Unknown,
}

/// The next step after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Retry the request at another server.
    Retry {
        /// Whether the retry must be taken from the retry budget: the request was sent to a server
        /// before.
        needs_budget: bool,
    },
    /// Answer the client without a retry.
    Answer(FinalAnswer),
}

/// Returns the next step after a failure. `history` includes the failed attempt.
///
/// A request that has certainly not run may always be retried. An idempotent one that may have run
/// is retried until `max_attempts` servers may have run it.
pub fn next_step(
    kind: RouteKind,
    max_attempts: u32,
    history: AttemptHistory,
    failure: AttemptFailure,
) -> NextStep {
    let needs_budget = history.sends > 0;
    if history.runs == 0 && failure.is_not_run() {
        return NextStep::Retry { needs_budget };
    }
    if kind.is_idempotent() && history.runs < max_attempts {
        return NextStep::Retry { needs_budget };
    }
    NextStep::Answer(match failure {
        AttemptFailure::ServerError => FinalAnswer::ServersOwn,
        _ if history.runs == 0 => FinalAnswer::NotRun,
        _ => FinalAnswer::Unknown,
    })
}

/// One bucket of the sliding window.
#[derive(Clone, Copy, Debug)]
struct WindowBucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// This entry's share of the retries that a service may receive in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    /// Retries per window beyond the ratio, for all entries together.
    extra: f64,
    window: Duration,
    buckets: VecDeque<WindowBucket>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request in the window, plus `extra` retries that all
    /// entries share.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request of a client.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket_mut(now).requests += 1;
    }

    /// Takes one retry from the budget and returns true if this entry's share allows it. `entries`
    /// is the number of entries that share `extra`.
    pub fn try_spend(&mut self, now: Instant, entries: u32) -> bool {
        self.bucket_mut(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = self.ratio * f64::from(requests) + self.extra / f64::from(entries.max(1));
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket_mut(now).retries += 1;
        true
    }

    /// Returns the current bucket, after removing those that have left the window.
    fn bucket_mut(&mut self, now: Instant) -> &mut WindowBucket {
        while let Some(first) = self.buckets.front()
            && now.saturating_duration_since(first.start) >= self.window + BUCKET
        {
            self.buckets.pop_front();
        }
        let is_current =
            |bucket: &WindowBucket| now.saturating_duration_since(bucket.start) < BUCKET;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(WindowBucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
