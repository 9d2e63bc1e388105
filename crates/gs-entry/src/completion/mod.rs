//! Completions: from a caller's request to the tokens of its answer.

mod answer;
mod attempt;
mod format;
mod handler;
mod plan;

pub use handler::{complete_chat, complete_text};
