//! Quotas of workspaces, which hold for all entries together.
//!
//! Each entry keeps a token bucket of the whole fleet for each workspace. Entries report the cost of the
//! requests that they have admitted, and subtract what their peers report. What a silent peer may have
//! admitted is assumed. The note `docs/design/quotas.md` derives the bound on the overrun.

mod bucket;
mod messages;
mod peers;
mod settings;
mod tracker;

pub use messages::{QuotaDecision, QuotaDigest, QuotaRefusal, QuotaReport};
pub use settings::QuotaSettings;
pub use tracker::QuotaTracker;
