//! Stand-ins of engines, services and the platform, and a load tool.

fn main() {}
