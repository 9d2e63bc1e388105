//! Spread of load reports between the entries of a large fleet.
//!
//! In a small fleet each entry sends its reports to all others. In a large one it sends them to the
//! entries of its own data centre, and a few relays of each data centre pass them on to relays of the
//! other data centres, which pass them to their own. A report thus crosses between two data centres a
//! fixed number of times, whatever the number of entries, and a relay sends what it has collected to
//! each entry at once.

mod arrivals;
mod messages;
mod queue;
mod topology;

pub use arrivals::ArrivalQueue;
pub use messages::{EntryLoad, EntryPresence, EntryReport};
pub use queue::RelayQueue;
pub use topology::{RelayMember, RelayTopology, TopologySettings};
