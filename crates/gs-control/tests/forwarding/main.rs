//! The decisions about forwarded requests, without a network.

mod admission;
mod directory;
mod loads;
mod memory;
mod repeats;
mod routes;
mod shutdown;
mod support;
