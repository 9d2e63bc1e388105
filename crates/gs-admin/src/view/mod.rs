//! Handlers of read-only calls.

mod history;
mod objects;
mod reports;
mod status;

pub use history::history;
pub use objects::{document, head};
pub use status::status;

/// The query of a call about one environment; production if left out.
#[derive(serde::Deserialize)]
pub struct EnvironmentQuery {
    environment: Option<String>,
}
