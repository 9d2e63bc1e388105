//! Claims that let a non-idempotent request run at most once.
//!
//! The claims are cut into shards. Each shard is a log in the platform's service: a head object with
//! the owner, its fencing number and the newest claims, and immutable segments with older ones. Every
//! write of the head is conditional on its version, so an owner that was replaced cannot write.

mod claim;
mod client;
mod commit;
mod context;
mod messages;
mod owner;
mod record;
mod segment;
mod settings;
mod shard;
mod state;

pub use messages::{ClaimRequest, LedgerEffect, LedgerEvent, StoreOperationId, StoreReply};
pub use record::{ClaimRecord, ClaimState, RecordError, SegmentRef, ShardHead, decode, encode};
pub use settings::LedgerSettings;
pub use state::{LedgerCounts, LedgerState};
