//! The phases of a graceful shutdown.

use std::time::Duration;

/// What a process that was told to stop still does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// Takes everything; clients are told to go elsewhere next time.
    TakeAll,
    /// Takes plain requests; new streams are refused, as they might not end in time.
    TakeShort,
    /// Takes nothing new.
    Finish,
    /// Ends, whatever still runs.
    Exit,
}

/// When the phases begin, counted from the order to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownPlan {
    take_short: Duration,
    finish: Duration,
    exit: Duration,
}

impl ShutdownPlan {
    /// Part of the grace in which streams are still taken.
    const STREAM_PART: f64 = 0.15;

    /// Part of the grace in which plain requests are still taken.
    const SHORT_PART: f64 = 0.7;

    /// Part of the grace after which the process ends.
    const EXIT_PART: f64 = 0.97;

    /// The plan for a process that is killed after `grace`.
    pub fn new(grace: Duration) -> Self {
        Self {
            take_short: grace.mul_f64(Self::STREAM_PART),
            finish: grace.mul_f64(Self::SHORT_PART),
            exit: grace.mul_f64(Self::EXIT_PART),
        }
    }

    /// The phase at a time since the order.
    pub fn phase(&self, since: Duration) -> ShutdownPhase {
        match since {
            since if since >= self.exit => ShutdownPhase::Exit,
            since if since >= self.finish => ShutdownPhase::Finish,
            since if since >= self.take_short => ShutdownPhase::TakeShort,
            _ => ShutdownPhase::TakeAll,
        }
    }
}
