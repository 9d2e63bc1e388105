//! Tests of the dispatch slice.

mod fixture;
mod lifecycle;
mod random_events;
mod shares;
