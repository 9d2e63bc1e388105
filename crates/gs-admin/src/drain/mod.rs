//! Takes servers out of use and puts them back.

mod calls;

pub use calls::drain;
