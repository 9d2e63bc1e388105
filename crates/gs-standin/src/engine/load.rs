//! Load reports, read some time after they were measured.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gs_protocol::engine::LoadReport;

/// The latest load reports.
#[derive(Debug)]
pub struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    /// An empty history whose reports are read after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            reports: VecDeque::new(),
        }
    }

    /// Adds a report and drops those that no reader can get any more.
    pub fn record(&mut self, now: Instant, report: LoadReport) {
        self.reports.push_back((now, report));
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.reports.pop_front();
        }
    }

    /// The latest report that is old enough, or the oldest one.
    pub fn read(&self, now: Instant) -> Option<&LoadReport> {
        self.reports
            .iter()
            .rev()
            .find(|(at, _)| *at + self.lag <= now)
            .or_else(|| self.reports.front())
            .map(|(_, report)| report)
    }
}
