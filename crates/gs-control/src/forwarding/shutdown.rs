//! The phases of a graceful shutdown.

use std::time::Duration;

/// The phase of a process that shuts down.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// Accepts all requests, and asks clients to send the next one to another entry.
    TakeAll,
    /// Accepts plain requests and refuses new streams, which might not end before the process does.
    TakeShort,
    /// Refuses new requests and finishes the open ones.
    Finish,
    /// Exits, even if requests are still open.
    Exit,
}

/// When the phases begin, as time since the shutdown was requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownPlan {
    refuse_streams_after: Duration,
    refuse_all_after: Duration,
    exit_after: Duration,
}

impl ShutdownPlan {
    /// Fraction of the grace period after which streams are refused.
    const REFUSE_STREAMS_FRACTION: f64 = 0.15;

    /// Fraction of the grace period after which all new requests are refused.
    const REFUSE_ALL_FRACTION: f64 = 0.7;

    /// Fraction of the grace period after which the process exits.
    const EXIT_FRACTION: f64 = 0.97;

    /// Creates the plan of a process that will be killed after `grace`.
    pub fn new(grace: Duration) -> Self {
        Self {
            refuse_streams_after: grace.mul_f64(Self::REFUSE_STREAMS_FRACTION),
            refuse_all_after: grace.mul_f64(Self::REFUSE_ALL_FRACTION),
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
}
