//! Finds what dead entries left behind at engines.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::engine::HeldResource;
use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName, Incarnation};

/// How long an owner that no entry has spoken for may hold something. Longer than a new entry needs to
/// make itself known.
const UNKNOWN_GRACE: Duration = Duration::from_secs(5);

/// How long an unknown owner is remembered after it was last seen.
const UNKNOWN_MEMORY: Duration = Duration::from_secs(60);

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum OrphanEvent {
    /// A start of an entry is alive, or may be.
    OwnerAlive(EntryIdentity),
    /// A start of an entry has ended.
    OwnerDead(EntryIdentity),
    /// An engine listed what it holds.
    HeldSeen {
        /// The engine.
        engine: SocketAddr,
        /// What it holds.
        records: Vec<HeldResource>,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrphanEffect {
    /// Cancel an attempt whose owner is gone.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: SocketAddr,
    },
}

/// What is known of the owners of attempts.
#[derive(Debug)]
pub struct OrphanState {
    alive: BTreeMap<EntryName, Incarnation>,
    dead: BTreeSet<EntryIdentity>,
    unknown: BTreeMap<EntryIdentity, UnknownOwner>,
}

/// An owner that no entry has spoken for.
#[derive(Clone, Copy, Debug)]
struct UnknownOwner {
    first_seen: Instant,
    last_seen: Instant,
}

impl OrphanState {
    /// A state that knows only this entry.
    pub fn new(own: EntryIdentity) -> Self {
        Self {
            alive: BTreeMap::from([(own.entry, own.incarnation)]),
            dead: BTreeSet::new(),
            unknown: BTreeMap::new(),
        }
    }

    /// Takes in what happened and adds what is to be done.
    pub fn handle(&mut self, now: Instant, event: OrphanEvent, effects: &mut Vec<OrphanEffect>) {
        match event {
            OrphanEvent::OwnerAlive(owner) => self.note_alive(owner),
            OrphanEvent::OwnerDead(owner) => self.note_dead(owner),
            OrphanEvent::HeldSeen { engine, records } => {
                for record in records {
                    if self.is_orphan(now, &record.owner) {
                        effects.push(OrphanEffect::Cancel {
                            attempt: record.attempt,
                            engine,
                        });
                    }
                }
                self.forget_old(now);
            }
        }
    }

    fn note_alive(&mut self, owner: EntryIdentity) {
        self.unknown.remove(&owner);
        self.dead.remove(&owner);
        let known = self.alive.entry(owner.entry).or_insert(owner.incarnation);
        *known = owner.incarnation.max(*known);
    }

    fn note_dead(&mut self, owner: EntryIdentity) {
        if self.alive.get(&owner.entry) == Some(&owner.incarnation) {
            self.alive.remove(&owner.entry);
        }
        // Only the latest dead start of an entry is kept: earlier ones are older than it.
        self.dead
            .retain(|dead| dead.entry != owner.entry || dead.incarnation > owner.incarnation);
        self.dead.insert(owner);
    }

    fn is_orphan(&mut self, now: Instant, owner: &EntryIdentity) -> bool {
        if let Some(&alive) = self.alive.get(&owner.entry) {
            // A later start of the entry proves that the owner has ended.
            if owner.incarnation <= alive {
                return owner.incarnation < alive;
            }
        }
        let is_dead = |dead: &EntryIdentity| {
            dead.entry == owner.entry && dead.incarnation >= owner.incarnation
        };
        if self.dead.iter().any(is_dead) {
            return true;
        }
        let fresh = UnknownOwner {
            first_seen: now,
            last_seen: now,
        };
        let unknown = self.unknown.entry(owner.clone()).or_insert(fresh);
        unknown.last_seen = now;
        now.duration_since(unknown.first_seen) >= UNKNOWN_GRACE
    }

    fn forget_old(&mut self, now: Instant) {
        self.unknown
            .retain(|_, owner| now.duration_since(owner.last_seen) < UNKNOWN_MEMORY);
    }
}
