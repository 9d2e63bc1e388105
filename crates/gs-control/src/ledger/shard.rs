//! One shard as an entry sees it: watched, or owned.

use std::time::Instant;

use gs_protocol::claims::{ClaimCall, ClaimReply};
use gs_protocol::ids::{AttemptId, EntryIdentity, ObjectVersion};
use gs_protocol::objects::shard_key;

use super::context::ShardContext;
use super::messages::{LedgerEffect, OperationNumber, StoreReply};
use super::owner::{OwnedShard, OwnerOutcome};
use super::record::{ShardHead, decode};

/// A head that was read, and since when it has not changed.
#[derive(Debug)]
struct SeenHead {
    version: ObjectVersion,
    owner: Option<EntryIdentity>,
    first_at: Instant,
    last_at: Instant,
}

/// A shard that another entry owns, or nobody.
#[derive(Debug)]
struct ShardWatch {
    seen: Option<SeenHead>,
    reading: Option<OperationNumber>,
    read_at: Instant,
}

#[derive(Debug)]
enum ShardRole {
    Watched(ShardWatch),
    Owned(Box<OwnedShard>),
}

/// One shard.
#[derive(Debug)]
pub(super) struct ShardSlot {
    role: ShardRole,
    preferred: Option<EntryIdentity>,
    preferred_since: Instant,
    standby: bool,
}

impl ShardWatch {
    fn new(now: Instant) -> Self {
        Self {
            seen: None,
            reading: None,
            read_at: now,
        }
    }

    /// Notes a head and says whether its owner may be replaced.
    fn note(&mut self, context: &ShardContext, version: ObjectVersion, head: &ShardHead) -> bool {
        let settings = context.settings;
        let now = context.now;
        let gap = settings.lease;
        let same = self.seen.take().filter(|seen| {
            seen.version == version && now.saturating_duration_since(seen.last_at) < gap
        });
        let first_at = same.map_or(now, |seen| seen.first_at);
        let owner = head.owner.clone();
        self.seen = Some(SeenHead {
            version,
            owner,
            first_at,
            last_at: now,
        });
        let Some(owner) = &head.owner else {
            return true;
        };
        let unchanged = now.saturating_duration_since(first_at);
        owner.entry == settings.identity.entry
            || unchanged >= settings.lease + settings.lease_margin
    }
}

impl ShardSlot {
    pub fn new(now: Instant) -> Self {
        Self {
            role: ShardRole::Watched(ShardWatch::new(now)),
            preferred: None,
            preferred_since: now,
            standby: false,
        }
    }

    pub fn owned(&self) -> Option<&OwnedShard> {
        match &self.role {
            ShardRole::Owned(owned) => Some(owned),
            ShardRole::Watched(_) => None,
        }
    }

    pub fn preferred(&self) -> Option<&EntryIdentity> {
        self.preferred.as_ref()
    }

    /// Sets the entry that should own the shard, and whether this one is the next in line.
    pub fn prefer(&mut self, now: Instant, preferred: Option<&EntryIdentity>, standby: bool) {
        self.standby = standby;
        if self.preferred.as_ref() == preferred {
            return;
        }
        self.preferred = preferred.cloned();
        self.preferred_since = now;
        self.look_now(now);
    }

    /// Reads the head at the next turn.
    pub fn look_now(&mut self, now: Instant) {
        if let ShardRole::Watched(watch) = &mut self.role {
            watch.read_at = now;
        }
    }

    /// Hands the shard over.
    pub fn vacate(&mut self, now: Instant) {
        if let ShardRole::Owned(owned) = &mut self.role {
            owned.vacate(now);
        }
    }

    /// Takes a call of an entry.
    pub fn call(&mut self, context: &mut ShardContext, from: &EntryIdentity, call: ClaimCall) {
        match &mut self.role {
            ShardRole::Owned(owned) => owned.call(context, from, call),
            ShardRole::Watched(watch) => {
                let Some(attempt) = attempt_of(&call) else {
                    watch.read_at = context.now;
                    return;
                };
                let owner = watch.seen.as_ref().and_then(|seen| seen.owner.clone());
                context.reply(from, ClaimReply::NotOwner { attempt, owner });
            }
        }
    }

    /// Takes the end of a call of the platform's service.
    pub fn stored(
        &mut self,
        context: &mut ShardContext,
        operation: OperationNumber,
        reply: &StoreReply,
    ) {
        match &mut self.role {
            ShardRole::Owned(owned) => {
                if let OwnerOutcome::Lost(owner) = owned.stored(context, operation, reply) {
                    self.lose(context, owner.as_ref());
                }
            }
            ShardRole::Watched(watch) if watch.reading == Some(operation) => {
                watch.reading = None;
                let interval = context.settings.observe_interval;
                watch.read_at = context.jittered(interval);
                self.looked(context, reply);
            }
            ShardRole::Watched(_) => {}
        }
    }

    fn looked(&mut self, context: &mut ShardContext, reply: &StoreReply) {
        let (StoreReply::Read(found), ShardRole::Watched(watch)) = (reply, &mut self.role) else {
            return;
        };
        let found = match found {
            None => None,
            Some((version, value)) => match decode::<ShardHead>(value) {
                Ok(head) if head.shards == context.settings.shards => Some((*version, head)),
                _ => {
                    log::error!(target: "ledger", shard = context.shard;
                        "the head is malformed or has another number of shards");
                    return;
                }
            },
        };
        let is_free = match &found {
            Some((version, head)) => watch.note(context, *version, head),
            None => true,
        };
        if is_free && self.preferred.as_ref() == Some(&context.settings.identity) {
            let owned = OwnedShard::take(context.now, found, context.settings);
            self.role = ShardRole::Owned(Box::new(owned));
        }
    }

    fn lose(&mut self, context: &mut ShardContext, owner: Option<&EntryIdentity>) {
        log::info!(target: "ledger", shard = context.shard; "the shard is given up");
        let watch = ShardRole::Watched(ShardWatch::new(context.now));
        if let ShardRole::Owned(owned) = std::mem::replace(&mut self.role, watch) {
            owned.close(context, owner);
        }
        if let Some(to) = self
            .preferred
            .clone()
            .filter(|to| *to != context.settings.identity)
        {
            let call = ClaimCall::Vacated {
                shard: context.shard,
            };
            context.effects.push(LedgerEffect::Call { to, call });
        }
    }

    /// Starts what is due.
    pub fn pump(&mut self, context: &mut ShardContext) {
        let is_preferred = self.preferred.as_ref() == Some(&context.settings.identity);
        match &mut self.role {
            ShardRole::Owned(owned) => {
                let since = context.now.saturating_duration_since(self.preferred_since);
                let handover = !is_preferred
                    && self.preferred.is_some()
                    && since >= context.settings.rebalance_after;
                if handover && owned.is_proven() {
                    owned.vacate(context.now);
                }
                owned.pump(context);
            }
            ShardRole::Watched(watch) => {
                let is_due = watch.reading.is_none() && watch.read_at <= context.now;
                if is_due && (is_preferred || self.standby) {
                    let key = shard_key(&context.settings.environment, context.shard);
                    watch.reading = Some(context.read(key));
                }
            }
        }
    }

    /// Ends open claims whose holder is gone.
    pub fn sweep(&mut self, context: &mut ShardContext, is_gone: impl Fn(&EntryIdentity) -> bool) {
        if let ShardRole::Owned(owned) = &mut self.role {
            owned.sweep(context, is_gone);
        }
    }
}

/// The attempt that a call is for.
fn attempt_of(call: &ClaimCall) -> Option<AttemptId> {
    match call {
        ClaimCall::Claim { attempt, .. }
        | ClaimCall::Finish { attempt, .. }
        | ClaimCall::Release { attempt, .. } => Some(*attempt),
        ClaimCall::Vacated { .. } => None,
    }
}
