//! Segments of a shard: writes of ended claims, look-up of stored claims, removal of expired
//! segments.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_protocol::claims::ClaimId;
use gs_protocol::ids::{AttemptId, FenceNumber};

use super::claim::PendingClaim;
use super::context::ShardContext;
use super::messages::{StoreOperationId, StoreReply};
use super::record::{ClaimRecord, SegmentRef, decode, encode};

/// A segment's fencing number and index, which identify it within its shard.
pub(super) type SegmentName = (FenceNumber, u32);

impl SegmentRef {
    pub(super) fn name(&self) -> SegmentName {
        (self.fence, self.index)
    }
}

/// A segment, with an index of its claims once it was written or read by this owner.
#[derive(Debug)]
struct IndexedSegment {
    reference: SegmentRef,
    /// The sorted [`ClaimId::prefix`]es; none until the segment was written or read.
    prefixes: Option<Vec<u64>>,
}

impl IndexedSegment {
    /// Whether the segment can contain the claim, by the time in its key and the prefixes if known.
    fn may_contain(&self, id: ClaimId, time_ms: u64) -> bool {
        let known_prefixes = self.prefixes.as_ref();
        self.reference.covers(time_ms)
            && known_prefixes.is_none_or(|prefixes| prefixes.binary_search(&id.prefix()).is_ok())
    }
}

/// A call to the object store that is running, or waits for its retry.
#[derive(Debug)]
enum SegmentStep {
    Running(StoreOperationId),
    RetryAt(Instant),
}

impl SegmentStep {
    fn is_running(&self, operation: StoreOperationId) -> bool {
        matches!(self, Self::Running(running) if *running == operation)
    }

    fn is_due(&self, now: Instant) -> bool {
        matches!(self, Self::RetryAt(at) if *at <= now)
    }
}

/// A segment that is being written.
#[derive(Debug)]
struct SegmentWrite {
    reference: SegmentRef,
    /// The claims in the segment.
    ids: Vec<ClaimId>,
    value: Vec<u8>,
    step: SegmentStep,
}

/// A segment that is being read, and the claims that wait for it.
#[derive(Debug)]
struct SegmentRead {
    reference: SegmentRef,
    waiting_claims: Vec<PendingClaim>,
    step: SegmentStep,
}

/// A segment that is being removed: it is read for its version, then removed at that version.
#[derive(Debug)]
struct SegmentRemoval {
    reference: SegmentRef,
    step: SegmentStep,
}

/// The result of handling a reply of the object store.
pub(super) enum SegmentOutcome {
    /// The operation was not started for a segment.
    UnknownOperation,
    /// The operation is not complete, and nothing else changes.
    Pending,
    /// A segment with these claims was written.
    Sealed(Vec<ClaimId>),
    /// A segment was read: the claim calls that waited for it, each with its record if the segment
    /// contains one.
    Loaded(Vec<(PendingClaim, Option<ClaimRecord>)>),
    /// An expired segment was removed.
    Removed,
}

/// The segments of a shard that this entry owns.
#[derive(Debug)]
pub(super) struct SegmentStore {
    segments: Vec<IndexedSegment>,
    /// The index of the next segment that this owner writes.
    next_index: u32,
    pending_write: Option<SegmentWrite>,
    pending_reads: BTreeMap<SegmentName, SegmentRead>,
    pending_removal: Option<SegmentRemoval>,
}

impl SegmentStore {
    pub fn new(references: &[SegmentRef]) -> Self {
        let segments = references.iter().map(|reference| IndexedSegment {
            reference: *reference,
            prefixes: None,
        });
        Self {
            segments: segments.collect(),
            next_index: 0,
            pending_write: None,
            pending_reads: BTreeMap::new(),
            pending_removal: None,
        }
    }

    pub fn references(&self) -> Vec<SegmentRef> {
        self.segments
            .iter()
            .map(|segment| segment.reference)
            .collect()
    }

    pub fn stored_claims(&self) -> u64 {
        self.segments
            .iter()
            .map(|segment| u64::from(segment.reference.claims))
            .sum()
    }

    pub fn is_sealing(&self) -> bool {
        self.pending_write.is_some()
    }

    /// Queues the claim call if a segment that it was not checked against may contain its key, and
    /// starts the reads of such segments. Returns whether the call was queued.
    pub fn queue_for_lookup(&mut self, context: &mut ShardContext, claim: &PendingClaim) -> bool {
        let may_match = |segment: &&IndexedSegment| {
            segment.may_contain(claim.id, claim.time_ms)
                && !claim.checked_segments.contains(&segment.reference.name())
        };
        let candidates: Vec<SegmentRef> = self
            .segments
            .iter()
            .filter(may_match)
            .map(|segment| segment.reference)
            .collect();
        let Some(first) = candidates.first() else {
            return false;
        };
        for reference in &candidates {
            self.start_read(context, reference);
        }
        if let Some(pending) = self.pending_reads.get_mut(&first.name()) {
            pending
                .waiting_claims
                .retain(|waiting| waiting.attempt != claim.attempt);
            pending.waiting_claims.push(claim.clone());
        }
        true
    }

    /// Starts the read of a segment, unless one is pending.
    fn start_read(&mut self, context: &mut ShardContext, reference: &SegmentRef) {
        if self.pending_reads.contains_key(&reference.name()) {
            return;
        }
        let key = reference.key(&context.settings.environment, context.shard);
        let step = SegmentStep::Running(context.read(key));
        self.pending_reads.insert(
            reference.name(),
            SegmentRead {
                reference: *reference,
                waiting_claims: Vec::new(),
                step,
            },
        );
    }

    /// Writes ended claims to a new segment. Its name contains the fencing number, so no other
    /// owner uses it.
    pub fn write_segment(
        &mut self,
        context: &mut ShardContext,
        fence: FenceNumber,
        records: &[ClaimRecord],
    ) {
        let times = || records.iter().map(|record| record.time_ms);
        let (Some(first_ms), Some(last_ms)) = (times().min(), times().max()) else {
            return;
        };
        let Ok(value) = encode(&records) else {
            return;
        };
        let claims = records.len() as u32;
        let reference = SegmentRef {
            fence,
            index: self.next_index,
            first_ms,
            last_ms,
            claims,
        };
        self.next_index += 1;
        let key = reference.key(&context.settings.environment, context.shard);
        let step = SegmentStep::Running(context.write(key, value.clone(), None));
        let ids = records.iter().map(|record| record.id).collect();
        self.pending_write = Some(SegmentWrite {
            reference,
            ids,
            value,
            step,
        });
    }

    /// Starts retries that are due, and the removal of a segment whose keys are all behind the
    /// written horizon.
    pub fn advance(&mut self, context: &mut ShardContext, horizon_ms: u64) {
        let environment = context.settings.environment.clone();
        let shard = context.shard;
        if let Some(pending) = &mut self.pending_write
            && pending.step.is_due(context.now)
        {
            let key = pending.reference.key(&environment, shard);
            pending.step = SegmentStep::Running(context.write(key, pending.value.clone(), None));
        }
        for pending in self.pending_reads.values_mut() {
            if pending.step.is_due(context.now) {
                let key = pending.reference.key(&environment, shard);
                pending.step = SegmentStep::Running(context.read(key));
            }
        }
        self.start_due_removal(context, horizon_ms);
    }

    /// Starts the removal of one segment behind the horizon, unless a removal is running or waits
    /// for its retry.
    fn start_due_removal(&mut self, context: &mut ShardContext, horizon_ms: u64) {
        let due = self
            .pending_removal
            .as_ref()
            .is_none_or(|pending| pending.step.is_due(context.now));
        let expired = self
            .segments
            .iter()
            .find(|segment| segment.reference.last_ms <= horizon_ms);
        let (true, Some(segment)) = (due, expired) else {
            return;
        };
        let key = segment
            .reference
            .key(&context.settings.environment, context.shard);
        let step = SegmentStep::Running(context.read(key));
        self.pending_removal = Some(SegmentRemoval {
            reference: segment.reference,
            step,
        });
    }

    /// Handles the result of a call to the platform's object store.
    pub fn handle_store_reply(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) -> SegmentOutcome {
        if self
            .pending_write
            .as_ref()
            .is_some_and(|pending| pending.step.is_running(operation))
        {
            return self.handle_write_reply(context, reply);
        }
        if self
            .pending_removal
            .as_ref()
            .is_some_and(|pending| pending.step.is_running(operation))
        {
            return self.handle_removal_reply(context, reply);
        }
        let matching = self
            .pending_reads
            .iter()
            .find(|(_, pending)| pending.step.is_running(operation));
        match matching.map(|(name, _)| *name) {
            Some(name) => self.handle_read_reply(context, name, reply),
            None => SegmentOutcome::UnknownOperation,
        }
    }

    /// Adds the segment once it is written; a write that failed is retried.
    fn handle_write_reply(
        &mut self,
        context: &mut ShardContext,
        reply: &StoreReply,
    ) -> SegmentOutcome {
        let Some(mut pending) = self.pending_write.take() else {
            return SegmentOutcome::UnknownOperation;
        };
        // No other owner writes under this name, so a conflict means that an earlier copy of the
        // write took effect.
        if !matches!(reply, StoreReply::Written(_) | StoreReply::Conflict) {
            pending.step =
                SegmentStep::RetryAt(context.jittered_instant(context.settings.max_backoff));
            self.pending_write = Some(pending);
            return SegmentOutcome::Pending;
        }
        let prefixes = Some(sorted_prefixes(&pending.ids));
        self.segments.push(IndexedSegment {
            reference: pending.reference,
            prefixes,
        });
        SegmentOutcome::Sealed(pending.ids)
    }

    /// Looks up the claims that waited for the segment in its records; a read that failed is
    /// retried.
    fn handle_read_reply(
        &mut self,
        context: &mut ShardContext,
        name: SegmentName,
        reply: &StoreReply,
    ) -> SegmentOutcome {
        let records = match reply {
            StoreReply::Read(Some((_, value))) => decode::<Vec<ClaimRecord>>(value).ok(),
            _ => None,
        };
        let Some(records) = records else {
            let at = context.jittered_instant(context.settings.initial_backoff * 4);
            if let Some(pending) = self.pending_reads.get_mut(&name) {
                pending.step = SegmentStep::RetryAt(at);
            }
            return SegmentOutcome::Pending;
        };
        let waiting_claims = self
            .pending_reads
            .remove(&name)
            .map(|pending| pending.waiting_claims)
            .unwrap_or_default();
        let ids: Vec<ClaimId> = records.iter().map(|record| record.id).collect();
        let segment = self
            .segments
            .iter_mut()
            .find(|segment| segment.reference.name() == name);
        if let Some(segment) = segment {
            segment.prefixes = Some(sorted_prefixes(&ids));
        }
        let find = |id| records.iter().find(|record| record.id == id).cloned();
        let loaded = waiting_claims.into_iter().map(|mut claim| {
            claim.checked_segments.push(name);
            let record = find(claim.id);
            (claim, record)
        });
        SegmentOutcome::Loaded(loaded.collect())
    }

    /// Continues a removal: a segment that was read is removed, one that is gone is dropped from
    /// the list, and a call that failed is retried.
    fn handle_removal_reply(
        &mut self,
        context: &mut ShardContext,
        reply: &StoreReply,
    ) -> SegmentOutcome {
        let Some(mut pending) = self.pending_removal.take() else {
            return SegmentOutcome::UnknownOperation;
        };
        match reply {
            StoreReply::Read(Some((version, _))) => {
                let key = pending
                    .reference
                    .key(&context.settings.environment, context.shard);
                pending.step = SegmentStep::Running(context.remove(key, *version));
            }
            StoreReply::Read(None) | StoreReply::Removed => {
                self.segments
                    .retain(|segment| segment.reference.name() != pending.reference.name());
                return SegmentOutcome::Removed;
            }
            _ => {
                let at = context.jittered_instant(context.settings.max_backoff);
                pending.step = SegmentStep::RetryAt(at);
            }
        }
        self.pending_removal = Some(pending);
        SegmentOutcome::Pending
    }

    /// Removes the attempt's claim calls that wait for a segment.
    pub fn cancel_lookups(&mut self, attempt: AttemptId) {
        for pending in self.pending_reads.values_mut() {
            pending
                .waiting_claims
                .retain(|claim| claim.attempt != attempt);
        }
    }

    /// Returns the claim calls that waited for a segment.
    pub fn into_waiting_claims(self) -> Vec<PendingClaim> {
        self.pending_reads
            .into_values()
            .flat_map(|pending| pending.waiting_claims)
            .collect()
    }
}

/// Returns the sorted prefixes of claim identities, for binary search.
fn sorted_prefixes(ids: &[ClaimId]) -> Vec<u64> {
    let mut prefixes: Vec<u64> = ids.iter().map(|id| id.prefix()).collect();
    prefixes.sort_unstable();
    prefixes
}
