//! Who may make a call.

mod rights;
mod token;

pub use rights::{authorize, authorize_anywhere};
pub use token::CallActor;
