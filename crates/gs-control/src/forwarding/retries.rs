//! Decides whether a request that failed at a server goes to another one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::routes::RouteKind;

/// Length of one part of the sliding window.
const BUCKET: Duration = Duration::from_secs(1);

/// How an attempt at a server failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The server said that it did not run the request.
    NotExecuted,
    /// The server answered with a failure of its own, so it ran the request.
    ServerError,
    /// The connection broke, the answer was no answer, or none came: the request may have run.
    Unknown,
}

impl AttemptFailure {
    /// Whether the request certainly did not run at that server.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::NotSent | Self::NotExecuted => true,
            Self::ServerError | Self::Unknown => false,
        }
    }
}

/// What a request has been through.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Servers that may have run the request.
    pub runs: u32,
    /// Servers that the request was sent to, whether they took it or not.
    pub sends: u32,
}

/// What a request that is given up is answered with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// The request has not run and will not run.
    NotRun,
    /// The failure that the server answered with.
    ServersOwn,
    /// The request may have run.
    Unknown,
}

/// What happens next to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another server; whether the budget has to allow it.
    Retry {
        /// Whether the server counts it as a repeat.
        needs_budget: bool,
    },
    /// Answer the client.
    Answer(FinalAnswer),
}

/// What follows from a failure. `history` includes the failed attempt.
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

/// One part of the window.
#[derive(Clone, Copy, Debug)]
struct WindowBucket {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// This entry's part of the repeats that a service may get in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    buckets: VecDeque<WindowBucket>,
}

impl RetryBudget {
    /// A budget of `ratio` repeats for each request in the window, and `extra` for all entries together.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a client's request.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket_mut(now).requests += 1;
    }

    /// Takes one repeat, if this entry's part of the budget of `entries` entries allows it.
    pub fn try_spend(&mut self, now: Instant, entries: u32) -> bool {
        self.bucket_mut(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let allowed = self.ratio * f64::from(requests) + self.extra / f64::from(entries.max(1));
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.bucket_mut(now).repeats += 1;
        true
    }

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
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
