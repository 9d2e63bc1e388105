//! The administration API.
