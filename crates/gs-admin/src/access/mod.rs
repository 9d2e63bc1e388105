//! Who may make a call.

mod rights;
mod token;

pub use rights::{ChangeRight, authorize, authorize_anywhere, authorize_change};
pub use token::CallActor;
