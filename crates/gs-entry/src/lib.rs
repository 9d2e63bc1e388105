//! The entry daemon: traffic threads serve callers and talk to backend servers; one control thread
//! owns all decision state.

pub mod completion;
pub mod control;
pub mod documents;
pub mod engine;
pub mod error;
pub mod ledger;
pub mod options;
pub mod peers;
pub mod reclaim;
pub mod servers;
pub mod services;
pub mod shutdown;
pub mod startup;
pub mod telemetry;
pub mod traffic;
