//! Tests of the dispatch slice.

mod fixture;
mod lifecycle;
