//! How fast reports are sent, so that they fill neither the link of the sender nor those of the receivers.

use std::time::{Duration, Instant};

/// Bounds of the reports on a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Fraction of a link that an entry's own reports take, and the same fraction again for those that are passed on
    /// to it.
    pub link_fraction: f64,
    /// Time whose budget may be sent at once.
    pub burst: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            link_fraction: 0.25,
            burst: Duration::from_millis(200),
        }
    }
}

/// The way of a report from one entry to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportRoute {
    /// From an entry to its data centre, or to all entries of a small fleet.
    Direct,
    /// From a relay to the relays of other data centres.
    BetweenRelays,
    /// From a relay to its data centre.
    Relayed,
}

/// Bytes per second that may be sent; `None` if that is not bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportRates {
    /// On all routes together, by the link of the sender.
    pub link: Option<f64>,
    /// On the direct route, by the links of the receivers.
    pub direct: Option<f64>,
    /// To other relays, by their links.
    pub between_relays: Option<f64>,
    /// From the relay to its data centre, by the links there.
    pub relayed: Option<f64>,
}

/// A number of bytes that grows at a rate. What is sent may exceed it and is then made up for.
#[derive(Clone, Copy, Debug, Default)]
struct ByteBudget {
    rate: Option<f64>,
    /// Bytes that may be sent, and when that was so; negative if more was sent.
    level: Option<(f64, Instant)>,
}

impl ByteBudget {
    fn level(&self, now: Instant, burst: Duration) -> f64 {
        let Some(rate) = self.rate else {
            return f64::INFINITY;
        };
        let full = rate * burst.as_secs_f64();
        self.level.map_or(full, |(level, at)| {
            let grown = now.saturating_duration_since(at).as_secs_f64() * rate;
            full.min(level + grown)
        })
    }

    fn wait(&self, now: Instant, burst: Duration) -> Duration {
        let level = self.level(now, burst);
        match self.rate {
            Some(rate) if level < 1.0 => Duration::from_secs_f64((1.0 - level) / rate),
            _ => Duration::ZERO,
        }
    }

    fn record_sent(&mut self, now: Instant, burst: Duration, bytes: usize) {
        if self.rate.is_some() {
            self.level = Some((self.level(now, burst) - bytes as f64, now));
        }
    }

    fn set_rate(&mut self, now: Instant, burst: Duration, rate: Option<f64>) {
        let rate = rate.filter(|rate| *rate > 0.0);
        if self.rate != rate {
            let level = self.level(now, burst);
            self.level = level.is_finite().then_some((level, now));
            self.rate = rate;
        }
    }
}

/// Decides when and how much an entry may send on each route.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportBudget {
    settings: BudgetSettings,
    link: ByteBudget,
    direct: ByteBudget,
    between_relays: ByteBudget,
    relayed: ByteBudget,
}

impl ReportBudget {
    /// Sets the rates; what was sent before still counts.
    pub fn set_rates(&mut self, now: Instant, rates: ReportRates) {
        let burst = self.settings.burst;
        self.link.set_rate(now, burst, rates.link);
        self.direct.set_rate(now, burst, rates.direct);
        self.between_relays
            .set_rate(now, burst, rates.between_relays);
        self.relayed.set_rate(now, burst, rates.relayed);
    }

    /// Returns the time until something may be sent on a route.
    pub fn wait(&self, now: Instant, route: ReportRoute) -> Duration {
        let burst = self.settings.burst;
        let route = self.route(route);
        self.link.wait(now, burst).max(route.wait(now, burst))
    }

    /// Returns how many bytes may be sent at once on a route; infinite if that is not bounded.
    pub fn room(&self, now: Instant, route: ReportRoute) -> f64 {
        let burst = self.settings.burst;
        let route = self.route(route);
        let room = self.link.level(now, burst).min(route.level(now, burst));
        room.max(0.0)
    }

    /// Records that bytes were sent on a route.
    pub fn record_sent(&mut self, now: Instant, route: ReportRoute, bytes: usize) {
        let burst = self.settings.burst;
        self.link.record_sent(now, burst, bytes);
        let budget = match route {
            ReportRoute::Direct => &mut self.direct,
            ReportRoute::BetweenRelays => &mut self.between_relays,
            ReportRoute::Relayed => &mut self.relayed,
        };
        budget.record_sent(now, burst, bytes);
    }

    fn route(&self, route: ReportRoute) -> &ByteBudget {
        match route {
            ReportRoute::Direct => &self.direct,
            ReportRoute::BetweenRelays => &self.between_relays,
            ReportRoute::Relayed => &self.relayed,
        }
    }
}
