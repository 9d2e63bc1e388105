//! Which entries are alive.
