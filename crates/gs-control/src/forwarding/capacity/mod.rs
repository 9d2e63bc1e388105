//! Learns how fast each server is relative to its service, and the load beyond which it slows down.
//!
//! `docs/design/capacity.md` explains the model and its constants.

mod digest;
mod effect;
mod estimate;
mod samples;
mod settings;
mod tracker;

pub use digest::CapacityDigest;
pub use samples::WorkSample;
pub use settings::CapacitySettings;
pub use tracker::{CapacityChange, CapacityTracker};
