//! The attempts of this entry's callers: each looks for its shard's owner until it has an answer.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_protocol::claims::{ClaimCall, ClaimFingerprint, ClaimId, ClaimReply, KeptAnswer};
use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName};
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

use super::messages::{ClaimRequest, LedgerEffect};
use super::settings::LedgerSettings;
use super::shard::ShardSlot;

/// How far an attempt has come.
#[derive(Debug)]
enum AttemptStage {
    /// It wants its claim; nothing of the request was sent.
    Seeking {
        /// Whether another attempt under the key is known to be running.
        waiting: bool,
    },
    /// It has its claim and may be running.
    Held,
    /// It has ended, which must still be written.
    Finishing { answer: Option<KeptAnswer> },
    /// It never ran and never will, which must still be written.
    Releasing,
}

impl AttemptStage {
    fn is_ending(&self) -> bool {
        matches!(self, Self::Finishing { .. } | Self::Releasing)
    }
}

/// One attempt.
#[derive(Debug)]
struct ClientAttempt {
    id: ClaimId,
    time_ms: u64,
    fingerprint: ClaimFingerprint,
    /// When the caller must have an answer; later, when the owner is no longer told of the end.
    deadline: Instant,
    stage: AttemptStage,
    /// When the call is sent again; none while the attempt runs.
    send_at: Option<Instant>,
    reroutes: u32,
}

/// All attempts of this entry, and the owners of the shards as far as they are known.
#[derive(Debug)]
pub(super) struct ClaimClient {
    attempts: BTreeMap<AttemptId, ClientAttempt>,
    routes: Vec<Option<EntryIdentity>>,
}

/// The live entries.
pub(super) type EntryMembers = BTreeMap<EntryName, EntryIdentity>;

/// Whether this start of the entry is live.
fn is_member(members: &EntryMembers, entry: &EntryIdentity) -> bool {
    members.get(&entry.entry) == Some(entry)
}

/// Finds the entry to call for a shard.
pub(super) struct ShardRouter<'a> {
    pub members: &'a EntryMembers,
    pub shards: &'a [ShardSlot],
}

impl ShardRouter<'_> {
    /// The known owner if it is live, else the entry that should own the shard.
    fn target(&self, shard: u32, route: Option<&EntryIdentity>) -> Option<EntryIdentity> {
        let route = route.filter(|owner| is_member(self.members, owner));
        route
            .or_else(|| self.shards.get(shard as usize)?.preferred())
            .cloned()
    }
}

/// Reroutes of an attempt that are followed at once.
const PROMPT_REROUTES: u32 = 2;

impl ClaimClient {
    pub fn new(shards: u32) -> Self {
        Self {
            attempts: BTreeMap::new(),
            routes: vec![None; shards as usize],
        }
    }

    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Takes a caller's request.
    pub fn demand(&mut self, now: Instant, demand: &ClaimRequest, effects: &mut Vec<LedgerEffect>) {
        let Some(time_ms) = demand.key.time_ms() else {
            let reason = RefusalReason::KeyInvalid;
            let outcome = RequestOutcome::NotRun;
            effects.push(LedgerEffect::Refuse {
                attempt: demand.attempt,
                reason,
                outcome,
            });
            return;
        };
        let attempt = ClientAttempt {
            id: ClaimId::derive(&demand.caller, demand.key),
            time_ms,
            fingerprint: demand.fingerprint,
            deadline: demand.deadline,
            stage: AttemptStage::Seeking { waiting: false },
            send_at: Some(now),
            reroutes: 0,
        };
        self.attempts.insert(demand.attempt, attempt);
    }

    /// The attempt has ended; an answer that is too large is not kept.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        answer: Option<KeptAnswer>,
        settings: &LedgerSettings,
    ) {
        let limit = settings.answer_limit_bytes;
        let answer = answer.filter(|answer| answer.body.len() <= limit);
        self.end(now, attempt, AttemptStage::Finishing { answer }, settings);
    }

    /// The attempt has not run and never will.
    pub fn release(&mut self, now: Instant, attempt: AttemptId, settings: &LedgerSettings) {
        self.end(now, attempt, AttemptStage::Releasing, settings);
    }

    fn end(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        stage: AttemptStage,
        settings: &LedgerSettings,
    ) {
        let Some(known) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if matches!(
            known.stage,
            AttemptStage::Held | AttemptStage::Seeking { .. }
        ) {
            known.stage = stage;
            known.send_at = Some(now);
            known.deadline = now + settings.abandon_after;
        }
    }

    /// Takes a reply of a shard's owner, or of an entry that does not own it.
    pub fn replied(
        &mut self,
        now: Instant,
        reply: ClaimReply,
        settings: &LedgerSettings,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let attempt = reply.attempt();
        // A grant for an attempt that is no longer known may be a late copy of one that ran: it must
        // not be released.
        let Some(known) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let is_seeking = matches!(known.stage, AttemptStage::Seeking { .. });
        match reply {
            ClaimReply::NotOwner { owner, .. } => {
                self.rerouted(now, attempt, owner, settings);
            }
            ClaimReply::Closed { .. } if known.stage.is_ending() => {
                self.attempts.remove(&attempt);
            }
            ClaimReply::Granted { .. } if is_seeking => {
                known.stage = AttemptStage::Held;
                known.send_at = None;
                effects.push(LedgerEffect::Grant(attempt));
            }
            ClaimReply::Waiting { .. } if is_seeking => {
                known.stage = AttemptStage::Seeking { waiting: true };
                known.send_at = Some(now + settings.resend_after);
            }
            ClaimReply::Replayed { answer, .. } if is_seeking => {
                self.attempts.remove(&attempt);
                effects.push(LedgerEffect::Replay { attempt, answer });
            }
            ClaimReply::Refused {
                reason, outcome, ..
            } if is_seeking => {
                self.attempts.remove(&attempt);
                effects.push(LedgerEffect::Refuse {
                    attempt,
                    reason,
                    outcome,
                });
            }
            _ => {}
        }
    }

    fn rerouted(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        owner: Option<EntryIdentity>,
        settings: &LedgerSettings,
    ) {
        let Some(known) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if known.send_at.is_none() {
            return;
        }
        let is_new = owner.is_some() && known.reroutes < PROMPT_REROUTES;
        known.reroutes += 1;
        let delay = settings.reroute_delay;
        known.send_at = Some(if is_new { now } else { now + delay });
        let shard = known.id.shard(settings.shards) as usize;
        self.routes[shard] = owner;
    }

    /// Forgets routes to entries that are gone, and calls again where they led.
    pub fn keep_routes(&mut self, now: Instant, members: &EntryMembers) {
        let mut changed = false;
        for route in &mut self.routes {
            if route
                .as_ref()
                .is_some_and(|owner| !is_member(members, owner))
            {
                *route = None;
                changed = true;
            }
        }
        if !changed {
            return;
        }
        for known in self.attempts.values_mut() {
            known.send_at = known.send_at.map(|at| at.min(now));
        }
    }

    /// Ends attempts that are out of time and sends the calls that are due.
    pub fn pump(
        &mut self,
        now: Instant,
        wall_ms: u64,
        settings: &LedgerSettings,
        router: &ShardRouter,
        effects: &mut Vec<LedgerEffect>,
    ) {
        self.expire(now, wall_ms, settings, effects);
        for (attempt, known) in &mut self.attempts {
            if known.send_at.is_none_or(|at| at > now) {
                continue;
            }
            let shard = known.id.shard(settings.shards);
            let route = self.routes[shard as usize].as_ref();
            let Some(to) = router.target(shard, route) else {
                known.send_at = Some(now + settings.reroute_delay);
                continue;
            };
            known.send_at = Some(now + settings.resend_after);
            if let Some(call) = known.call(*attempt, now) {
                effects.push(LedgerEffect::Call { to, call });
            }
        }
    }

    fn expire(
        &mut self,
        now: Instant,
        wall_ms: u64,
        settings: &LedgerSettings,
        effects: &mut Vec<LedgerEffect>,
    ) {
        self.attempts.retain(|_, known| {
            let is_ending = matches!(
                known.stage,
                AttemptStage::Finishing { .. } | AttemptStage::Releasing
            );
            !is_ending || known.deadline > now
        });
        for (attempt, known) in &mut self.attempts {
            let AttemptStage::Seeking { waiting } = known.stage else {
                continue;
            };
            if known.deadline > now {
                continue;
            }
            let (reason, outcome) = known.verdict(waiting, wall_ms, settings);
            effects.push(LedgerEffect::Refuse {
                attempt: *attempt,
                reason,
                outcome,
            });
            known.stage = AttemptStage::Releasing;
            known.send_at = Some(now);
            known.deadline = now + settings.abandon_after;
        }
    }
}

impl ClientAttempt {
    fn call(&self, attempt: AttemptId, now: Instant) -> Option<ClaimCall> {
        let id = self.id;
        match &self.stage {
            AttemptStage::Held => None,
            AttemptStage::Seeking { .. } => Some(ClaimCall::Claim {
                attempt,
                id,
                time_ms: self.time_ms,
                fingerprint: self.fingerprint,
                wait_ms: self.deadline.saturating_duration_since(now).as_millis() as u64,
            }),
            AttemptStage::Finishing { answer } => Some(ClaimCall::Finish {
                attempt,
                id,
                answer: answer.clone(),
            }),
            AttemptStage::Releasing => Some(ClaimCall::Release { attempt, id }),
        }
    }

    /// What is said of an attempt that got no claim in time; nothing of it was sent.
    fn verdict(
        &self,
        waiting: bool,
        wall_ms: u64,
        settings: &LedgerSettings,
    ) -> (RefusalReason, RequestOutcome) {
        if waiting {
            return (RefusalReason::KeyPending, RequestOutcome::Unknown);
        }
        let age_ms = wall_ms.saturating_sub(self.time_ms);
        let is_first = u128::from(age_ms) <= settings.first_try_age.as_millis();
        let outcome = if is_first {
            RequestOutcome::NotRun
        } else {
            RequestOutcome::Unknown
        };
        (RefusalReason::PlatformUnavailable, outcome)
    }
}
