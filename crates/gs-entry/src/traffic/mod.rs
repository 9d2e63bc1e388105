//! The caller API: routes, authentication, bodies, refusals, the entry list and health checks.

mod body;
mod context;
mod entries;
mod health;
mod refusal;
mod routes;
mod state;

pub use body::read_body;
pub use context::RequestContext;
pub use refusal::CallerRefusal;
pub use routes::configure_routes;
pub use state::TrafficState;
