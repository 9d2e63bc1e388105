//! Claims on idempotency keys, by which a non-idempotent request runs at most once.
//!
//! Claims are partitioned into shards by a hash of caller and key. Each shard is a log in the
//! platform's object store: a head object with the owner, its fencing number and the newest claims,
//! and immutable segments with older claims. Every write of the head is conditional on the head's
//! version, so the writes of an owner that was replaced fail.

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
