//! Pure state machines that decide for an entry.
//!
//! Each slice takes events and returns effects: `handle(&mut self, now, event, &mut effects)`. There is
//! no socket, clock, thread, global or unseeded random number inside, and iteration order is fixed, so
//! the same seed and events give the same effects.

pub mod dispatch;
pub mod documents;
pub mod forwarding;
pub mod ledger;
pub mod membership;
pub mod quarantine;
pub mod reclaim;
pub mod relay;
