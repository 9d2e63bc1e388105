//! The attempts of this entry's callers, and the calls that they make to the owners of shards.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_protocol::claims::{ClaimCall, ClaimFingerprint, ClaimId, ClaimReply, StoredAnswer};
use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName};
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

use super::messages::{ClaimRequest, LedgerEffect};
use super::settings::LedgerSettings;
use super::shard::ShardState;

/// The stage of an attempt.
#[derive(Debug)]
enum AttemptStage {
    /// The claim is requested; the request has not been sent to a backend server.
    Claiming {
        /// Whether another attempt under the key is known to be running.
        key_in_use: bool,
    },
    /// The claim is granted; the request may be running.
    Running,
    /// The attempt has ended; the owner must still write that.
    Finishing { answer: Option<StoredAnswer> },
    /// The attempt did not run and will not; the owner must still write that.
    Releasing,
}

impl AttemptStage {
    fn is_ending(&self) -> bool {
        matches!(self, Self::Finishing { .. } | Self::Releasing)
    }
}

/// The state of one attempt.
#[derive(Debug)]
struct AttemptState {
    id: ClaimId,
    /// The time in the key, in milliseconds since 1970.
    time_ms: u64,
    fingerprint: ClaimFingerprint,
    /// The caller's deadline; once the attempt is ending, the time up to which its end is resent.
    deadline: Instant,
    stage: AttemptStage,
    /// When the call is sent next; none while the attempt runs.
    next_send_at: Option<Instant>,
    /// Replies so far from entries that don't own the shard.
    reroutes: u32,
}

/// All attempts of this entry, and the last known owner of each shard.
#[derive(Debug)]
pub(super) struct ClaimClient {
    attempts: BTreeMap<AttemptId, AttemptState>,
    /// The last known owner of each shard, by shard index.
    known_owners: Vec<Option<EntryIdentity>>,
}

/// The live entries by name.
pub(super) type EntryMembers = BTreeMap<EntryName, EntryIdentity>;

/// Whether this incarnation of the entry is live.
fn is_live(members: &EntryMembers, entry: &EntryIdentity) -> bool {
    members.get(&entry.entry) == Some(entry)
}

/// Selects the entry to call for a shard.
pub(super) struct ShardRouter<'a> {
    pub members: &'a EntryMembers,
    pub shards: &'a [ShardState],
}

impl ShardRouter<'_> {
    /// Returns the known owner if it is live, else the preferred owner of the shard.
    fn select_entry(
        &self,
        shard: u32,
        known_owner: Option<&EntryIdentity>,
    ) -> Option<EntryIdentity> {
        let known_owner = known_owner.filter(|owner| is_live(self.members, owner));
        known_owner
            .or_else(|| self.shards.get(shard as usize)?.preferred())
            .cloned()
    }
}

/// Number of reroutes that an attempt follows without delay.
const MAX_IMMEDIATE_REROUTES: u32 = 2;

impl ClaimClient {
    pub fn new(shards: u32) -> Self {
        Self {
            attempts: BTreeMap::new(),
            known_owners: vec![None; shards as usize],
        }
    }

    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Starts an attempt for a caller's request, or refuses it if its key carries no time.
    pub fn start_attempt(
        &mut self,
        now: Instant,
        request: &ClaimRequest,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let Some(time_ms) = request.key.time_ms() else {
            let reason = RefusalReason::KeyInvalid;
            let outcome = RequestOutcome::NotRun;
            effects.push(LedgerEffect::Refuse {
                attempt: request.attempt,
                reason,
                outcome,
            });
            return;
        };
        let attempt = AttemptState {
            id: ClaimId::derive(&request.caller, request.key),
            time_ms,
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            stage: AttemptStage::Claiming { key_in_use: false },
            next_send_at: Some(now),
            reroutes: 0,
        };
        self.attempts.insert(request.attempt, attempt);
    }

    /// Reports the end of an attempt to the owner; an answer that is too large is left out.
    pub fn finish_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        answer: Option<StoredAnswer>,
        settings: &LedgerSettings,
    ) {
        let limit = settings.answer_limit_bytes;
        let answer = answer.filter(|answer| answer.body.len() <= limit);
        self.end_attempt(now, attempt, AttemptStage::Finishing { answer }, settings);
    }

    /// Reports to the owner that an attempt did not run and will not.
    pub fn release_attempt(&mut self, now: Instant, attempt: AttemptId, settings: &LedgerSettings) {
        self.end_attempt(now, attempt, AttemptStage::Releasing, settings);
    }

    /// Moves an attempt that has not ended to an ending stage and sends its call at once.
    fn end_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        stage: AttemptStage,
        settings: &LedgerSettings,
    ) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if matches!(
            state.stage,
            AttemptStage::Running | AttemptStage::Claiming { .. }
        ) {
            state.stage = stage;
            state.next_send_at = Some(now);
            state.deadline = now + settings.abandon_after;
        }
    }

    /// Handles a reply from a shard's owner, or from an entry that does not own it.
    pub fn handle_reply(
        &mut self,
        now: Instant,
        reply: ClaimReply,
        settings: &LedgerSettings,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let attempt = reply.attempt();
        // A grant for an unknown attempt may be a late copy for one that ran, so it must not lead
        // to a release.
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let is_claiming = matches!(state.stage, AttemptStage::Claiming { .. });
        match reply {
            ClaimReply::NotOwner { owner, .. } => {
                self.handle_not_owner(now, attempt, owner, settings);
            }
            ClaimReply::Closed { .. } if state.stage.is_ending() => {
                self.attempts.remove(&attempt);
            }
            ClaimReply::Granted { .. } if is_claiming => {
                state.stage = AttemptStage::Running;
                state.next_send_at = None;
                effects.push(LedgerEffect::Grant(attempt));
            }
            ClaimReply::Waiting { .. } if is_claiming => {
                state.stage = AttemptStage::Claiming { key_in_use: true };
                state.next_send_at = Some(now + settings.resend_after);
            }
            ClaimReply::Replayed { answer, .. } if is_claiming => {
                self.attempts.remove(&attempt);
                effects.push(LedgerEffect::Replay { attempt, answer });
            }
            ClaimReply::Refused {
                reason, outcome, ..
            } if is_claiming => {
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

    /// Records the owner from the reply and sends the call again, at once if an owner is known and
    /// the attempt was rerouted less than `MAX_IMMEDIATE_REROUTES` times.
    fn handle_not_owner(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        owner: Option<EntryIdentity>,
        settings: &LedgerSettings,
    ) {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if state.next_send_at.is_none() {
            return;
        }
        let is_immediate = owner.is_some() && state.reroutes < MAX_IMMEDIATE_REROUTES;
        state.reroutes += 1;
        let delay = settings.reroute_delay;
        state.next_send_at = Some(if is_immediate { now } else { now + delay });
        let shard = state.id.shard(settings.shards) as usize;
        self.known_owners[shard] = owner;
    }

    /// Removes known owners that are no longer live. If there were any, the calls of all attempts
    /// are sent again at once.
    pub fn drop_dead_owners(&mut self, now: Instant, members: &EntryMembers) {
        let mut changed = false;
        for known_owner in &mut self.known_owners {
            if known_owner
                .as_ref()
                .is_some_and(|owner| !is_live(members, owner))
            {
                *known_owner = None;
                changed = true;
            }
        }
        if !changed {
            return;
        }
        for state in self.attempts.values_mut() {
            state.next_send_at = state.next_send_at.map(|at| at.min(now));
        }
    }

    /// Expires attempts that are past their deadline and sends the calls that are due.
    pub fn advance(
        &mut self,
        now: Instant,
        wall_ms: u64,
        settings: &LedgerSettings,
        router: &ShardRouter,
        effects: &mut Vec<LedgerEffect>,
    ) {
        self.expire_attempts(now, wall_ms, settings, effects);
        for (attempt, state) in &mut self.attempts {
            if state.next_send_at.is_none_or(|at| at > now) {
                continue;
            }
            let shard = state.id.shard(settings.shards);
            let known_owner = self.known_owners[shard as usize].as_ref();
            let Some(to) = router.select_entry(shard, known_owner) else {
                state.next_send_at = Some(now + settings.reroute_delay);
                continue;
            };
            state.next_send_at = Some(now + settings.resend_after);
            if let Some(call) = state.build_call(*attempt, now) {
                effects.push(LedgerEffect::Call { to, call });
            }
        }
    }

    /// Drops ending attempts that are past their deadline, and refuses and releases those without a
    /// claim.
    fn expire_attempts(
        &mut self,
        now: Instant,
        wall_ms: u64,
        settings: &LedgerSettings,
        effects: &mut Vec<LedgerEffect>,
    ) {
        self.attempts.retain(|_, state| {
            let is_ending = matches!(
                state.stage,
                AttemptStage::Finishing { .. } | AttemptStage::Releasing
            );
            !is_ending || state.deadline > now
        });
        for (attempt, state) in &mut self.attempts {
            let AttemptStage::Claiming { key_in_use } = state.stage else {
                continue;
            };
            if state.deadline > now {
                continue;
            }
            let (reason, outcome) = state.timeout_refusal(key_in_use, wall_ms, settings);
            effects.push(LedgerEffect::Refuse {
                attempt: *attempt,
                reason,
                outcome,
            });
            state.stage = AttemptStage::Releasing;
            state.next_send_at = Some(now);
            state.deadline = now + settings.abandon_after;
        }
    }
}

impl AttemptState {
    /// Builds the call for the attempt's stage; none while it runs.
    fn build_call(&self, attempt: AttemptId, now: Instant) -> Option<ClaimCall> {
        let id = self.id;
        match &self.stage {
            AttemptStage::Running => None,
            AttemptStage::Claiming { .. } => Some(ClaimCall::Claim {
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

    /// Returns reason and outcome for an attempt that got no claim before its deadline. It did not
    /// run itself, but an earlier attempt under its key may have.
    fn timeout_refusal(
        &self,
        key_in_use: bool,
        wall_ms: u64,
        settings: &LedgerSettings,
    ) -> (RefusalReason, RequestOutcome) {
        if key_in_use {
            return (RefusalReason::KeyPending, RequestOutcome::Unknown);
        }
        let age_ms = wall_ms.saturating_sub(self.time_ms);
        let is_first = u128::from(age_ms) <= settings.max_first_attempt_age.as_millis();
        let outcome = if is_first {
            RequestOutcome::NotRun
        } else {
            RequestOutcome::Unknown
        };
        (RefusalReason::PlatformUnavailable, outcome)
    }
}
