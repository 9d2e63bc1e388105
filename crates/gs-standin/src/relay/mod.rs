//! A TCP relay that delays, cuts and silences connections.
//!
//! A second address serves control calls:
//!
//! | call | body | effect |
//! |---|---|---|
//! | `POST /control/faults` | [`LinkUpdate`] | sets delays and the handling of new connections |
//! | `POST /control/cut` | | closes every connection |
//! | `POST /control/silence` | | stops all data on the current connections without closing them |
//! | `GET /control/status` | | [`RelayStatus`] |

mod conditions;
mod connection;
mod control;
mod options;
mod server;
mod state;

pub use conditions::{LinkConditions, LinkUpdate, NewConnections};
pub use options::{RelayOptions, relay_options};
pub use server::{RelayServer, run};
pub use state::RelayStatus;
