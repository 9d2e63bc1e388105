//! Load reports that become visible some time after they were measured.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gs_protocol::engine::LoadReport;

/// Recent load reports with the time of their measurement, oldest first.
#[derive(Debug)]
pub struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    /// Creates an empty history whose reports become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            reports: VecDeque::new(),
        }
    }

    /// Adds a report and removes those superseded by a newer visible one.
    pub fn record(&mut self, now: Instant, report: LoadReport) {
        self.reports.push_back((now, report));
        while self
            .reports
            .get(1)
            .is_some_and(|(measured_at, _)| *measured_at + self.lag <= now)
        {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or else the oldest one.
    pub fn read(&self, now: Instant) -> Option<&LoadReport> {
        self.reports
            .iter()
            .rev()
            .find(|(measured_at, _)| *measured_at + self.lag <= now)
            .or_else(|| self.reports.front())
            .map(|(_, report)| report)
    }
}
