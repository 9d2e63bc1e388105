//! The client of the platform's object store and VM list.
//!
//! [`Platform`] is the interface that the rest of the system uses, so that no other crate depends
//! on the platform's HTTP protocol. [`HttpPlatform`] implements the published protocol.

mod error;
mod http;
pub mod memory;
mod platform;

pub use error::PlatformError;
pub use http::{HttpPlatform, HttpPlatformOptions};
pub use platform::{ObjectValue, Platform, WriteCondition};
