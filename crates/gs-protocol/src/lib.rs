//! Types shared by all processes: identifiers, messages, records in the object store, and refusals.
//!
//! This crate depends on no other crate of the workspace.

pub mod admin;
pub mod caller;
pub mod claims;
pub mod engine;
pub mod ids;
pub mod objects;
pub mod peer;
pub mod platform;
pub mod prefix;
pub mod refusal;
pub mod service;
pub mod suspicion;
pub mod vm;
