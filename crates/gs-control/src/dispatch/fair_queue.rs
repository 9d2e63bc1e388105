//! Fair queueing of one model's waiting requests across ranks and callers.
//!
//! Each caller has a guaranteed share of the started work and competes for the surplus beyond it. A
//! start within the guarantee advances the caller's guarantee tag by `cost / share`; the caller is
//! due while that tag does not exceed the total started work. Surplus goes to urgent callers first,
//! and within a rank by start-time fair queueing weighted by the callers' worth.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use gs_document::document::CallerRank;
use gs_protocol::ids::RequestId;

/// Tag units per microsecond of engine time.
const TAG_SCALE: f64 = 256.0;

/// Maximum number of callers of one rank that a selection checks for a startable request.
const MAX_SCANNED_CALLERS: usize = 8;

/// Lower bound for a share or worth that a charge is divided by.
const MIN_DIVISOR: f64 = 1e-6;

/// Index of a caller in the caller table.
pub type CallerId = u32;

/// Size of a prompt. Long prompts are held back while they occupy too many prefill servers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SizeClass {
    /// The prefill takes longer than the configured bound.
    Long,
    /// Any other prompt.
    Short,
}

/// Position of a request in its caller's queue, earliest deadline first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// Time at which the first token is due.
    pub deadline: Instant,
    /// Request.
    pub request: RequestId,
}

/// Scheduling weight of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerWeight {
    /// Rank of the caller.
    pub rank: CallerRank,
    /// Fraction of the started work guaranteed to the caller while it has requests waiting, 0 to 1.
    pub guaranteed_share: f64,
    /// Weight of the caller in the surplus.
    pub worth: f64,
}

/// Weight of a caller that is not in the queue.
const DEFAULT_WEIGHT: CallerWeight = CallerWeight {
    rank: CallerRank::Normal,
    guaranteed_share: 0.0,
    worth: 1.0,
};

/// Share that a selected request is started from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareKind {
    /// The caller has not used up its guaranteed share.
    Guaranteed,
    /// No caller is due within its guaranteed share.
    Surplus,
}

/// The request selected to start next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueSelection {
    /// Caller of the request.
    pub caller: CallerId,
    /// Share that the start is charged to.
    pub kind: ShareKind,
    /// Position of the request in the caller's queue.
    pub key: QueueKey,
}

/// A dequeued request and the charge for it, which can be undone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChargedSelection {
    /// The selection that was dequeued.
    pub selection: QueueSelection,
    charge: ShareCharge,
}

/// Amounts by which a start advances its caller's tags and the total started work, in tag units.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ShareCharge {
    guaranteed: u64,
    surplus: u64,
    work: u64,
}

impl ShareCharge {
    fn new(weight: &CallerWeight, kind: ShareKind, cost_us: u64) -> Self {
        let work = cost_us as f64 * TAG_SCALE;
        let (guaranteed, surplus) = match kind {
            ShareKind::Guaranteed => (work / weight.guaranteed_share.max(MIN_DIVISOR), 0.0),
            ShareKind::Surplus => (0.0, work / weight.worth.max(MIN_DIVISOR)),
        };
        Self {
            guaranteed: guaranteed as u64,
            surplus: surplus as u64,
            work: work as u64,
        }
    }
}

/// Waiting requests and fair-queueing tags of one caller.
#[derive(Clone, Debug)]
struct CallerQueue {
    weight: CallerWeight,
    long: BTreeSet<QueueKey>,
    short: BTreeSet<QueueKey>,
    guaranteed_tag: u64,
    surplus_tag: u64,
    /// Engine time of the waiting requests.
    cost_us: u64,
}

impl CallerQueue {
    fn new(weight: CallerWeight) -> Self {
        Self {
            weight,
            long: BTreeSet::new(),
            short: BTreeSet::new(),
            guaranteed_tag: 0,
            surplus_tag: 0,
            cost_us: 0,
        }
    }

    fn len(&self) -> usize {
        self.long.len() + self.short.len()
    }

    fn requests_mut(&mut self, class: SizeClass) -> &mut BTreeSet<QueueKey> {
        match class {
            SizeClass::Long => &mut self.long,
            SizeClass::Short => &mut self.short,
        }
    }

    /// Earliest deadline in the queue, without long prompts unless they are allowed.
    fn first_key(&self, long_allowed: bool) -> Option<QueueKey> {
        let short = self.short.first().copied();
        let long = self.long.first().copied().filter(|_| long_allowed);
        match (short, long) {
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        }
    }
}

/// Callers of one rank with waiting requests, ordered by tag.
#[derive(Clone, Debug, Default)]
struct RankOrder {
    guaranteed: BTreeSet<(u64, CallerId)>,
    surplus: BTreeSet<(u64, CallerId)>,
    /// Virtual time of the surplus: the largest surplus tag at which a start was charged.
    surplus_clock: u64,
}

/// Waiting requests of one model, shared fairly between callers.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    callers: BTreeMap<CallerId, CallerQueue>,
    orders: BTreeMap<CallerRank, RankOrder>,
    /// Total work started, in tag units.
    started_work: u64,
    len: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of a caller's waiting requests.
    pub fn caller_len(&self, caller: CallerId) -> usize {
        self.callers.get(&caller).map_or(0, CallerQueue::len)
    }

    /// Engine time of a caller's waiting requests, in microseconds.
    pub fn caller_cost_us(&self, caller: CallerId) -> u64 {
        self.callers.get(&caller).map_or(0, |queue| queue.cost_us)
    }

    /// Whether a caller of the rank has waiting requests.
    pub fn has_rank_waiting(&self, rank: CallerRank) -> bool {
        self.orders
            .get(&rank)
            .is_some_and(|order| !order.surplus.is_empty())
    }

    /// Sets the scheduling weight of a caller.
    pub fn set_weight(&mut self, caller: CallerId, weight: CallerWeight) {
        let queue = self
            .callers
            .entry(caller)
            .or_insert_with(|| CallerQueue::new(weight));
        if queue.weight == weight {
            return;
        }
        self.unindex_caller(caller);
        if let Some(queue) = self.callers.get_mut(&caller) {
            queue.weight = weight;
        }
        self.index_caller(caller);
    }

    /// Adds a request. Does nothing if the caller has no weight yet.
    pub fn push(&mut self, caller: CallerId, class: SizeClass, key: QueueKey, cost_us: u64) {
        let Some(queue) = self.callers.get_mut(&caller) else {
            return;
        };
        let was_idle = queue.len() == 0;
        if queue.requests_mut(class).insert(key) {
            queue.cost_us += cost_us;
            self.len += 1;
        }
        if was_idle {
            self.activate_caller(caller);
        }
    }

    /// Removes a request that is refused, cancelled or started.
    pub fn remove(&mut self, caller: CallerId, class: SizeClass, key: QueueKey, cost_us: u64) {
        let Some(queue) = self.callers.get_mut(&caller) else {
            return;
        };
        if !queue.requests_mut(class).remove(&key) {
            return;
        }
        queue.cost_us = queue.cost_us.saturating_sub(cost_us);
        self.len -= 1;
        if queue.len() == 0 {
            self.unindex_caller(caller);
        }
    }

    /// Selects the next request: first from callers due within their guaranteed share, then from
    /// the surplus. Leaves out callers in `skipped`.
    pub fn select_next(&self, long_allowed: bool, skipped: &[CallerId]) -> Option<QueueSelection> {
        let select_from = |kind, callers: &mut dyn Iterator<Item = CallerId>| {
            callers
                .filter(|caller| !skipped.contains(caller))
                .take(MAX_SCANNED_CALLERS)
                .find_map(|caller| {
                    let key = self.callers.get(&caller)?.first_key(long_allowed)?;
                    Some(QueueSelection { caller, kind, key })
                })
        };
        let guaranteed = self.orders.values().find_map(|order| {
            let due = order.guaranteed.iter();
            let mut due = due
                .take_while(|(tag, _)| *tag <= self.started_work)
                .map(|(_, caller)| *caller);
            select_from(ShareKind::Guaranteed, &mut due)
        });
        guaranteed.or_else(|| {
            self.orders.values().find_map(|order| {
                let mut callers = order.surplus.iter().map(|(_, caller)| *caller);
                select_from(ShareKind::Surplus, &mut callers)
            })
        })
    }

    /// Removes the selected request and charges its caller.
    pub fn dequeue(
        &mut self,
        selection: QueueSelection,
        class: SizeClass,
        cost_us: u64,
    ) -> ChargedSelection {
        let weight = self
            .callers
            .get(&selection.caller)
            .map(|queue| queue.weight);
        let charge = ShareCharge::new(&weight.unwrap_or(DEFAULT_WEIGHT), selection.kind, cost_us);
        self.unindex_caller(selection.caller);
        if let Some(queue) = self.callers.get_mut(&selection.caller) {
            let order = self.orders.entry(queue.weight.rank).or_default();
            if selection.kind == ShareKind::Surplus {
                order.surplus_clock = order.surplus_clock.max(queue.surplus_tag);
            }
            queue.guaranteed_tag = queue.guaranteed_tag.saturating_add(charge.guaranteed);
            queue.surplus_tag = queue.surplus_tag.saturating_add(charge.surplus);
        }
        self.started_work = self.started_work.saturating_add(charge.work);
        self.index_caller(selection.caller);
        self.remove(selection.caller, class, selection.key, cost_us);
        ChargedSelection { selection, charge }
    }

    /// Returns a request that was dequeued but not run, and undoes its charge.
    pub fn undo_dequeue(&mut self, charged: &ChargedSelection, class: SizeClass, cost_us: u64) {
        let ChargedSelection { selection, charge } = charged;
        self.push(selection.caller, class, selection.key, cost_us);
        self.unindex_caller(selection.caller);
        if let Some(queue) = self.callers.get_mut(&selection.caller) {
            queue.guaranteed_tag = queue.guaranteed_tag.saturating_sub(charge.guaranteed);
            queue.surplus_tag = queue.surplus_tag.saturating_sub(charge.surplus);
        }
        self.started_work = self.started_work.saturating_sub(charge.work);
        self.index_caller(selection.caller);
    }

    /// Indexes a caller whose queue was empty. Its tags catch up with the clocks, so share left
    /// unused while idle does not accumulate.
    fn activate_caller(&mut self, caller: CallerId) {
        let started_work = self.started_work;
        let Some(queue) = self.callers.get_mut(&caller) else {
            return;
        };
        let order = self.orders.entry(queue.weight.rank).or_default();
        queue.guaranteed_tag = queue.guaranteed_tag.max(started_work);
        queue.surplus_tag = queue.surplus_tag.max(order.surplus_clock);
        self.index_caller(caller);
    }

    /// Adds a caller with waiting requests to the order of its rank.
    fn index_caller(&mut self, caller: CallerId) {
        let Some(queue) = self.callers.get(&caller).filter(|queue| queue.len() > 0) else {
            return;
        };
        let order = self.orders.entry(queue.weight.rank).or_default();
        order.surplus.insert((queue.surplus_tag, caller));
        if queue.weight.guaranteed_share > 0.0 {
            order.guaranteed.insert((queue.guaranteed_tag, caller));
        }
    }

    /// Removes a caller from the order of its rank; needed before its tags or weight change.
    fn unindex_caller(&mut self, caller: CallerId) {
        let Some(queue) = self.callers.get(&caller) else {
            return;
        };
        let order = self.orders.entry(queue.weight.rank).or_default();
        order.surplus.remove(&(queue.surplus_tag, caller));
        order.guaranteed.remove(&(queue.guaranteed_tag, caller));
    }
}
