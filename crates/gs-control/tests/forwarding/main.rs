//! Tests of the forwarding decisions, without a network.

mod admission;
mod capacity;
mod capacity_choices;
mod capacity_placement;
mod deadlines;
mod directory;
mod freshness;
mod issues;
mod limits;
mod loads;
mod memory;
mod origins;
mod outage;
mod pauses;
mod repeats;
mod routes;
mod shutdown;
mod stages;
mod support;
