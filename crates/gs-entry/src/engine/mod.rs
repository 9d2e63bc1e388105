//! Client for model engines that follow the protocol in [`gs_protocol::engine`].

mod client;
mod events;
mod failure;
mod pool;

pub use client::EngineClient;
pub use events::EventReader;
pub use failure::EngineFailure;
pub use pool::ClientPool;
