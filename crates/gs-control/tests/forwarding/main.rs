//! Tests of the forwarding decisions, without a network.

mod admission;
mod deadlines;
mod directory;
mod freshness;
mod intake;
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
mod workspaces;
