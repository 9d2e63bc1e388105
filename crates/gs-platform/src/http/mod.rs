//! An implementation of [`Platform`](crate::Platform) over the platform's published HTTP protocol.

mod adapter;
mod exchange;

pub use adapter::{HttpPlatform, HttpPlatformOptions};
