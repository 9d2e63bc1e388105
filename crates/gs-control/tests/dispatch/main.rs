//! Tests of dispatch.

mod fixture;
mod lifecycle;
mod placement;
mod random_events;
mod shares;
