//! The documents slice under random interleavings.

mod promotion;
mod reports;
mod support;
mod view;
mod world;
