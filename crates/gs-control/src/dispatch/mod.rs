//! Admission of requests and placement on backend servers.

mod messages;

pub use messages::{
    AttemptEnd, DispatchEffect, DispatchEvent, RequestDemand, RequestStage, ServerSighting,
};
