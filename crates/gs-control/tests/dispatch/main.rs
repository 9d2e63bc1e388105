//! Tests of the dispatch slice.

mod fixture;
mod lifecycle;
mod placement;
mod random_events;
mod shares;
