//! The adapter for the platform's published HTTP protocol.

mod adapter;
mod exchange;

pub use adapter::{HttpPlatform, HttpPlatformOptions};
