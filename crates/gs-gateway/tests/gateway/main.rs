//! Tests of the gateway on loopback, in front of servers that fail.

mod bodies;
mod capacity;
mod crashes;
mod currency;
mod endless;
mod generation;
mod intake;
mod isolation;
mod keys;
mod leaving;
mod limits;
mod links;
mod logs;
mod pauses;
mod plain;
mod quotas;
mod readers;
mod registry;
mod relays;
mod scheduling;
mod shutdown;
mod soak;
mod stages;
mod support;
mod time_limits;
mod versions;
