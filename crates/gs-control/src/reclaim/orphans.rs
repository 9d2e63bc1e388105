//! Finds orphaned attempts: those that engines hold resources for although their entry is dead.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::engine::HeldResource;
use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName, Incarnation};

/// Grace period before the attempts of an unknown owner are cancelled. Longer than a new entry
/// takes to join the membership.
const UNKNOWN_GRACE: Duration = Duration::from_secs(5);

/// How long the record of an unknown owner is kept after an engine last listed it.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(60);

/// An input of the orphan state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum OrphanEvent {
    /// An incarnation of an entry is alive, or may be.
    OwnerAlive(EntryIdentity),
    /// An incarnation of an entry has ended.
    OwnerDead(EntryIdentity),
    /// An engine has listed the attempts that it holds resources for.
    HeldListed {
        /// The address of the engine.
        engine: SocketAddr,
        /// The held attempts and their owners.
        records: Vec<HeldResource>,
    },
}

/// An action that the orphan state machine requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrphanEffect {
    /// Cancel an attempt whose owner has ended.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The address of the engine.
        engine: SocketAddr,
    },
}

/// The liveness of the owners of attempts: the incarnations of entries that started them.
#[derive(Debug)]
pub struct OrphanState {
    /// Latest incarnation of each entry that is alive or may be.
    alive: BTreeMap<EntryName, Incarnation>,
    dead: BTreeSet<EntryIdentity>,
    unknown: BTreeMap<EntryIdentity, UnknownOwner>,
}

/// An owner that an engine listed but that no event has reported as alive or dead.
#[derive(Clone, Copy, Debug)]
struct UnknownOwner {
    first_listed: Instant,
    last_listed: Instant,
}

impl OrphanState {
    /// Creates a state in which only this entry is alive.
    pub fn new(own: EntryIdentity) -> Self {
        Self {
            alive: BTreeMap::from([(own.entry, own.incarnation)]),
            dead: BTreeSet::new(),
            unknown: BTreeMap::new(),
        }
    }

    /// Handles an event and appends the resulting effects.
    pub fn handle(&mut self, now: Instant, event: OrphanEvent, effects: &mut Vec<OrphanEffect>) {
        match event {
            OrphanEvent::OwnerAlive(owner) => self.record_alive(owner),
            OrphanEvent::OwnerDead(owner) => self.record_dead(owner),
            OrphanEvent::HeldListed { engine, records } => {
                for record in records {
                    if self.is_orphan(now, &record.owner) {
                        effects.push(OrphanEffect::Cancel {
                            attempt: record.attempt,
                            engine,
                        });
                    }
                }
                self.expire_unknown(now);
            }
        }
    }

    fn record_alive(&mut self, owner: EntryIdentity) {
        self.unknown.remove(&owner);
        self.dead.remove(&owner);
        let known = self.alive.entry(owner.entry).or_insert(owner.incarnation);
        *known = owner.incarnation.max(*known);
    }

    fn record_dead(&mut self, owner: EntryIdentity) {
        if self.alive.get(&owner.entry) == Some(&owner.incarnation) {
            self.alive.remove(&owner.entry);
        }
        // Only the latest dead incarnation of an entry is kept, as it implies that earlier ones
        // ended.
        self.dead
            .retain(|dead| dead.entry != owner.entry || dead.incarnation > owner.incarnation);
        self.dead.insert(owner);
    }

    /// Returns whether the owner has ended, or has been unknown for at least the grace period.
    fn is_orphan(&mut self, now: Instant, owner: &EntryIdentity) -> bool {
        if let Some(&alive) = self.alive.get(&owner.entry) {
            // A later incarnation of the entry proves that the owner has ended.
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
        let new_owner = UnknownOwner {
            first_listed: now,
            last_listed: now,
        };
        let unknown = self.unknown.entry(owner.clone()).or_insert(new_owner);
        unknown.last_listed = now;
        now.duration_since(unknown.first_listed) >= UNKNOWN_GRACE
    }

    fn expire_unknown(&mut self, now: Instant) {
        self.unknown
            .retain(|_, owner| now.duration_since(owner.last_listed) < UNKNOWN_RETENTION);
    }
}
