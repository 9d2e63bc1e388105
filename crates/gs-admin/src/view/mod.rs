//! Calls that only read.

mod history;
mod reports;
mod simple;
mod status;

pub use history::history;
pub use simple::{document, head};
pub use status::status;

/// The query of a call about one environment; production if none is named.
#[derive(serde::Deserialize)]
pub struct EnvironmentQuery {
    environment: Option<String>,
}
