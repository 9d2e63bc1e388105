//! What the tasks of a soak share on their thread.

use std::cell::{Cell, RefCell};

use super::board::FleetBoard;
use super::journal::{CheckPoint, SoakJournal};
use super::keyed::KeyBook;
use crate::harness::HarnessClient;

/// What the tasks share. No borrow is held across an await.
#[derive(Default)]
pub struct SoakShared {
    /// Calls the processes.
    pub client: HarnessClient,
    /// Where everything is.
    pub board: RefCell<FleetBoard>,
    /// What happened.
    pub journal: RefCell<SoakJournal>,
    /// The idempotency keys and what became of them.
    pub keys: RefCell<KeyBook>,
    /// Tells callers and watches to end.
    pub ended: Cell<bool>,
}

impl SoakShared {
    /// Notes a violated invariant.
    pub fn violate(&self, point: CheckPoint, detail: String) {
        self.journal.borrow_mut().violate(point, detail);
    }

    /// Notes something that happened to the fleet.
    pub fn note(&self, event: &str) {
        self.journal.borrow_mut().note(event);
    }
}
