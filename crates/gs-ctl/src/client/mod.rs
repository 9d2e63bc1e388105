//! A client of the administration API that retries its calls.

mod call;
mod change;
mod connection;
mod operation;
mod options;

pub(crate) use call::{AdminCall, CallBody};
pub(crate) use change::{ChangeOptions, change_options};
pub(crate) use connection::{AdminClient, CallFailure, decode_answer};
pub(crate) use options::{AdminOptions, admin_options};
