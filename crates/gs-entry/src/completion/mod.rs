//! Completions: parses a request, runs attempts on engines and encodes the answer.

mod answer;
mod attempt;
mod encoder;
mod handler;
mod params;

pub use handler::{complete_chat, complete_text};
pub use params::CompletionKind;
