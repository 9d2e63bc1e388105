//! The state that the tasks of a soak share.

use std::cell::{Cell, RefCell};

use super::fleet::FleetState;
use super::journal::{SoakInvariant, SoakJournal};
use super::keyed::KeyTable;
use crate::harness::HarnessClient;

/// State shared by the tasks of a soak, which all run on one thread. No borrow is held across an
/// await.
#[derive(Default)]
pub struct SoakContext {
    /// Client for calls to the processes.
    pub client: HarnessClient,
    /// The entries and engines.
    pub fleet: RefCell<FleetState>,
    /// Counts, events and violations.
    pub journal: RefCell<SoakJournal>,
    /// The idempotency keys and the outcomes of their tries.
    pub keys: RefCell<KeyTable>,
    /// Set to stop callers and watches.
    pub stopped: Cell<bool>,
}

impl SoakContext {
    /// Records a violated invariant.
    pub fn record_violation(&self, invariant: SoakInvariant, detail: String) {
        self.journal
            .borrow_mut()
            .record_violation(invariant, detail);
    }

    /// Records an event, such as the begin or end of a fault.
    pub fn record_event(&self, event: &str) {
        self.journal.borrow_mut().record_event(event);
    }
}
