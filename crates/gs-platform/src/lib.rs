//! The platform's object service as the processes see it.
//!
//! [`Platform`] is the edge: decisions never see HTTP. The one adapter for the published protocol is
//! in its own module.

mod error;
mod http;
pub mod memory;
mod platform;

pub use error::PlatformError;
pub use http::{HttpPlatform, HttpPlatformOptions};
pub use platform::{ObjectValue, Platform, WriteCondition};
