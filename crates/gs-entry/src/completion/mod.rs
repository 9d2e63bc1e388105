//! Completions: from a caller's request to the tokens of its answer.

mod answer;
mod attempt;
mod encoder;
mod handler;
mod params;

pub use handler::{complete_chat, complete_text};
