//! A shard that this entry owns or is taking over: calls, writes of the head, takeover and
//! handover.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::claims::{ClaimCall, ClaimId, ClaimReply};
use gs_protocol::ids::{EntryIdentity, FenceNumber, ObjectVersion};

use super::claim::{PendingClaim, TailClaim, WriteUrgency};
use super::commit::{HeadWriteOutcome, HeadWriter, PendingReply, WriteMetadata};
use super::context::ShardContext;
use super::messages::{StoreOperationId, StoreReply};
use super::record::{ClaimRecord, ClaimState, ShardHead, encode};
use super::segment::{SegmentOutcome, SegmentStore};

/// A shard that this entry owns. Ownership is confirmed once the first write of the head has
/// succeeded.
#[derive(Debug)]
pub(super) struct OwnedShard {
    fence: FenceNumber,
    /// Whether a write of this owner has succeeded.
    confirmed: bool,
    /// Whether the shard is to be handed over with the next write.
    vacating: bool,
    /// The number of the last write that was started.
    last_write: u64,
    /// The expiry horizon: keys with this time or an earlier one are refused.
    pub(super) horizon_ms: u64,
    /// The horizon in the last head that was written.
    written_horizon_ms: u64,
    /// Open claims, and ended claims that are not in a segment yet.
    pub(super) tail: BTreeMap<ClaimId, TailClaim>,
    pub(super) segments: SegmentStore,
    /// Claim calls that wait for the open claim of their key to end.
    pub(super) waiters: BTreeMap<ClaimId, Vec<PendingClaim>>,
    /// Replies to send after the next write of the head.
    pending_replies: Vec<PendingReply>,
    /// Encoded size of the last head, in bytes.
    pub(super) head_bytes: usize,
    /// Whether the ended claims of the tail are large enough to move to a segment.
    seal_due: bool,
    pub(super) head_writer: HeadWriter,
}

/// Whether this entry still owns the shard.
pub(super) enum OwnershipOutcome {
    /// This entry still owns the shard.
    Retained,
    /// This entry no longer owns the shard. Holds the new owner, or none after a handover or if it
    /// is unknown.
    Lost(Option<EntryIdentity>),
}

impl OwnedShard {
    /// Takes over a shard from the head that was read, or creates the shard if it has no head. The
    /// first write is due at once.
    pub fn take_over(
        now: Instant,
        found: Option<(ObjectVersion, ShardHead)>,
        settings: &super::LedgerSettings,
    ) -> Self {
        let (version, head) = found.unzip();
        let (fence, horizon_ms, segments, tail) = match head {
            Some(head) => (head.fence, head.horizon_ms, head.segments, head.tail),
            None => Default::default(),
        };
        let tail_claim = |record: ClaimRecord| {
            (
                record.id,
                TailClaim {
                    record,
                    known_since: now,
                },
            )
        };
        Self {
            fence: fence.next(),
            confirmed: false,
            vacating: false,
            last_write: 0,
            horizon_ms,
            written_horizon_ms: horizon_ms,
            tail: tail.into_iter().map(tail_claim).collect(),
            segments: SegmentStore::new(&segments),
            waiters: BTreeMap::new(),
            pending_replies: Vec::new(),
            head_bytes: 0,
            seal_due: false,
            head_writer: HeadWriter::new(now, version, settings),
        }
    }

    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    pub fn writes(&self) -> u64 {
        self.head_writer.writes()
    }

    pub fn stored_claims(&self) -> u64 {
        self.tail.len() as u64 + self.segments.stored_claims()
    }

    /// Schedules the handover: the next write removes the owner from the head.
    pub fn vacate(&mut self, now: Instant) {
        self.vacating = true;
        self.head_writer.schedule_by(now);
    }

    /// Handles a call from an entry, which may be this one.
    pub fn handle_call(
        &mut self,
        context: &mut ShardContext,
        from: &EntryIdentity,
        call: ClaimCall,
    ) {
        match call {
            ClaimCall::Claim {
                attempt,
                id,
                time_ms,
                fingerprint,
                wait_ms,
            } => {
                let from = from.clone();
                let wait_until = context.now + Duration::from_millis(wait_ms);
                let checked_segments = Vec::new();
                self.handle_claim(
                    context,
                    PendingClaim {
                        from,
                        attempt,
                        id,
                        time_ms,
                        fingerprint,
                        wait_until,
                        checked_segments,
                    },
                );
            }
            ClaimCall::Finish {
                attempt,
                id,
                answer,
            } => {
                self.finish_claim(context, id, attempt, answer);
                self.reply_after_write(
                    context,
                    from,
                    ClaimReply::Closed { attempt },
                    WriteUrgency::Deferred,
                );
            }
            ClaimCall::Release { attempt, id } => {
                self.release_claim(context, id, attempt);
                self.reply_after_write(
                    context,
                    from,
                    ClaimReply::Closed { attempt },
                    WriteUrgency::Deferred,
                );
            }
            ClaimCall::Vacated { .. } => {}
        }
    }

    /// Sends a reply after a write of the head that contains the current state.
    pub(super) fn reply_after_write(
        &mut self,
        context: &ShardContext,
        to: &EntryIdentity,
        reply: ClaimReply,
        urgency: WriteUrgency,
    ) {
        let at = match urgency {
            WriteUrgency::Immediate => context.now,
            WriteUrgency::Deferred => context.now + context.settings.deferred_write_delay,
        };
        let pending = (to.clone(), reply);
        if self.pending_replies.contains(&pending) || self.head_writer.has_pending_reply(&pending) {
            return;
        }
        self.pending_replies.push(pending);
        self.head_writer.schedule_by(at);
    }

    /// Handles the result of a call to the platform's object store.
    pub fn handle_store_reply(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) -> OwnershipOutcome {
        match self
            .head_writer
            .handle_store_reply(context, operation, reply)
        {
            HeadWriteOutcome::Pending => {}
            HeadWriteOutcome::Lost(owner) => return OwnershipOutcome::Lost(owner),
            HeadWriteOutcome::Committed(metadata, replies) => {
                return self.handle_commit(context, metadata, replies);
            }
            HeadWriteOutcome::UnknownOperation => {
                self.handle_segment_reply(context, operation, reply);
            }
        }
        OwnershipOutcome::Retained
    }

    /// Sends the replies of a successful write, and ends the ownership if the write was a handover.
    fn handle_commit(
        &mut self,
        context: &mut ShardContext,
        metadata: WriteMetadata,
        replies: Vec<PendingReply>,
    ) -> OwnershipOutcome {
        self.confirmed = true;
        self.written_horizon_ms = metadata.horizon_ms;
        for (to, reply) in replies {
            context.reply(&to, reply);
        }
        if metadata.vacating {
            return OwnershipOutcome::Lost(None);
        }
        self.seal_due = self.ended_bytes() >= context.settings.seal_threshold_bytes;
        OwnershipOutcome::Retained
    }

    /// Handles the result of a call to the object store for a segment.
    fn handle_segment_reply(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) {
        let deferred_at = context.now + context.settings.deferred_write_delay;
        match self.segments.handle_store_reply(context, operation, reply) {
            SegmentOutcome::UnknownOperation | SegmentOutcome::Pending => {}
            SegmentOutcome::Removed => self.head_writer.schedule_by(deferred_at),
            SegmentOutcome::Sealed(ids) => {
                self.tail.retain(|id, _| ids.binary_search(id).is_err());
                self.head_writer.schedule_by(deferred_at);
            }
            SegmentOutcome::Loaded(claims) => {
                for (claim, record) in claims {
                    match record {
                        Some(record) => self.reply_to_known_claim(context, claim, &record),
                        None => self.handle_claim(context, claim),
                    }
                }
            }
        }
    }

    /// Starts the operations that are due: writes and reads of head and segments, and removals of
    /// segments.
    pub fn advance(&mut self, context: &mut ShardContext) {
        self.head_writer.advance(context);
        self.segments.advance(context, self.written_horizon_ms);
        self.seal_ended_claims(context);
        if self
            .head_writer
            .try_acquire_head_write(context.now, context.settings)
        {
            self.write_head(context);
        }
    }

    /// Claims of the tail that are finished or abandoned.
    fn ended_claims(&self) -> impl Iterator<Item = &ClaimRecord> {
        let records = self.tail.values().map(|tail_claim| &tail_claim.record);
        records.filter(|record| !matches!(record.state, ClaimState::Open { .. }))
    }

    /// Estimated size of the ended claims, in bytes.
    fn ended_bytes(&self) -> usize {
        self.ended_claims().map(ClaimRecord::size_bytes).sum()
    }

    /// Moves ended claims to a segment if that is due. `advance` runs this before writes of the
    /// head, which would otherwise use up the write budget and starve it.
    fn seal_ended_claims(&mut self, context: &mut ShardContext) {
        let is_due = self.seal_due && !self.segments.is_sealing();
        if !is_due
            || !self
                .head_writer
                .try_acquire_segment_write(context.now, context.settings)
        {
            return;
        }
        self.seal_due = false;
        let records: Vec<ClaimRecord> = self.ended_claims().cloned().collect();
        self.segments.write_segment(context, self.fence, &records);
    }

    /// Starts a write of the head. For a handover the head is written without an owner; an owner
    /// that is not confirmed first writes itself as the owner, and hands over with the next write.
    fn write_head(&mut self, context: &mut ShardContext) {
        self.drop_expired_claims(context);
        let vacating = self.vacating && self.confirmed;
        let owner = (!vacating).then(|| context.settings.identity.clone());
        self.last_write += 1;
        let head = ShardHead {
            owner,
            fence: self.fence,
            write: self.last_write,
            shards: context.settings.shards,
            horizon_ms: self.horizon_ms,
            segments: self.segments.references(),
            tail: self
                .tail
                .values()
                .map(|tail_claim| tail_claim.record.clone())
                .collect(),
        };
        let horizon_ms = self.horizon_ms;
        let metadata = WriteMetadata {
            fence: self.fence,
            write_number: self.last_write,
            horizon_ms,
            vacating,
        };
        let Ok(value) = encode(&head) else {
            log::error!(target: "ledger", shard = context.shard; "failed to encode the shard head");
            return;
        };
        self.head_bytes = value.len();
        self.head_writer.start_write(
            context,
            metadata,
            value,
            std::mem::take(&mut self.pending_replies),
        );
        if self.vacating && !vacating {
            self.head_writer.schedule_by(context.now);
        }
    }

    /// Moves the expiry horizon up to `retention` and `retention_margin` before now, and drops the
    /// claims behind it from the tail.
    fn drop_expired_claims(&mut self, context: &mut ShardContext) {
        let settings = context.settings;
        let stored_for = settings.retention + settings.retention_margin;
        let horizon_ms = context
            .wall_ms
            .saturating_sub(stored_for.as_millis() as u64);
        self.horizon_ms = self.horizon_ms.max(horizon_ms);
        let horizon_ms = self.horizon_ms;
        self.tail
            .retain(|_, tail_claim| tail_claim.record.time_ms > horizon_ms);
    }

    /// Replies `NotOwner` to all attempts that wait for a write, a claim or a segment, so that they
    /// call the new owner.
    pub fn redirect_attempts(self, context: &mut ShardContext, owner: Option<&EntryIdentity>) {
        let unsent_replies = self
            .head_writer
            .into_pending_replies()
            .into_iter()
            .chain(self.pending_replies);
        let redirected = unsent_replies.map(|(to, reply)| (to, reply.attempt()));
        let waiting = self
            .waiters
            .into_values()
            .flatten()
            .chain(self.segments.into_waiting_claims());
        let waiting = waiting.map(|claim| (claim.from, claim.attempt));
        for (to, attempt) in redirected.chain(waiting) {
            let owner = owner.cloned();
            context.reply(&to, ClaimReply::NotOwner { attempt, owner });
        }
    }
}
