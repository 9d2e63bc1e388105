//! Handling of claims in an owned shard: opening, queueing, finishing, releasing and abandoning
//! them.

use std::time::Instant;

use gs_protocol::claims::{ClaimFingerprint, ClaimId, ClaimReply, StoredAnswer};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

use super::context::ShardContext;
use super::owner::OwnedShard;
use super::record::{ClaimRecord, ClaimState};
use super::segment::SegmentName;

/// A claim call that waits for another attempt under its key, or for a segment to be read.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    /// The entry to reply to.
    pub from: EntryIdentity,
    pub attempt: AttemptId,
    pub id: ClaimId,
    /// The time in the key, in milliseconds since 1970.
    pub time_ms: u64,
    pub fingerprint: ClaimFingerprint,
    /// The caller's deadline, after which the call is dropped.
    pub wait_until: Instant,
    /// Segments in which the claim was already looked up.
    pub checked_segments: Vec<SegmentName>,
}

/// A claim in the head's tail.
#[derive(Debug)]
pub(super) struct TailClaim {
    pub record: ClaimRecord,
    /// When this owner opened the claim or took it over.
    pub known_since: Instant,
}

/// How soon the head is written so that a reply can be sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum WriteUrgency {
    /// As soon as the rate limit allows.
    Immediate,
    /// With the next write, at the latest after `deferred_write_delay`.
    Deferred,
}

impl OwnedShard {
    /// Replies to a claim call, or queues it until the attempt that holds the key ends or a segment
    /// is read. A key that is expired, or behind the horizon, is refused as its claim may have been
    /// dropped.
    pub(super) fn handle_claim(&mut self, context: &mut ShardContext, claim: PendingClaim) {
        let retention_ms = context.settings.retention.as_millis() as u64;
        let expired = claim.time_ms.saturating_add(retention_ms) < context.wall_ms;
        if expired || claim.time_ms <= self.horizon_ms {
            let reason = RefusalReason::KeyExpired;
            let outcome = RequestOutcome::Unknown;
            let refusal = ClaimReply::Refused {
                attempt: claim.attempt,
                reason,
                outcome,
            };
            context.reply(&claim.from, refusal);
            return;
        }
        if let Some(tail_claim) = self.tail.get(&claim.id) {
            let record = tail_claim.record.clone();
            self.reply_to_known_claim(context, claim, &record);
        } else if !self.segments.queue_for_lookup(context, &claim) {
            self.open_claim(context, &claim);
        }
    }

    /// Opens a claim for a key that was not claimed before. The grant is sent once the claim is
    /// written.
    fn open_claim(&mut self, context: &mut ShardContext, claim: &PendingClaim) {
        let settings = context.settings;
        let latest_ms = context.wall_ms + settings.allowed_clock_skew.as_millis() as u64;
        let attempt = claim.attempt;
        let outcome = RequestOutcome::NotRun;
        let refusal = if claim.time_ms > latest_ms {
            Some(RefusalReason::KeyInvalid)
        } else if self.head_bytes > settings.head_limit_bytes {
            Some(RefusalReason::QueueFull)
        } else {
            None
        };
        if let Some(reason) = refusal {
            let refusal = ClaimReply::Refused {
                attempt,
                reason,
                outcome,
            };
            self.reply_after_write(context, &claim.from, refusal, WriteUrgency::Immediate);
            return;
        }
        let record = ClaimRecord {
            id: claim.id,
            time_ms: claim.time_ms,
            fingerprint: claim.fingerprint,
            state: ClaimState::Open {
                attempt,
                holder: claim.from.clone(),
            },
        };
        self.tail.insert(
            claim.id,
            TailClaim {
                record,
                known_since: context.now,
            },
        );
        self.reply_after_write(
            context,
            &claim.from,
            ClaimReply::Granted { attempt },
            WriteUrgency::Immediate,
        );
    }

    /// Replies to a claim call for a key that was claimed before.
    pub(super) fn reply_to_known_claim(
        &mut self,
        context: &mut ShardContext,
        claim: PendingClaim,
        record: &ClaimRecord,
    ) {
        let attempt = claim.attempt;
        let is_open = matches!(record.state, ClaimState::Open { .. });
        if record.fingerprint != claim.fingerprint {
            let reason = RefusalReason::KeyReused;
            let outcome = RequestOutcome::NotRun;
            let refusal = ClaimReply::Refused {
                attempt,
                reason,
                outcome,
            };
            // If this entry was replaced as owner, the open claim may have been released since. A
            // successful write confirms the ownership before the refusal is sent.
            match is_open {
                true => {
                    self.reply_after_write(context, &claim.from, refusal, WriteUrgency::Immediate);
                }
                false => context.reply(&claim.from, refusal),
            }
            return;
        }
        match &record.state {
            ClaimState::Open {
                attempt: holder, ..
            } if *holder == attempt => {
                let grant = ClaimReply::Granted { attempt };
                self.reply_after_write(context, &claim.from, grant, WriteUrgency::Immediate);
            }
            ClaimState::Open { .. } => self.add_waiter(context, claim),
            ClaimState::Done(answer) => {
                let answer = answer.clone();
                context.reply(&claim.from, ClaimReply::Replayed { attempt, answer });
            }
            ClaimState::Unknown => {
                let reason = RefusalReason::KeyPending;
                let outcome = RequestOutcome::Unknown;
                context.reply(
                    &claim.from,
                    ClaimReply::Refused {
                        attempt,
                        reason,
                        outcome,
                    },
                );
            }
        }
    }

    /// Queues a claim call behind the attempt that holds the key.
    fn add_waiter(&mut self, context: &mut ShardContext, claim: PendingClaim) {
        context.reply(
            &claim.from,
            ClaimReply::Waiting {
                attempt: claim.attempt,
            },
        );
        let waiters = self.waiters.entry(claim.id).or_default();
        waiters.retain(|waiter| waiter.attempt != claim.attempt);
        waiters.push(claim);
    }

    /// Ends the claim with the attempt's answer, or as unknown without one, if the attempt holds
    /// it.
    pub(super) fn finish_claim(
        &mut self,
        context: &mut ShardContext,
        id: ClaimId,
        attempt: AttemptId,
        answer: Option<StoredAnswer>,
    ) {
        if !self.is_held_by(id, attempt) {
            return;
        }
        if let Some(tail_claim) = self.tail.get_mut(&id) {
            tail_claim.record.state = answer.map_or(ClaimState::Unknown, ClaimState::Done);
        }
        self.retry_waiters(context, id);
    }

    /// Removes the claim if the attempt holds it, and cancels the attempt's queued claim calls.
    pub(super) fn release_claim(
        &mut self,
        context: &mut ShardContext,
        id: ClaimId,
        attempt: AttemptId,
    ) {
        self.segments.cancel_lookups(attempt);
        if let Some(waiters) = self.waiters.get_mut(&id) {
            waiters.retain(|waiter| waiter.attempt != attempt);
        }
        if self.is_held_by(id, attempt) {
            self.tail.remove(&id);
            self.retry_waiters(context, id);
        }
    }

    /// Whether the claim is open and held by the attempt.
    fn is_held_by(&self, id: ClaimId, attempt: AttemptId) -> bool {
        let state = self
            .tail
            .get(&id)
            .map(|tail_claim| &tail_claim.record.state);
        matches!(state, Some(ClaimState::Open { attempt: holder, .. }) if *holder == attempt)
    }

    /// Handles the queued claim calls of a key again after its claim has changed.
    fn retry_waiters(&mut self, context: &mut ShardContext, id: ClaimId) {
        for waiter in self.waiters.remove(&id).unwrap_or_default() {
            self.handle_claim(context, waiter);
        }
    }

    /// Ends open claims as unknown when their holder has restarted or this owner has known them for
    /// longer than `abandon_after`, and drops queued claim calls that are past their deadline.
    pub(super) fn sweep_claims(
        &mut self,
        context: &mut ShardContext,
        has_restarted: impl Fn(&EntryIdentity) -> bool,
    ) {
        let limit = context.settings.abandon_after;
        let mut ended = Vec::new();
        for (id, tail_claim) in &mut self.tail {
            let ClaimState::Open { holder, .. } = &tail_claim.record.state else {
                continue;
            };
            let is_old = context
                .now
                .saturating_duration_since(tail_claim.known_since)
                > limit;
            if is_old || has_restarted(holder) {
                tail_claim.record.state = ClaimState::Unknown;
                ended.push(*id);
            }
        }
        if !ended.is_empty() {
            self.head_writer
                .schedule_by(context.now + context.settings.deferred_write_delay);
        }
        for id in ended {
            self.retry_waiters(context, id);
        }
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| waiter.wait_until > context.now);
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
    }
}
