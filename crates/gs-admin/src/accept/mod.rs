//! Calls that check documents and have them accepted.

mod calls;
mod check;
mod operation;
mod overtaken;

pub use calls::{promote, roll_back, try_document};
pub use check::check;
