//! The phases of a graceful shutdown, and which requests a process still accepts in each.

use std::time::Duration;

/// The phase of a process that shuts down.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// Accepts all requests that end in time, and asks clients to send the next one to another entry.
    TakeAll,
    /// Accepts only requests whose time limit ends in time; the expected duration of a stream does not
    /// suffice.
    TakeShort,
    /// Refuses new requests and finishes the open ones.
    Finish,
    /// Exits, even if requests are still open.
    Exit,
}

/// How long a request may last from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestSpan {
    /// Until its time limit, at which it gets its final answer.
    Limited(Duration),
    /// A stream whose time limit is longer than this expected duration.
    Expected(Duration),
}

impl RequestSpan {
    /// Returns the span of a stream from its time limit and the expected duration, if there is one.
    pub fn of_stream(time_limit: Duration, expected: Option<Duration>) -> Self {
        match expected {
            Some(expected) if expected < time_limit => Self::Expected(expected),
            Some(_) | None => Self::Limited(time_limit),
        }
    }

    fn duration(self) -> Duration {
        match self {
            Self::Limited(duration) | Self::Expected(duration) => duration,
        }
    }
}

/// When the phases begin, as time since the shutdown was requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownPlan {
    refuse_streams_after: Duration,
    refuse_all_after: Duration,
    answer_within: Duration,
    exit_after: Duration,
}

impl ShutdownPlan {
    /// Fraction of the grace period after which streams are refused.
    const REFUSE_STREAMS_FRACTION: f64 = 0.15;

    /// Fraction of the grace period after which all new requests are refused.
    const REFUSE_ALL_FRACTION: f64 = 0.7;

    /// Fraction of the grace period within which accepted requests must have their final answers.
    const ANSWER_FRACTION: f64 = 0.94;

    /// Fraction of the grace period after which the process exits.
    const EXIT_FRACTION: f64 = 0.97;

    /// Creates the plan of a process that will be killed after `grace`.
    pub fn new(grace: Duration) -> Self {
        Self {
            refuse_streams_after: grace.mul_f64(Self::REFUSE_STREAMS_FRACTION),
            refuse_all_after: grace.mul_f64(Self::REFUSE_ALL_FRACTION),
            answer_within: grace.mul_f64(Self::ANSWER_FRACTION),
            exit_after: grace.mul_f64(Self::EXIT_FRACTION),
        }
    }

    /// Returns the phase at the given time since the shutdown was requested.
    pub fn phase(&self, elapsed: Duration) -> ShutdownPhase {
        match elapsed {
            elapsed if elapsed >= self.exit_after => ShutdownPhase::Exit,
            elapsed if elapsed >= self.refuse_all_after => ShutdownPhase::Finish,
            elapsed if elapsed >= self.refuse_streams_after => ShutdownPhase::TakeShort,
            _ => ShutdownPhase::TakeAll,
        }
    }
    /// Returns the time since the shutdown was requested within which every request must have its final
    /// answer.
    pub fn answer_within(&self) -> Duration {
        self.answer_within
    }

    /// Whether a request of this span is accepted at the given time since the shutdown was requested:
    /// only if it gets its final answer before the process exits.
    pub fn admits(&self, elapsed: Duration, span: RequestSpan) -> bool {
        let is_accepting = match (self.phase(elapsed), span) {
            (ShutdownPhase::TakeAll, _) => true,
            (ShutdownPhase::TakeShort, RequestSpan::Limited(_)) => true,
            (ShutdownPhase::TakeShort, RequestSpan::Expected(_)) => false,
            (ShutdownPhase::Finish | ShutdownPhase::Exit, _) => false,
        };
        let ends_at = elapsed.saturating_add(span.duration());
        is_accepting && ends_at <= self.answer_within
    }
}
