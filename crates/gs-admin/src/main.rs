//! The administration API.

fn main() {}
