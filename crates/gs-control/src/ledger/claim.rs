//! Claims of an owned shard: opening, waiting, ending and abandoning.

use std::time::Instant;

use gs_protocol::claims::{ClaimFingerprint, ClaimId, ClaimReply, KeptAnswer};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

use super::context::ShardContext;
use super::owner::OwnedShard;
use super::record::{ClaimRecord, ClaimState};
use super::segment::SegmentName;

/// A claim that waits for another attempt or for a segment.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub from: EntryIdentity,
    pub attempt: AttemptId,
    pub id: ClaimId,
    pub time_ms: u64,
    pub fingerprint: ClaimFingerprint,
    pub until: Instant,
    pub cleared: Vec<SegmentName>,
}

/// A claim of the tail, and since when this owner knows it.
#[derive(Debug)]
pub(super) struct TailClaim {
    pub record: ClaimRecord,
    pub since: Instant,
}

/// How soon a reply must be written.
#[derive(Clone, Copy, Debug)]
pub(super) enum Urgency {
    /// With the next write.
    Now,
    /// With the next write for another reason, or after a delay.
    Lazy,
}

impl OwnedShard {
    /// Answers a claim, or keeps it until it can be answered.
    pub(super) fn claim(&mut self, context: &mut ShardContext, claim: PendingClaim) {
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
        if let Some(known) = self.tail.get(&claim.id) {
            let record = known.record.clone();
            self.answer_known(context, claim, &record);
        } else if !self.segments.park(context, &claim) {
            self.open(context, &claim);
        }
    }

    /// Opens a claim under a key that the shard does not know.
    fn open(&mut self, context: &mut ShardContext, claim: &PendingClaim) {
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
            self.reply_written(context, &claim.from, refusal, Urgency::Now);
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
                since: context.now,
            },
        );
        self.reply_written(
            context,
            &claim.from,
            ClaimReply::Granted { attempt },
            Urgency::Now,
        );
    }

    /// Answers a claim for a key that was claimed before.
    pub(super) fn answer_known(
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
            // An open claim may have been released at a later owner: the refusal must be proven.
            match is_open {
                true => self.reply_written(context, &claim.from, refusal, Urgency::Now),
                false => context.reply(&claim.from, refusal),
            }
            return;
        }
        match &record.state {
            ClaimState::Open {
                attempt: holder, ..
            } if *holder == attempt => {
                let grant = ClaimReply::Granted { attempt };
                self.reply_written(context, &claim.from, grant, Urgency::Now);
            }
            ClaimState::Open { .. } => self.wait(context, claim),
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

    fn wait(&mut self, context: &mut ShardContext, claim: PendingClaim) {
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

    /// Ends a claim that the attempt holds.
    pub(super) fn finish(
        &mut self,
        context: &mut ShardContext,
        id: ClaimId,
        attempt: AttemptId,
        answer: Option<KeptAnswer>,
    ) {
        if !self.holds(id, attempt) {
            return;
        }
        if let Some(known) = self.tail.get_mut(&id) {
            known.record.state = answer.map_or(ClaimState::Unknown, ClaimState::Done);
        }
        self.wake(context, id);
    }

    /// Removes a claim that the attempt holds, or lets it wait no longer.
    pub(super) fn release(&mut self, context: &mut ShardContext, id: ClaimId, attempt: AttemptId) {
        self.segments.withdraw(attempt);
        if let Some(waiters) = self.waiters.get_mut(&id) {
            waiters.retain(|waiter| waiter.attempt != attempt);
        }
        if self.holds(id, attempt) {
            self.tail.remove(&id);
            self.wake(context, id);
        }
    }

    /// Whether the attempt holds the open claim.
    fn holds(&self, id: ClaimId, attempt: AttemptId) -> bool {
        let state = self.tail.get(&id).map(|known| &known.record.state);
        matches!(state, Some(ClaimState::Open { attempt: holder, .. }) if *holder == attempt)
    }

    /// Lets the attempts that waited for a claim try again.
    fn wake(&mut self, context: &mut ShardContext, id: ClaimId) {
        for waiter in self.waiters.remove(&id).unwrap_or_default() {
            self.claim(context, waiter);
        }
    }

    /// Ends open claims whose holder is gone or silent, and forgets attempts that waited too long.
    pub(super) fn sweep(
        &mut self,
        context: &mut ShardContext,
        is_gone: impl Fn(&EntryIdentity) -> bool,
    ) {
        let limit = context.settings.abandon_after;
        let mut ended = Vec::new();
        for (id, known) in &mut self.tail {
            let ClaimState::Open { holder, .. } = &known.record.state else {
                continue;
            };
            let is_old = context.now.saturating_duration_since(known.since) > limit;
            if is_old || is_gone(holder) {
                known.record.state = ClaimState::Unknown;
                ended.push(*id);
            }
        }
        if !ended.is_empty() {
            self.commit
                .want_by(context.now + context.settings.lazy_delay);
        }
        for id in ended {
            self.wake(context, id);
        }
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| waiter.until > context.now);
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
    }
}
