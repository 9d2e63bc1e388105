//! A TCP relay that delays, cuts and silences connections.
//!
//! A second address takes control calls:
//!
//! | call | body | effect |
//! |---|---|---|
//! | `POST /control/faults` | [`LinkUpdate`] | sets delay, stalls and what becomes of new connections |
//! | `POST /control/cut` | | closes every connection |
//! | `POST /control/silence` | | no byte passes on the present connections any more; none is closed |
//! | `GET /control/status` | | [`RelayStatus`] |

mod conditions;
mod connection;
mod control;
mod options;
mod server;
mod shared;

pub use conditions::{LinkConditions, LinkUpdate, NewConnections};
pub use options::{RelayOptions, relay_options};
pub use server::{RelayServer, run};
pub use shared::RelayStatus;
