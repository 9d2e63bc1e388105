//! Fair queueing of one model's waiting requests between ranks and callers.
//!
//! Each caller has a guaranteed share of the work that is started and, beyond it, takes part in the surplus.
//! A start within the guarantee advances the caller's guarantee tag by `cost / share`; the caller is due
//! while that tag is not ahead of the total work started. Surplus goes to urgent callers first and within a
//! rank by start-time fair queueing with the callers' worth as weights.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use gs_document::document::CallerRank;
use gs_protocol::ids::RequestId;

/// Tag units for one microsecond of engine time.
const TAG_SCALE: f64 = 256.0;

/// Callers looked at in one choice before the choice is given up.
const MAX_SCANNED_CALLERS: usize = 8;

/// The least share or worth that a charge is divided by.
const MIN_DIVISOR: f64 = 1e-6;

/// A caller's place in the caller table.
pub type CallerId = u32;

/// Whether a prompt may hold up others at a prefill server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SizeClass {
    /// Its prefill takes longer than the configured bound.
    Long,
    /// Any other.
    Short,
}

/// Where a waiting request stands within its caller's queue: earliest deadline first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// When the first token is due.
    pub deadline: Instant,
    /// The request.
    pub request: RequestId,
}

/// What a caller is owed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerWeight {
    /// The caller's rank.
    pub rank: CallerRank,
    /// The part of the fleet that the caller keeps while it has work.
    pub guaranteed_share: f64,
    /// The caller's weight in the surplus.
    pub worth: f64,
}

/// The weight of a caller that nothing is known of.
const DEFAULT_WEIGHT: CallerWeight = CallerWeight {
    rank: CallerRank::Normal,
    guaranteed_share: 0.0,
    worth: 1.0,
};

/// Why a request is next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareKind {
    /// Its caller is owed work.
    Guaranteed,
    /// Nobody else is owed work.
    Surplus,
}

/// The request whose turn it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueSelection {
    /// The caller.
    pub caller: CallerId,
    /// Why it is next.
    pub kind: ShareKind,
    /// The request.
    pub key: QueueKey,
}

/// A request that was started in its turn, and what its caller was charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChargedSelection {
    /// The request's turn.
    pub selection: QueueSelection,
    charge: ShareCharge,
}

/// By how much a start advances the tags of its caller and the total work.
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

/// One caller's waiting requests and tags.
#[derive(Clone, Debug)]
struct CallerQueue {
    weight: CallerWeight,
    long: BTreeSet<QueueKey>,
    short: BTreeSet<QueueKey>,
    guaranteed_tag: u64,
    surplus_tag: u64,
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

    fn first_key(&self, long_allowed: bool) -> Option<QueueKey> {
        let short = self.short.first().copied();
        let long = self.long.first().copied().filter(|_| long_allowed);
        match (short, long) {
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        }
    }
}

/// Callers of one rank that have waiting work, by tag.
#[derive(Clone, Debug, Default)]
struct RankOrder {
    guaranteed: BTreeSet<(u64, CallerId)>,
    surplus: BTreeSet<(u64, CallerId)>,
    surplus_clock: u64,
}

/// The waiting requests of one model.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    callers: BTreeMap<CallerId, CallerQueue>,
    orders: BTreeMap<CallerRank, RankOrder>,
    started_work: u64,
    len: usize,
}

impl FairQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests of a caller that wait.
    pub fn caller_len(&self, caller: CallerId) -> usize {
        self.callers.get(&caller).map_or(0, CallerQueue::len)
    }

    /// Engine time of a caller's waiting requests, in microseconds.
    pub fn caller_cost_us(&self, caller: CallerId) -> u64 {
        self.callers.get(&caller).map_or(0, |queue| queue.cost_us)
    }

    /// Whether a request of the rank waits.
    pub fn has_rank_waiting(&self, rank: CallerRank) -> bool {
        self.orders
            .get(&rank)
            .is_some_and(|order| !order.surplus.is_empty())
    }

    /// Sets what a caller is owed.
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

    /// Adds a request of a caller whose weight is set.
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

    /// Removes a request that is refused or withdrawn, or was started.
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

    /// The next request, with callers in `skipped` left out.
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

    /// Removes the request whose turn it was and charges its caller.
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

    /// Puts back a request that was started and did not run, and takes the charge back.
    pub fn undo_dequeue(&mut self, dequeued: &ChargedSelection, class: SizeClass, cost_us: u64) {
        let ChargedSelection { selection, charge } = dequeued;
        self.push(selection.caller, class, selection.key, cost_us);
        self.unindex_caller(selection.caller);
        if let Some(queue) = self.callers.get_mut(&selection.caller) {
            queue.guaranteed_tag = queue.guaranteed_tag.saturating_sub(charge.guaranteed);
            queue.surplus_tag = queue.surplus_tag.saturating_sub(charge.surplus);
        }
        self.started_work = self.started_work.saturating_sub(charge.work);
        self.index_caller(selection.caller);
    }

    /// Lists a caller that had no work: what it left unused is not owed to it later.
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

    fn unindex_caller(&mut self, caller: CallerId) {
        let Some(queue) = self.callers.get(&caller) else {
            return;
        };
        let order = self.orders.entry(queue.weight.rank).or_default();
        order.surplus.remove(&(queue.surplus_tag, caller));
        order.guaranteed.remove(&(queue.guaranteed_tag, caller));
    }
}
