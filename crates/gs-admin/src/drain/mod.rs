//! Drains backend servers, so that they get no new work, and ends drains.

mod calls;

pub use calls::drain;
