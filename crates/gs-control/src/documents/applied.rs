//! What an entry reports of the documents that it has applied.

use std::collections::VecDeque;

use gs_protocol::ids::{Incarnation, SequenceNumber};
use gs_protocol::objects::{AppliedRecord, StatusRecord};

/// Earlier documents that a report names.
const MAX_EARLIER: usize = 64;

/// Since when an entry has applied its documents, latest first.
#[derive(Clone, Debug)]
pub struct AppliedTrack {
    incarnation: Incarnation,
    digest: String,
    applied: VecDeque<AppliedRecord>,
}

impl AppliedTrack {
    /// The track of an entry that has applied nothing yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            digest: String::new(),
            applied: VecDeque::new(),
        }
    }

    /// Records that a document came into force, at a time in milliseconds since 1970.
    pub fn record(&mut self, sequence: SequenceNumber, digest: &str, since_ms: u64) {
        digest.clone_into(&mut self.digest);
        self.applied
            .push_front(AppliedRecord { sequence, since_ms });
        self.applied.truncate(MAX_EARLIER + 1);
    }

    /// The report; none before the first document.
    pub fn report(&self) -> Option<StatusRecord> {
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

/// The report of an entry together with what an earlier start of it had reported, as far as it is kept.
pub fn join_reports(report: &StatusRecord, before: &StatusRecord) -> StatusRecord {
    let mut joined = report.clone();
    let present = AppliedRecord {
        sequence: before.sequence,
        since_ms: before.since_ms,
    };
    let known = |sequence| {
        let mut own = report.earlier.iter();
        report.sequence == sequence || own.any(|applied| applied.sequence == sequence)
    };
    let earlier = std::iter::once(present).chain(before.earlier.iter().copied());
    let kept = earlier.filter(|applied| !known(applied.sequence));
    joined.earlier.extend(kept);
    joined.earlier.truncate(MAX_EARLIER);
    joined
}
