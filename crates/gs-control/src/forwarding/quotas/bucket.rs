//! The token bucket of one workspace, and the cost that each peer has reported for it.

use std::time::{Duration, Instant};

use super::messages::{QuotaDecision, QuotaRefusal, QuotaReport};
use super::peers::{FleetShare, PeerState, PeerTable};
use super::settings::QuotaSettings;
use crate::forwarding::QuotaSpec;

/// Time constant of the average rates of cost and demand.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// Half-life of the cost by which workspaces are compared, over ln 2.
const RECENT_PERIOD: Duration = Duration::from_millis(5_771);

/// Part of the permitted overrun that admissions may use which entries decide on without knowing of each
/// other.
const CONCURRENT_FRACTION: f64 = 0.5;

/// Maximum rate at which peers are assumed to spend while their reports are late, in multiples of the quota's rate.
const MAX_OVERDUE_RATE: f64 = 2.0;

/// Part of the permitted overrun up to which demand is admitted without thinning it.
const UNTHINNED_FRACTION: f64 = 0.25;

/// Part of the permitted overrun that is added to the burst, so that the demand of few large requests is
/// not refused because they come unevenly.
const BURST_FRACTION: f64 = 0.2;

/// Maximum of that addition, as the time in which the rate allows as much.
const MAX_BURST_ADDITION: Duration = Duration::from_secs(2);

/// A request is cheap if this many like it fit into the permitted overrun. Cheap requests are admitted while the
/// level is below zero: with requests of 10,000 and of 200 tokens in one bucket, each large one closed it to the
/// small ones, which together need a small part of the rate.
const CHEAP_REQUESTS: f64 = 500.0;

/// Minimum size of a bucket, as the time in which the rate fills it: without a burst the level would
/// never be above zero.
const MIN_BURST: Duration = Duration::from_millis(500);

/// Part of the entry's demand in its part of concurrent admissions; the rest is divided equally.
const DEMAND_WEIGHT: f64 = 0.75;

/// Minimum time between two changes of the reported cost of refused requests, which is no urgent news.
const REFUSED_INTERVAL: Duration = Duration::from_millis(500);

/// Part of the random spread in the time after which a refused request may be sent again.
const RETRY_SPREAD: f64 = 0.3;

/// Minimum part of the rate from which the time is worked out after which a refused request may be sent
/// again: an entry that has just started gets more soon.
const MIN_RATE_PART: f64 = 0.001;

/// Part of an entry's unreported cost in what the fleet may admit at once from which a report is due.
const URGENT_FRACTION: f64 = 0.125;

/// A sum that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingSum {
    value: f64,
    at: Instant,
    period: Duration,
}

impl DecayingSum {
    pub fn new(now: Instant, period: Duration) -> Self {
        Self {
            value: 0.0,
            at: now,
            period,
        }
    }

    /// Returns the sum.
    pub fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * (-age.as_secs_f64() / self.period.as_secs_f64()).exp()
    }

    /// Returns the average amount a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.value(now) / self.period.as_secs_f64()
    }

    pub fn add(&mut self, now: Instant, amount: f64) {
        self.value = (self.value(now) + amount).max(0.0);
        self.at = self.at.max(now);
    }
}

/// What a peer has reported for the workspace.
#[derive(Clone, Copy, Debug)]
struct PeerCost {
    admitted: u64,
    refused: u64,
    /// Cost that the peer admits, averaged over the time in which it was heard.
    cost: DecayingSum,
    /// Cost that was subtracted when the peer fell silent.
    assumed: f64,
}

impl PeerCost {
    fn new(now: Instant) -> Self {
        Self {
            admitted: 0,
            refused: 0,
            cost: DecayingSum::new(now, RATE_PERIOD),
            assumed: 0.0,
        }
    }
}

/// How the first report of a peer is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FirstReport {
    /// Its totals are from before this entry started to count.
    Baseline,
    /// Its totals were admitted since it was last heard.
    Counted,
}

/// What a quota permits, in cost.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QuotaLimit {
    /// Cost a second.
    rate: f64,
    /// Cost that the fleet may admit at once after a pause.
    size: f64,
    /// Cost in a window that is permitted beyond the quota.
    overrun: f64,
}

impl QuotaLimit {
    fn new(spec: QuotaSpec, settings: &QuotaSettings) -> Self {
        let QuotaSpec { rate, burst } = spec;
        let allowed = rate * settings.window.as_secs_f64() + burst;
        let overrun = allowed * settings.overage + settings.slack;
        let max_addition = rate * MAX_BURST_ADDITION.as_secs_f64();
        let addition = (overrun * BURST_FRACTION).min(max_addition);
        Self {
            rate,
            size: (burst + addition).max(rate * MIN_BURST.as_secs_f64()),
            overrun,
        }
    }
}

/// The bucket of one workspace.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceBucket {
    limit: Option<QuotaLimit>,
    /// Cost that the fleet may still admit, as of `level_at`. Negative if it is to be paid back.
    level: f64,
    level_at: Instant,
    /// Cost of admitted requests of all entries.
    pub recent: DecayingSum,
    /// Cost that callers ask for at all entries.
    demand: DecayingSum,
    /// Cost that callers ask for at this entry.
    own_demand: DecayingSum,
    /// Cost that this entry has admitted and peers may not know of.
    own_recent: DecayingSum,
    /// Cost of refused requests that were told to come back to this entry and have not yet.
    waiting: f64,
    waiting_at: Instant,
    admitted: u64,
    refused: u64,
    reported: Option<(QuotaReport, Instant)>,
    changed_at: Instant,
    peers: Vec<Option<PeerCost>>,
}

impl WorkspaceBucket {
    pub fn new(now: Instant, settings: &QuotaSettings) -> Self {
        Self {
            limit: None,
            level: 0.0,
            level_at: now,
            recent: DecayingSum::new(now, RECENT_PERIOD),
            demand: DecayingSum::new(now, RATE_PERIOD),
            own_demand: DecayingSum::new(now, RATE_PERIOD),
            own_recent: DecayingSum::new(now, settings.propagation),
            waiting: 0.0,
            waiting_at: now,
            admitted: 0,
            refused: 0,
            reported: None,
            changed_at: now,
            peers: Vec::new(),
        }
    }

    /// Sets the quota. A debt beyond the overrun that the new quota permits is remitted: it was within the
    /// earlier one.
    pub fn set_quota(
        &mut self,
        now: Instant,
        quota: Option<QuotaSpec>,
        share: &FleetShare,
        settings: &QuotaSettings,
    ) {
        let limit = quota.map(|quota| QuotaLimit::new(quota, settings));
        if self.limit == limit {
            return;
        }
        self.advance(now, share);
        self.limit = limit;
        if let Some(limit) = limit {
            let max_level = limit.size * share.heard_part();
            let max_debt = limit.overrun * CONCURRENT_FRACTION;
            self.level = self.level.min(max_level).max(-max_debt);
        }
    }

    /// Adds what the rate has allowed since the last call.
    pub fn advance(&mut self, now: Instant, share: &FleetShare) {
        let elapsed = now.saturating_duration_since(self.level_at).as_secs_f64();
        self.level_at = self.level_at.max(now);
        let Some(limit) = self.limit else {
            self.level = 0.0;
            return;
        };
        let max_level = limit.size * share.heard_part();
        self.level = (self.level + limit.rate * share.rate_part * elapsed).min(max_level);
    }

    /// Returns the cost that heard peers may have admitted since their last reports, if they go on as
    /// before. For reports of the usual age it is at most half of the bucket. Reports that are older on the
    /// average show that peers are cut off before each of them counts as silent. They count for no more than the
    /// fleet can spend in that time: rates of single peers are those of single large requests.
    fn unreported(&self, now: Instant, limit: &QuotaLimit, peers: &PeerTable) -> f64 {
        let (mut usual, mut overdue, mut overdue_age, mut count) = (0.0, 0.0, 0.0, 0_u32);
        for (slot, peer) in peers.iter().filter(|(_, peer)| peer.silent_since.is_none()) {
            count += 1;
            overdue_age += (peer.age(now) - peer.mean_gap).max(0.0);
            let Some(Some(known)) = self.peers.get(slot) else {
                continue;
            };
            let rate = known.cost.rate(peer.heard_at);
            let age = peer.age(now);
            usual += rate * age.min(peer.mean_gap);
            overdue += rate * (age - peer.mean_gap);
        }
        let max_overdue = limit.rate * MAX_OVERDUE_RATE * overdue_age / f64::from(count.max(1));
        usual.min(0.5 * limit.size) + overdue.clamp(0.0, max_overdue)
    }

    /// Returns the part of this entry in the demand of the fleet.
    fn own_share(&self, now: Instant, share: &FleetShare) -> f64 {
        let equal = 1.0 / share.heard as f64;
        let demand = self.demand.value(now);
        if demand <= 0.0 {
            return equal;
        }
        let own = (self.own_demand.value(now) / demand).min(1.0);
        DEMAND_WEIGHT * own + (1.0 - DEMAND_WEIGHT) * equal
    }

    /// Decides on a request and counts its cost if it is admitted. `draw` is a random number from 0 to 1.
    pub fn decide(
        &mut self,
        now: Instant,
        cost: u64,
        draw: f64,
        fleet: (&PeerTable, &FleetShare),
        settings: &QuotaSettings,
    ) -> QuotaDecision {
        let (peers, share) = fleet;
        self.advance(now, share);
        let amount = cost as f64;
        self.demand.add(now, amount);
        self.own_demand.add(now, amount);
        let Some(limit) = self.limit.filter(|_| cost > 0) else {
            self.admit(now, cost);
            return QuotaDecision::Admitted {
                is_report_due: false,
            };
        };
        let available = self.level - self.unreported(now, &limit, peers);
        let overrun = limit.overrun * share.heard_part();
        let concurrent = overrun * CONCURRENT_FRACTION;
        let own_share = self.own_share(now, share);
        let demand_rate = self.demand.rate(now);
        let unseen_demand = demand_rate * settings.propagation.as_secs_f64();
        // A small group of entries makes no debt that all such groups together could not pay back.
        let is_covered = share.is_majority || available - amount >= -concurrent;
        let is_cheap = amount * CHEAP_REQUESTS <= limit.overrun;
        let is_admitted = is_covered
            && match is_cheap {
                true => available > -concurrent,
                false => {
                    available > 0.0
                        && draw * unseen_demand < available + overrun * UNTHINNED_FRACTION
                        && self.own_recent.value(now) < (available + concurrent) * own_share
                }
            };
        if is_admitted {
            self.admit(now, cost);
            let unreported = self.own_recent.value(now);
            let urgent = (available + concurrent) * URGENT_FRACTION / share.heard as f64;
            return QuotaDecision::Admitted {
                is_report_due: unreported >= urgent,
            };
        }
        self.refused += cost;
        self.changed_at = now;
        let rate = limit.rate * share.rate_part.max(MIN_RATE_PART);
        let wait = (-available).max(0.0) / rate + self.wait_in_line(now, amount, rate * own_share);
        let wait = wait * (1.0 + RETRY_SPREAD * draw);
        let (min, max) = (settings.min_retry, settings.max_retry);
        let retry_after = Duration::from_secs_f64(wait.min(max.as_secs_f64())).max(min);
        QuotaDecision::Refused(QuotaRefusal {
            retry_after,
            available,
            demand_rate,
            heard_entries: share.heard,
            entries: share.entries,
        })
    }

    /// Returns when those are through that were told to come back before, and adds a request to them.
    /// `rate` is the part of the rate that this entry's callers get.
    fn wait_in_line(&mut self, now: Instant, amount: f64, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.waiting_at).as_secs_f64();
        self.waiting = (self.waiting - rate * elapsed).max(0.0);
        self.waiting_at = now;
        let wait = self.waiting / rate;
        self.waiting += amount;
        wait
    }

    fn admit(&mut self, now: Instant, cost: u64) {
        let amount = cost as f64;
        self.level -= amount;
        self.recent.add(now, amount);
        self.own_recent.add(now, amount);
        self.admitted += cost;
        self.changed_at = now;
    }

    /// Gives back the cost of a request that has not run. Peers learn of it from the lower total.
    pub fn give_back(&mut self, now: Instant, cost: u64, share: &FleetShare) {
        self.advance(now, share);
        let amount = cost as f64;
        self.level += amount;
        self.recent.add(now, -amount);
        self.own_recent.add(now, -amount);
        self.demand.add(now, -amount);
        self.own_demand.add(now, -amount);
        self.admitted = self.admitted.saturating_sub(cost);
        self.changed_at = now;
        self.advance(now, share);
    }

    /// Returns when the own totals last changed.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Returns what is reported of the workspace, or `None` if it was not used lately.
    pub fn report(
        &mut self,
        now: Instant,
        workspace: u32,
        settings: &QuotaSettings,
    ) -> Option<QuotaReport> {
        if now.saturating_duration_since(self.changed_at) >= settings.report_period {
            return None;
        }
        if self.admitted == 0 && self.refused == 0 && self.reported.is_none() {
            return None;
        }
        let (refused, refused_at) = match self.reported {
            Some((before, at)) if now.saturating_duration_since(at) < REFUSED_INTERVAL => {
                (before.refused, at)
            }
            _ => (self.refused, now),
        };
        let report = QuotaReport {
            workspace,
            admitted: self.admitted,
            refused,
        };
        self.reported = Some((report, refused_at));
        Some(report)
    }

    /// Applies the totals that a peer reports. The total of admitted cost falls if cost is given back. The peer
    /// is given as it was before the report.
    pub fn apply(
        &mut self,
        now: Instant,
        slot: usize,
        peer: &PeerState,
        totals: (u64, u64),
        first: FirstReport,
        share: &FleetShare,
    ) {
        let (admitted, refused) = totals;
        let known = self.peers.get(slot).copied().flatten();
        let before = known.map_or((0, 0), |known| (known.admitted, known.refused));
        if before == totals && (known.is_none() || peer.silent_since.is_none()) {
            return;
        }
        self.advance(now, share);
        let is_new = known.is_none();
        let mut known = known.unwrap_or_else(|| PeerCost::new(now));
        let (mut new_admitted, mut new_refused) = (
            admitted as f64 - known.admitted as f64,
            refused.saturating_sub(known.refused) as f64,
        );
        if is_new && first == FirstReport::Baseline {
            (new_admitted, new_refused) = (0.0, 0.0);
        }
        let assumed = match peer.silent_since {
            Some(since) => known.assumed + self.assumed_since(now, since, share),
            None => 0.0,
        };
        let before = self.level;
        let debit = new_admitted - assumed;
        self.level = match debit < 0.0 && assumed > 0.0 {
            // A part of the assumed debt may have been remitted, so that it is paid back at most up to zero.
            true => self.level.max((self.level - debit).min(0.0)),
            false => self.level - debit,
        };
        if peer.silent_since.is_some() {
            self.limit_sudden_debt(before, share);
        }
        known.assumed = 0.0;
        self.recent.add(now, new_admitted);
        self.demand.add(now, new_admitted + new_refused);
        known.cost.add(now, new_admitted);
        (known.admitted, known.refused) = (admitted, refused);
        if self.peers.len() <= slot {
            self.peers.resize(slot + 1, None);
        }
        self.peers[slot] = Some(known);
    }

    /// Returns the totals that a peer has reported last.
    pub fn known_totals(&self, slot: usize) -> (u64, u64) {
        let known = self.peers.get(slot).copied().flatten();
        known.map_or((0, 0), |known| (known.admitted, known.refused))
    }

    /// Returns the part of a silent peer since a time.
    fn assumed_since(&self, now: Instant, since: Instant, share: &FleetShare) -> f64 {
        let rate = self.limit.map_or(0.0, |limit| limit.rate) / share.entries as f64;
        rate * now.saturating_duration_since(since).as_secs_f64()
    }

    /// Subtracts what a peer may have admitted since its last report, because it counts as silent from now
    /// on.
    pub fn mark_silent(&mut self, now: Instant, slot: usize, peer: &PeerState, share: &FleetShare) {
        self.advance(now, share);
        let Some(limit) = self.limit else {
            return;
        };
        let known = self.peers.get(slot).copied().flatten();
        let mut known = known.unwrap_or_else(|| PeerCost::new(now));
        let rate = known.cost.rate(peer.heard_at);
        known.assumed = rate.max(limit.rate / share.entries as f64) * peer.age(now);
        self.level -= known.assumed;
        if self.peers.len() <= slot {
            self.peers.resize(slot + 1, None);
        }
        self.peers[slot] = Some(known);
    }

    /// Remits a debt that was assumed, or made by peers while they were not heard, as far as the part of the
    /// heard entries in the permitted overrun covers it. `before` is the level before the debt.
    pub fn limit_sudden_debt(&mut self, before: f64, share: &FleetShare) {
        let overrun = self.limit.map_or(0.0, |limit| limit.overrun);
        let floor = -overrun * CONCURRENT_FRACTION * share.heard_part();
        self.level = self.level.max(floor.min(before));
    }

    /// Returns the cost that the fleet may still admit, as of the last call of [`Self::advance`].
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Starts the count of a peer again, because it has started again or has ended.
    pub fn restart_peer(&mut self, slot: usize) {
        if let Some(known) = self.peers.get_mut(slot) {
            *known = None;
        }
    }
}
