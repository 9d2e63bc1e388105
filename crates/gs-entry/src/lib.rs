//! The entry daemon.
