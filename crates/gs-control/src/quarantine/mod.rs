//! Requests that crash the backend servers that run them.
//!
//! A request is known by its fingerprint. A fingerprint is blamed for the deaths of servers that ran it; with one
//! death it is a suspect, which runs apart from other suspects until it has shown that it does no harm; with two
//! it is refused. What entries know of blames is merged by a maximum, so repeats and lost reports do no harm.

mod attribution;
mod blames;
mod liveness;
mod messages;
mod peers;
mod reservations;
mod runs;
mod settings;
mod state;

pub use messages::{QuarantineEffect, QuarantineEvent, RunEnd, SuspectGate};
pub use settings::QuarantineSettings;
pub use state::QuarantineState;
