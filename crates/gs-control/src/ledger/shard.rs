//! One shard as an entry sees it: watched, or owned.

use std::time::Instant;

use gs_protocol::claims::{ClaimCall, ClaimReply};
use gs_protocol::ids::{AttemptId, EntryIdentity, ObjectVersion};
use gs_protocol::objects::shard_key;

use super::context::ShardContext;
use super::messages::{LedgerEffect, StoreOperationId, StoreReply};
use super::owner::{OwnedShard, OwnerOutcome};
use super::record::{ShardHead, decode};
use super::settings::LedgerSettings;

/// A version of the head, and since when it has not changed.
#[derive(Debug)]
struct SeenVersion {
    version: ObjectVersion,
    first_at: Instant,
    last_at: Instant,
}

/// A shard that another entry owns, or nobody.
#[derive(Debug)]
struct ShardWatch {
    seen: Option<SeenVersion>,
    /// The owner when the head was last read.
    owner: Option<EntryIdentity>,
    owner_at: Option<Instant>,
    reading: Option<StoreOperationId>,
    read_at: Option<Instant>,
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
    fn new(read_at: Option<Instant>) -> Self {
        Self {
            seen: None,
            owner: None,
            owner_at: None,
            reading: None,
            read_at,
        }
    }

    /// Notes the head's version and says whether it has been the same for the lease and its margin.
    fn note(&mut self, now: Instant, version: ObjectVersion, settings: &LedgerSettings) -> bool {
        let same = self.seen.take().filter(|seen| {
            let gap = now.saturating_duration_since(seen.last_at);
            seen.version == version && gap < settings.lease
        });
        let first_at = same.map_or(now, |seen| seen.first_at);
        self.seen = Some(SeenVersion {
            version,
            first_at,
            last_at: now,
        });
        now.saturating_duration_since(first_at) >= settings.lease + settings.lease_margin
    }

    /// Notes a head that was read and says whether its owner may be replaced.
    fn note_head(
        &mut self,
        context: &ShardContext,
        version: ObjectVersion,
        head: &ShardHead,
    ) -> bool {
        let settings = context.settings;
        let is_lapsed = self.note(context.now, version, settings);
        self.owner = head.owner.clone();
        self.owner_at = Some(context.now);
        let own_name = &settings.identity.entry;
        is_lapsed
            || head
                .owner
                .as_ref()
                .is_none_or(|owner| owner.entry == *own_name)
    }

    /// Reads the head again if what is known of its owner is old.
    fn refresh(&mut self, context: &ShardContext) {
        let interval = context.settings.observe_interval;
        let is_old = |at: Instant| context.now.saturating_duration_since(at) >= interval;
        if self.read_at.is_none() && self.owner_at.is_none_or(is_old) {
            self.read_at = Some(context.now);
        }
    }
}

impl ShardSlot {
    pub fn new(now: Instant) -> Self {
        Self {
            role: ShardRole::Watched(ShardWatch::new(Some(now))),
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
            watch.read_at = Some(now);
        }
    }

    /// Whether the version of the head is of interest.
    pub fn wants_probe(&self, own: &EntryIdentity) -> bool {
        let is_watched = matches!(self.role, ShardRole::Watched(_));
        is_watched && (self.standby || self.preferred.as_ref() == Some(own))
    }

    /// Takes in the listed version of the head; none if it does not exist.
    pub fn probed(&mut self, context: &ShardContext, version: Option<ObjectVersion>) {
        let ShardRole::Watched(watch) = &mut self.role else {
            return;
        };
        let is_lapsed =
            version.is_none_or(|version| watch.note(context.now, version, context.settings));
        if is_lapsed {
            watch.read_at = Some(context.now);
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
                    watch.read_at = Some(context.now);
                    return;
                };
                watch.refresh(context);
                let owner = watch.owner.clone();
                context.reply(from, ClaimReply::NotOwner { attempt, owner });
            }
        }
    }

    /// Takes the end of a call of the platform's service.
    pub fn stored(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
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
                self.looked(context, reply);
            }
            ShardRole::Watched(_) => {}
        }
    }

    fn looked(&mut self, context: &mut ShardContext, reply: &StoreReply) {
        let ShardRole::Watched(watch) = &mut self.role else {
            return;
        };
        let StoreReply::Read(found) = reply else {
            watch.read_at = Some(context.jittered(context.settings.observe_interval));
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
            Some((version, head)) => watch.note_head(context, *version, head),
            None => true,
        };
        if is_free && self.preferred.as_ref() == Some(&context.settings.identity) {
            let owned = OwnedShard::take(context.now, found, context.settings);
            self.role = ShardRole::Owned(Box::new(owned));
        }
    }

    fn lose(&mut self, context: &mut ShardContext, owner: Option<&EntryIdentity>) {
        log::info!(target: "ledger", shard = context.shard; "the shard is given up");
        let watch = ShardRole::Watched(ShardWatch::new(Some(context.now)));
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
                let is_due = watch.read_at.is_some_and(|at| at <= context.now);
                if is_due && is_preferred && watch.reading.is_none() {
                    watch.read_at = None;
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
