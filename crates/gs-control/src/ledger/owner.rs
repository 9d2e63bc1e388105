//! A shard that this entry owns, or is about to own: calls, writes, takeover and handover.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::claims::{ClaimCall, ClaimId, ClaimReply};
use gs_protocol::ids::{EntryIdentity, FenceNumber, ObjectVersion};

use super::claim::{PendingClaim, TailClaim, Urgency};
use super::commit::{CommitOutcome, CommitPath, DueReply, FlightMark};
use super::context::ShardContext;
use super::messages::{StoreOperationId, StoreReply};
use super::record::{ClaimRecord, ClaimState, ShardHead, encode};
use super::segment::{SegmentOutcome, SegmentStore};

/// A shard that this entry owns once its first write has taken effect.
#[derive(Debug)]
pub(super) struct OwnedShard {
    fence: FenceNumber,
    proven: bool,
    vacating: bool,
    write: u64,
    pub(super) horizon_ms: u64,
    written_horizon_ms: u64,
    pub(super) tail: BTreeMap<ClaimId, TailClaim>,
    pub(super) segments: SegmentStore,
    pub(super) waiters: BTreeMap<ClaimId, Vec<PendingClaim>>,
    replies: Vec<DueReply>,
    pub(super) head_bytes: usize,
    seal_due: bool,
    pub(super) commit: CommitPath,
}

/// Whether the shard is still this entry's.
pub(super) enum OwnerOutcome {
    /// It is.
    Kept,
    /// Another entry owns it, or nobody.
    Lost(Option<EntryIdentity>),
}

impl OwnedShard {
    /// Takes over a shard whose head was read at a version, or starts one that does not exist.
    pub fn take(
        now: Instant,
        found: Option<(ObjectVersion, ShardHead)>,
        settings: &super::LedgerSettings,
    ) -> Self {
        let (version, head) = found.unzip();
        let (fence, horizon_ms, segments, tail) = match head {
            Some(head) => (head.fence, head.horizon_ms, head.segments, head.tail),
            None => Default::default(),
        };
        let known = |record: ClaimRecord| (record.id, TailClaim { record, since: now });
        Self {
            fence: fence.next(),
            proven: false,
            vacating: false,
            write: 0,
            horizon_ms,
            written_horizon_ms: horizon_ms,
            tail: tail.into_iter().map(known).collect(),
            segments: SegmentStore::new(&segments),
            waiters: BTreeMap::new(),
            replies: Vec::new(),
            head_bytes: 0,
            seal_due: false,
            commit: CommitPath::new(now, version, settings),
        }
    }

    pub fn is_proven(&self) -> bool {
        self.proven
    }

    pub fn writes(&self) -> u64 {
        self.commit.writes()
    }

    pub fn stored_claims(&self) -> u64 {
        self.tail.len() as u64 + self.segments.stored_claims()
    }

    /// Hands the shard over with the next write.
    pub fn vacate(&mut self, now: Instant) {
        self.vacating = true;
        self.commit.want_by(now);
    }

    /// Takes a call of an entry.
    pub fn call(&mut self, context: &mut ShardContext, from: &EntryIdentity, call: ClaimCall) {
        match call {
            ClaimCall::Claim {
                attempt,
                id,
                time_ms,
                fingerprint,
                wait_ms,
            } => {
                let from = from.clone();
                let until = context.now + Duration::from_millis(wait_ms);
                let cleared = Vec::new();
                self.claim(
                    context,
                    PendingClaim {
                        from,
                        attempt,
                        id,
                        time_ms,
                        fingerprint,
                        until,
                        cleared,
                    },
                );
            }
            ClaimCall::Finish {
                attempt,
                id,
                answer,
            } => {
                self.finish(context, id, attempt, answer);
                self.reply_written(context, from, ClaimReply::Closed { attempt }, Urgency::Lazy);
            }
            ClaimCall::Release { attempt, id } => {
                self.release(context, id, attempt);
                self.reply_written(context, from, ClaimReply::Closed { attempt }, Urgency::Lazy);
            }
            ClaimCall::Vacated { .. } => {}
        }
    }

    /// Sends a reply once everything known so far is written.
    pub(super) fn reply_written(
        &mut self,
        context: &ShardContext,
        to: &EntryIdentity,
        reply: ClaimReply,
        urgency: Urgency,
    ) {
        let at = match urgency {
            Urgency::Now => context.now,
            Urgency::Lazy => context.now + context.settings.lazy_delay,
        };
        let due = (to.clone(), reply);
        if self.replies.contains(&due) || self.commit.has_reply(&due) {
            return;
        }
        self.replies.push(due);
        self.commit.want_by(at);
    }

    /// Takes the end of a call of the platform's service.
    pub fn stored(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) -> OwnerOutcome {
        match self.commit.stored(context, operation, reply) {
            CommitOutcome::Pending => {}
            CommitOutcome::Lost(owner) => return OwnerOutcome::Lost(owner),
            CommitOutcome::Committed(head, replies) => {
                return self.committed(context, head, replies);
            }
            CommitOutcome::Foreign => self.segment_stored(context, operation, reply),
        }
        OwnerOutcome::Kept
    }

    fn committed(
        &mut self,
        context: &mut ShardContext,
        head: FlightMark,
        replies: Vec<DueReply>,
    ) -> OwnerOutcome {
        self.proven = true;
        self.written_horizon_ms = head.horizon_ms;
        for (to, reply) in replies {
            context.reply(&to, reply);
        }
        if head.vacating {
            return OwnerOutcome::Lost(None);
        }
        self.seal_due = self.ended_bytes() >= context.settings.seal_bytes;
        OwnerOutcome::Kept
    }

    fn segment_stored(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) {
        let lazily = context.now + context.settings.lazy_delay;
        match self.segments.stored(context, operation, reply) {
            SegmentOutcome::Foreign | SegmentOutcome::Pending => {}
            SegmentOutcome::Removed => self.commit.want_by(lazily),
            SegmentOutcome::Sealed(ids) => {
                self.tail.retain(|id, _| ids.binary_search(id).is_err());
                self.commit.want_by(lazily);
            }
            SegmentOutcome::Loaded(claims) => {
                for (claim, record) in claims {
                    match record {
                        Some(record) => self.answer_known(context, claim, &record),
                        None => self.claim(context, claim),
                    }
                }
            }
        }
    }

    /// Starts what is due: writes of the head, segments, removals.
    pub fn pump(&mut self, context: &mut ShardContext) {
        self.commit.pump(context);
        self.segments.pump(context, self.written_horizon_ms);
        self.seal(context);
        if self.commit.take_turn(context.now, context.settings) {
            self.write_head(context);
        }
    }

    fn ended(&self) -> impl Iterator<Item = &ClaimRecord> {
        let records = self.tail.values().map(|known| &known.record);
        records.filter(|record| !matches!(record.state, ClaimState::Open { .. }))
    }

    fn ended_bytes(&self) -> usize {
        self.ended().map(ClaimRecord::size_bytes).sum()
    }

    /// Moves ended claims to a segment. It goes before writes of the head, which would starve it.
    fn seal(&mut self, context: &mut ShardContext) {
        let is_due = self.seal_due && !self.segments.is_sealing();
        if !is_due || !self.commit.take_extra(context.now, context.settings) {
            return;
        }
        self.seal_due = false;
        let records: Vec<ClaimRecord> = self.ended().cloned().collect();
        self.segments.seal(context, self.fence, &records);
    }

    fn write_head(&mut self, context: &mut ShardContext) {
        self.drop_expired(context);
        let vacating = self.vacating && self.proven;
        let owner = (!vacating).then(|| context.settings.identity.clone());
        self.write += 1;
        let head = ShardHead {
            owner,
            fence: self.fence,
            write: self.write,
            shards: context.settings.shards,
            horizon_ms: self.horizon_ms,
            segments: self.segments.entries(),
            tail: self
                .tail
                .values()
                .map(|known| known.record.clone())
                .collect(),
        };
        let horizon_ms = self.horizon_ms;
        let mark = FlightMark {
            fence: self.fence,
            write: self.write,
            horizon_ms,
            vacating,
        };
        let Ok(value) = encode(&head) else {
            log::error!(target: "ledger", shard = context.shard; "the head cannot be encoded");
            return;
        };
        self.head_bytes = value.len();
        self.commit
            .start(context, mark, value, std::mem::take(&mut self.replies));
        if self.vacating && !vacating {
            self.commit.want_by(context.now);
        }
    }

    /// Advances the horizon and drops the claims behind it.
    fn drop_expired(&mut self, context: &mut ShardContext) {
        let settings = context.settings;
        let kept = settings.retention + settings.retention_margin;
        let horizon_ms = context.wall_ms.saturating_sub(kept.as_millis() as u64);
        self.horizon_ms = self.horizon_ms.max(horizon_ms);
        let horizon_ms = self.horizon_ms;
        self.tail
            .retain(|_, known| known.record.time_ms > horizon_ms);
    }

    /// Gives up the shard: every attempt that waits for it must look for the new owner.
    pub fn close(self, context: &mut ShardContext, owner: Option<&EntryIdentity>) {
        let due = self.commit.close().into_iter().chain(self.replies);
        let due = due.map(|(to, reply)| (to, reply.attempt()));
        let waiting = self
            .waiters
            .into_values()
            .flatten()
            .chain(self.segments.close());
        let waiting = waiting.map(|claim| (claim.from, claim.attempt));
        for (to, attempt) in due.chain(waiting) {
            let owner = owner.cloned();
            context.reply(&to, ClaimReply::NotOwner { attempt, owner });
        }
    }
}
