//! Where the entries and engines of a soak are, and what was done to them.

use std::net::SocketAddr;

use rand::Rng;

/// Whether callers send to an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryCondition {
    /// It was killed or has ended.
    Down,
    /// It was told to end; callers no longer choose it.
    Leaving,
    /// It serves, or is stopped for a while, which callers do not know.
    Serving,
}

/// One start of an entry, as a request's target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryTarget {
    /// The entry's place, from 0.
    pub slot: usize,
    /// The start, counted over all entries.
    pub start: usize,
    /// Where callers connect.
    pub address: SocketAddr,
}

/// The entry in one place.
#[derive(Clone, Debug)]
struct EntryPlace {
    target: EntryTarget,
    condition: EntryCondition,
}

/// What was done to one start of an entry.
#[derive(Clone, Copy, Debug, Default)]
struct StartFate {
    killed: bool,
    terminated: bool,
}

/// The engine in one place.
#[derive(Clone, Copy, Debug)]
pub struct EnginePlace {
    /// Where it serves.
    pub address: SocketAddr,
    /// Whether it is neither stopped nor silent nor killed.
    pub answers: bool,
}

/// All places.
#[derive(Debug, Default)]
pub struct FleetBoard {
    /// The engines, by slot.
    pub engines: Vec<EnginePlace>,
    entries: Vec<EntryPlace>,
    fates: Vec<StartFate>,
}

impl FleetBoard {
    /// Notes a new start of an entry in a place.
    pub fn enter(&mut self, slot: usize, address: SocketAddr) {
        let start = self.fates.len();
        self.fates.push(StartFate::default());
        let place = EntryPlace {
            target: EntryTarget {
                slot,
                start,
                address,
            },
            condition: EntryCondition::Serving,
        };
        if slot < self.entries.len() {
            self.entries[slot] = place;
        } else {
            self.entries.push(place);
        }
    }

    /// Notes that the entry in a place is killed. Call this before the signal is sent.
    pub fn kill(&mut self, slot: usize) {
        let place = &mut self.entries[slot];
        place.condition = EntryCondition::Down;
        self.fates[place.target.start].killed = true;
    }

    /// Notes that the entry in a place is told to end. Call this before the signal is sent.
    pub fn terminate(&mut self, slot: usize) {
        let place = &mut self.entries[slot];
        place.condition = EntryCondition::Leaving;
        self.fates[place.target.start].terminated = true;
    }

    /// The entry in a place.
    pub fn target(&self, slot: usize) -> EntryTarget {
        self.entries[slot].target
    }

    /// Whether callers choose the entry in a place.
    pub fn is_serving(&self, slot: usize) -> bool {
        self.entries[slot].condition == EntryCondition::Serving
    }

    /// Whether a start was killed.
    pub fn was_killed(&self, start: usize) -> bool {
        self.fates[start].killed
    }

    /// Whether a start was told to end.
    pub fn was_terminated(&self, start: usize) -> bool {
        self.fates[start].terminated
    }

    /// Draws an entry that serves, another than the given one if there is any.
    pub fn draw(&self, random: &mut impl Rng, avoid: Option<usize>) -> Option<EntryTarget> {
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
