//! Handlers that check documents and accept them into an environment.

mod calls;
mod check;
mod operation;
mod overtaken;

pub use calls::{promote, roll_back, try_document};
pub use check::check;
