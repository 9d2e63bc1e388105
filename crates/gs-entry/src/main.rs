//! The entry daemon.

fn main() {}
