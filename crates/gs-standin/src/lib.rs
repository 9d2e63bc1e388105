//! Stand-ins of engines, services and the platform, and a load tool. For development only.

pub mod engine;
mod error;
pub mod load;
pub mod platform;
pub mod relay;
pub mod rig;
pub mod service;

pub use error::StandinError;
