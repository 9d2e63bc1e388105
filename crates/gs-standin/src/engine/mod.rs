//! A stand-in for a model engine that prefills and decodes at modelled speed.
//!
//! All durations are modelled: no model is run and no KV cache exists. A transfer between two
//! engines takes as long as the cache's bytes would take on the slower of the two links, but the
//! body sent over the socket is only a small JSON object.

mod batch;
mod cancels;
mod events;
mod faults;
mod guard;
mod http;
mod import;
mod invariants;
mod load;
mod memory;
mod options;
mod prefill;
mod runs;
mod server;
mod state;
mod text;
mod timers;
mod transfer;

pub use faults::{FaultSwitches, FaultUpdate};
pub use options::{EngineOptions, engine_options};
pub use runs::{EngineRun, EngineRuns, EngineTotals};
pub use server::{EngineServer, run};
pub use text::token_text;
