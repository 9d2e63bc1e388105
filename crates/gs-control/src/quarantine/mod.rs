//! Quarantine of requests that crash the backend servers that run them.
//!
//! A request is identified by its fingerprint. When a server dies, requests that it was
//! processing are blamed for the death. A fingerprint with one blamed death is a suspect: it runs on
//! servers without another suspect until a completed answer or `QuarantineSettings::probation` of
//! streaming clears it. A fingerprint with two proven deaths is refused. Entries merge their blames
//! by taking the maximum state, so that repeated, reordered and lost reports are harmless.

mod attribution;
mod blames;
mod content;
mod content_settings;
mod contents;
mod deaths;
mod liveness;
mod messages;
mod payloads;
mod peers;
mod reservations;
mod runs;
mod settings;
mod state;

pub use content::{
    ContentDecision, ContentQuarantine, RunKey, Suspicion, SuspicionChange, SuspicionDigest,
};
pub use content_settings::ContentSettings;
pub use contents::{CallerIdentity, RequestContents, RequestIdentity};
pub use messages::{QuarantineDecision, QuarantineEffect, QuarantineEvent, RunEnd};
pub use settings::QuarantineSettings;
pub use state::QuarantineState;
