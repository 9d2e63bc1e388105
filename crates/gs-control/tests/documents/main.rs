//! The documents slice under random interleavings.

mod promotion;
mod support;
mod view;
mod world;
