//! Tests of the forwarding decisions, without a network.

mod admission;
mod capacity;
mod capacity_choices;
mod capacity_placement;
mod currency;
mod deadlines;
mod directory;
mod freshness;
mod issues;
mod limits;
mod loads;
mod memory;
mod origins;
mod outage;
mod overload;
mod pauses;
mod plain_queue;
mod quota_fleet;
mod quotas;
mod repeats;
mod routes;
mod scheduling;
mod shutdown;
mod stages;
mod support;
mod workspaces;
