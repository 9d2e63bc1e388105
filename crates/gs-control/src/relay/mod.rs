//! Spread of load reports between the entries of a large fleet.
//!
//! In a small fleet each entry sends its reports to all others. In a large one it sends them to the
//! entries of its own data centre, and a few relays of each data centre pass them on to relays of the
//! other data centres, which pass them to their own. A report thus crosses between two data centres a
//! fixed number of times, whatever the number of entries, and a relay sends what it has collected to
//! each entry at once.
//!
//! Reports take no more than a part of each link; the fastest links of a data centre are those of its relays.

mod arrivals;
mod budget;
mod messages;
mod pending;
mod queue;
mod topology;

pub use arrivals::ArrivalQueue;
pub use budget::{BudgetSettings, ReportBudget, ReportRates, ReportRoute};
pub use messages::{EntryLoad, EntryPresence, EntryReport};
pub use queue::RelayQueue;
pub use topology::{RelayMember, RelayTopology, TopologySettings};
