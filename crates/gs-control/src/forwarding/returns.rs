//! Which refused clients were told to return, and when.
//!
//! The time at which a client gives up is the same in all attempts of one request, so a client that comes back
//! to this entry is recognized by it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum difference between the give-up times that two attempts of one request state. They differ by the
/// delays of the network; a larger value would mix up clients.
const GIVE_UP_TOLERANCE: Duration = Duration::from_millis(15);

/// How much earlier than told a client may come back, because of rounding.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);

/// How long after its time the return of a client is expected.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of clients whose return is expected.
const MAX_PROMISES: usize = 4_096;

/// What an entry knows of a client that sends a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReturnState {
    /// The client has not been refused at this entry lately.
    Unknown,
    /// The client came back before the time that it was told.
    Early {
        /// Time until then.
        left: Duration,
    },
    /// The client came back as told.
    AsTold,
}

/// A refused client that was told when to return.
#[derive(Clone, Copy, Debug)]
struct ReturnPromise {
    due: Instant,
    rank: usize,
}

/// Key of a promise: the workspace, when the client gives up if it said so, and a number.
type PromiseKey = (String, Option<Instant>, u64);

/// The refused clients whose return is expected.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnLedger {
    promises: BTreeMap<PromiseKey, ReturnPromise>,
    /// The promises by the time until which they are kept.
    expiries: BTreeMap<(Instant, u64), PromiseKey>,
    next_number: u64,
}

impl ReturnLedger {
    /// Records when a refused client was told to return.
    pub fn promise(
        &mut self,
        now: Instant,
        workspace: &str,
        gives_up_at: Option<Instant>,
        rank: usize,
        delay: Duration,
    ) {
        self.expire(now);
        if self.promises.len() >= MAX_PROMISES {
            return;
        }
        let number = self.next_number;
        self.next_number += 1;
        let due = now + delay;
        let key = (workspace.to_owned(), gives_up_at, number);
        self.expiries
            .insert((due + RETURN_GRACE, number), key.clone());
        self.promises.insert(key, ReturnPromise { due, rank });
    }

    /// Returns whether a client comes back, and as told or early. A promise that was kept is removed.
    pub fn recognize(
        &mut self,
        now: Instant,
        workspace: &str,
        gives_up_at: Option<Instant>,
    ) -> ReturnState {
        let Some(gives_up_at) = gives_up_at else {
            return ReturnState::Unknown;
        };
        self.expire(now);
        let earliest = gives_up_at.checked_sub(GIVE_UP_TOLERANCE);
        let first = (workspace.to_owned(), earliest, 0);
        let latest = gives_up_at.checked_add(GIVE_UP_TOLERANCE);
        let last = (workspace.to_owned(), latest.or(Some(gives_up_at)), u64::MAX);
        let Some((key, promise)) = self.promises.range(first..=last).next() else {
            return ReturnState::Unknown;
        };
        let left = promise.due.saturating_duration_since(now);
        if left > EARLY_TOLERANCE {
            return ReturnState::Early { left };
        }
        let (key, due) = (key.clone(), promise.due);
        self.expiries.remove(&(due + RETURN_GRACE, key.2));
        self.promises.remove(&key);
        ReturnState::AsTold
    }

    /// Returns the number of clients of a rank and better ones that were told to return later than now.
    pub fn expected(&self, now: Instant, rank: usize) -> usize {
        let promises = self.promises.values();
        promises
            .filter(|promise| promise.due > now && promise.rank <= rank)
            .count()
    }

    fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.expiries.first_entry()
            && oldest.key().0 <= now
        {
            let key = oldest.remove();
            self.promises.remove(&key);
        }
    }
}
