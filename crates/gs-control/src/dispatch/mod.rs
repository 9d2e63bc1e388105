//! Admission of requests and placement on backend servers.

mod arrivals;
mod baseline;
mod callers;
mod endings;
mod fair_queue;
mod fleet;
mod invariants;
mod messages;
mod model_lane;
mod own_load;
mod placement;
mod prefix_index;
mod request_table;
mod retry_budget;
mod role_index;
mod server_record;
mod settings;
mod starts;
mod state;
mod suspects;

pub use messages::{
    AttemptEnd, DispatchEffect, DispatchEvent, RequestDemand, RequestStage, ServerSighting,
};
pub use settings::DispatchSettings;
pub use state::DispatchState;
