//! The state of the entries and engines of a soak: addresses, conditions and signals sent.

use std::net::SocketAddr;

use rand::Rng;

/// Whether callers choose an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryCondition {
    /// It was killed.
    Down,
    /// It was sent `SIGTERM`; callers no longer choose it.
    Leaving,
    /// It runs, or is paused by `SIGSTOP`, which callers cannot detect.
    Serving,
}

/// One process of an entry, as the target of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryTarget {
    /// The slot of the entry, from 0. A replacement takes the slot of its predecessor.
    pub slot: usize,
    /// The number of this process start, counted over all entries.
    pub start: usize,
    /// The address that callers connect to.
    pub address: SocketAddr,
}

/// The present entry of a slot.
#[derive(Clone, Debug)]
struct EntrySlot {
    target: EntryTarget,
    condition: EntryCondition,
}

/// The signals that were sent to one process of an entry.
#[derive(Clone, Copy, Debug, Default)]
struct SentSignals {
    killed: bool,
    terminated: bool,
}

/// The present engine of a slot.
#[derive(Clone, Copy, Debug)]
pub struct EngineSlot {
    /// The address of its HTTP server.
    pub address: SocketAddr,
    /// Whether it is neither paused nor silent nor killed.
    pub responsive: bool,
}

/// All entries and engines, by slot, and the signals sent to each process of an entry.
#[derive(Debug, Default)]
pub struct FleetState {
    /// The engines, by slot.
    pub engines: Vec<EngineSlot>,
    entries: Vec<EntrySlot>,
    signals: Vec<SentSignals>,
}

impl FleetState {
    /// Records a new process of the entry in a slot.
    pub fn record_start(&mut self, slot: usize, address: SocketAddr) {
        let start = self.signals.len();
        self.signals.push(SentSignals::default());
        let entry = EntrySlot {
            target: EntryTarget {
                slot,
                start,
                address,
            },
            condition: EntryCondition::Serving,
        };
        if slot < self.entries.len() {
            self.entries[slot] = entry;
        } else {
            self.entries.push(entry);
        }
    }

    /// Records that the entry in a slot is killed. Must be called before the signal is sent, so
    /// that a truncated answer is not counted as a violation.
    pub fn mark_killed(&mut self, slot: usize) {
        let entry = &mut self.entries[slot];
        entry.condition = EntryCondition::Down;
        self.signals[entry.target.start].killed = true;
    }

    /// Records that the entry in a slot is terminated. Must be called before the signal is sent.
    pub fn mark_terminated(&mut self, slot: usize) {
        let entry = &mut self.entries[slot];
        entry.condition = EntryCondition::Leaving;
        self.signals[entry.target.start].terminated = true;
    }

    /// Returns the present process of the entry in a slot.
    pub fn target(&self, slot: usize) -> EntryTarget {
        self.entries[slot].target
    }

    /// Whether callers choose the entry in a slot.
    pub fn is_serving(&self, slot: usize) -> bool {
        self.entries[slot].condition == EntryCondition::Serving
    }

    /// Whether the process with this start number was killed.
    pub fn was_killed(&self, start: usize) -> bool {
        self.signals[start].killed
    }

    /// Whether the process with this start number was terminated.
    pub fn was_terminated(&self, start: usize) -> bool {
        self.signals[start].terminated
    }

    /// Chooses a serving entry at random, other than the one in slot `avoid` if there is another.
    pub fn choose_entry(&self, random: &mut impl Rng, avoid: Option<usize>) -> Option<EntryTarget> {
        let serving = |slot: &usize| self.is_serving(*slot);
        let mut slots: Vec<_> = (0..self.entries.len()).filter(serving).collect();
        if slots.len() > 1 {
            slots.retain(|slot| Some(*slot) != avoid);
        }
        if slots.is_empty() {
            return None;
        }
        Some(self.target(slots[random.gen_range(0..slots.len())]))
    }
}
