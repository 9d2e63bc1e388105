//! Admission of requests and placement on backend servers.

mod admission;
mod attempt_end;
mod baseline;
mod callers;
mod fair_queue;
mod fleet;
mod invariants;
mod messages;
mod model_state;
mod placement;
mod prefix_index;
mod request_table;
mod retry_budget;
mod role_index;
mod scheduling;
mod server_load;
mod server_record;
mod settings;
mod state;
mod suspects;

pub use messages::{
    AttemptEnd, DispatchEffect, DispatchEvent, RequestDemand, RequestStage, ServerObservation,
};
pub use settings::DispatchSettings;
pub use state::DispatchState;
