//! Authentication of operators and authorization of their calls.

mod rights;
mod token;

pub use rights::{ChangeGrant, authorize, authorize_change, authorize_in_any_environment};
pub use token::CallOperator;
