//! The status record in which an entry reports the documents that it has applied.

use std::collections::VecDeque;

use gs_protocol::ids::{Incarnation, SequenceNumber};
use gs_protocol::objects::{AppliedRecord, StatusRecord};

/// Maximum number of earlier documents in a status record.
const MAX_EARLIER_DOCUMENTS: usize = 64;

/// The documents that an entry has applied since its start, latest first.
#[derive(Clone, Debug)]
pub struct AppliedHistory {
    incarnation: Incarnation,
    /// The digest of the latest document; empty before the first.
    digest: String,
    applied: VecDeque<AppliedRecord>,
}

impl AppliedHistory {
    /// Creates the history of an entry that has not applied a document yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            digest: String::new(),
            applied: VecDeque::new(),
        }
    }

    /// Records that a document came into force at `since_ms`, in milliseconds since 1970.
    pub fn record(&mut self, sequence: SequenceNumber, digest: &str, since_ms: u64) {
        digest.clone_into(&mut self.digest);
        self.applied
            .push_front(AppliedRecord { sequence, since_ms });
        self.applied.truncate(MAX_EARLIER_DOCUMENTS + 1);
    }

    /// Returns the status record; none before the first document.
    pub fn status_record(&self) -> Option<StatusRecord> {
        let latest = self.applied.front()?;
        Some(StatusRecord {
            incarnation: self.incarnation.0,
            sequence: latest.sequence,
            digest: self.digest.clone(),
            since_ms: latest.since_ms,
            earlier: self.applied.iter().skip(1).copied().collect(),
        })
    }
}

/// Merges the status record of an entry with the one that an earlier incarnation of it wrote. The
/// oldest documents beyond `MAX_EARLIER_DOCUMENTS` are dropped.
pub fn merge_status_records(record: &StatusRecord, earlier_record: &StatusRecord) -> StatusRecord {
    let mut merged = record.clone();
    let latest_before = AppliedRecord {
        sequence: earlier_record.sequence,
        since_ms: earlier_record.since_ms,
    };
    let is_listed = |sequence| {
        let mut own = record.earlier.iter();
        record.sequence == sequence || own.any(|applied| applied.sequence == sequence)
    };
    let earlier = std::iter::once(latest_before).chain(earlier_record.earlier.iter().copied());
    let unlisted = earlier.filter(|applied| !is_listed(applied.sequence));
    merged.earlier.extend(unlisted);
    merged.earlier.truncate(MAX_EARLIER_DOCUMENTS);
    merged
}
