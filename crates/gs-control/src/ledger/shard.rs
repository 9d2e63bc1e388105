//! The state of one shard at an entry: owned, or watched while another entry owns it.

use std::time::Instant;

use gs_protocol::claims::{ClaimCall, ClaimReply};
use gs_protocol::ids::{AttemptId, EntryIdentity, ObjectVersion};
use gs_protocol::objects::shard_key;

use super::context::ShardContext;
use super::messages::{LedgerEffect, StoreOperationId, StoreReply};
use super::owner::{OwnedShard, OwnershipOutcome};
use super::record::{ShardHead, decode};
use super::settings::LedgerSettings;

/// The last observed version of the head, and the time span in which it has not changed.
#[derive(Debug)]
struct ObservedVersion {
    version: ObjectVersion,
    first_observed_at: Instant,
    last_observed_at: Instant,
}

/// A shard that another entry owns, or that has no owner.
#[derive(Debug)]
struct WatchedShard {
    observed: Option<ObservedVersion>,
    /// The owner at the last read of the head.
    owner: Option<EntryIdentity>,
    owner_read_at: Option<Instant>,
    /// The read of the head that is in flight.
    read_operation: Option<StoreOperationId>,
    /// When the head may be read next; none if no read is scheduled. Only the preferred owner reads
    /// it.
    next_read_at: Option<Instant>,
}

/// The role of this entry for a shard.
#[derive(Debug)]
enum ShardRole {
    Watched(WatchedShard),
    Owned(Box<OwnedShard>),
}

/// The state of one shard, and which entry should own it.
#[derive(Debug)]
pub(super) struct ShardState {
    role: ShardRole,
    /// The entry that should own the shard.
    preferred: Option<EntryIdentity>,
    preferred_since: Instant,
    /// Whether this entry is the next choice after the preferred one.
    standby: bool,
}

impl WatchedShard {
    fn new(next_read_at: Option<Instant>) -> Self {
        Self {
            observed: None,
            owner: None,
            owner_read_at: None,
            read_operation: None,
            next_read_at,
        }
    }

    /// Records the head's version and returns whether the owner's lease has expired: the version
    /// has been the same for the lease and its margin, by observations less than a lease apart.
    fn observe_version(
        &mut self,
        now: Instant,
        version: ObjectVersion,
        settings: &LedgerSettings,
    ) -> bool {
        let same = self.observed.take().filter(|observed| {
            let gap = now.saturating_duration_since(observed.last_observed_at);
            observed.version == version && gap < settings.lease
        });
        let first_observed_at = same.map_or(now, |observed| observed.first_observed_at);
        self.observed = Some(ObservedVersion {
            version,
            first_observed_at,
            last_observed_at: now,
        });
        now.saturating_duration_since(first_observed_at) >= settings.lease + settings.lease_margin
    }

    /// Records a head that was read and returns whether this entry may take the shard over: the
    /// lease has expired, the head has no owner, or its owner is an incarnation of this entry.
    fn observe_head(
        &mut self,
        context: &ShardContext,
        version: ObjectVersion,
        head: &ShardHead,
    ) -> bool {
        let settings = context.settings;
        let is_lease_expired = self.observe_version(context.now, version, settings);
        self.owner = head.owner.clone();
        self.owner_read_at = Some(context.now);
        let own_name = &settings.identity.entry;
        is_lease_expired
            || head
                .owner
                .as_ref()
                .is_none_or(|owner| owner.entry == *own_name)
    }

    /// Schedules a read of the head if its last read is older than the poll interval.
    fn refresh_owner(&mut self, context: &ShardContext) {
        let interval = context.settings.head_poll_interval;
        let is_old = |at: Instant| context.now.saturating_duration_since(at) >= interval;
        if self.next_read_at.is_none() && self.owner_read_at.is_none_or(is_old) {
            self.next_read_at = Some(context.now);
        }
    }
}

impl ShardState {
    pub fn new(now: Instant) -> Self {
        Self {
            role: ShardRole::Watched(WatchedShard::new(Some(now))),
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

    /// Sets the entry that should own the shard, and whether this entry is the next choice.
    pub fn set_preferred(
        &mut self,
        now: Instant,
        preferred: Option<&EntryIdentity>,
        standby: bool,
    ) {
        self.standby = standby;
        if self.preferred.as_ref() == preferred {
            return;
        }
        self.preferred = preferred.cloned();
        self.preferred_since = now;
        self.schedule_read(now);
    }

    /// Schedules an immediate read of the head, unless this entry owns the shard.
    pub fn schedule_read(&mut self, now: Instant) {
        if let ShardRole::Watched(watched) = &mut self.role {
            watched.next_read_at = Some(now);
        }
    }

    /// Whether this entry needs the version of the head, as it should take the shard over now or
    /// next.
    pub fn needs_listing(&self, own: &EntryIdentity) -> bool {
        let is_watched = matches!(self.role, ShardRole::Watched(_));
        is_watched && (self.standby || self.preferred.as_ref() == Some(own))
    }

    /// Records the version of the head in a listing; none if there is no head. Schedules a read of
    /// the head if its owner's lease has expired.
    pub fn observe_listing(&mut self, context: &ShardContext, version: Option<ObjectVersion>) {
        let ShardRole::Watched(watched) = &mut self.role else {
            return;
        };
        let is_lease_expired = version
            .is_none_or(|version| watched.observe_version(context.now, version, context.settings));
        if is_lease_expired {
            watched.next_read_at = Some(context.now);
        }
    }

    /// Schedules the handover of the shard if this entry owns it.
    pub fn vacate(&mut self, now: Instant) {
        if let ShardRole::Owned(owned) = &mut self.role {
            owned.vacate(now);
        }
    }

    /// Handles a call from an entry; if this entry does not own the shard, it replies with the
    /// known owner.
    pub fn handle_call(
        &mut self,
        context: &mut ShardContext,
        from: &EntryIdentity,
        call: ClaimCall,
    ) {
        match &mut self.role {
            ShardRole::Owned(owned) => owned.handle_call(context, from, call),
            ShardRole::Watched(watched) => {
                let Some(attempt) = call_attempt(&call) else {
                    watched.next_read_at = Some(context.now);
                    return;
                };
                watched.refresh_owner(context);
                let owner = watched.owner.clone();
                context.reply(from, ClaimReply::NotOwner { attempt, owner });
            }
        }
    }

    /// Handles the result of a call to the platform's object store.
    pub fn handle_store_reply(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) {
        match &mut self.role {
            ShardRole::Owned(owned) => {
                if let OwnershipOutcome::Lost(owner) =
                    owned.handle_store_reply(context, operation, reply)
                {
                    self.drop_ownership(context, owner.as_ref());
                }
            }
            ShardRole::Watched(watched) if watched.read_operation == Some(operation) => {
                watched.read_operation = None;
                self.handle_head_read(context, reply);
            }
            ShardRole::Watched(_) => {}
        }
    }

    /// Records a head that was read, and takes the shard over if this entry may and should own it.
    fn handle_head_read(&mut self, context: &mut ShardContext, reply: &StoreReply) {
        let ShardRole::Watched(watched) = &mut self.role else {
            return;
        };
        let StoreReply::Read(found) = reply else {
            watched.next_read_at =
                Some(context.jittered_instant(context.settings.head_poll_interval));
            return;
        };
        let found = match found {
            None => None,
            Some((version, value)) => match decode::<ShardHead>(value) {
                Ok(head) if head.shards == context.settings.shards => Some((*version, head)),
                _ => {
                    log::error!(target: "ledger", shard = context.shard;
                        "shard head is malformed or was written with a different number of shards");
                    return;
                }
            },
        };
        let is_replaceable = match &found {
            Some((version, head)) => watched.observe_head(context, *version, head),
            None => true,
        };
        if is_replaceable && self.preferred.as_ref() == Some(&context.settings.identity) {
            let owned = OwnedShard::take_over(context.now, found, context.settings);
            self.role = ShardRole::Owned(Box::new(owned));
        }
    }

    /// Ends the ownership: redirects waiting attempts and notifies the preferred owner, which then
    /// reads the head.
    fn drop_ownership(&mut self, context: &mut ShardContext, owner: Option<&EntryIdentity>) {
        log::info!(target: "ledger", shard = context.shard;
            "ownership of the shard ended by handover or takeover");
        let watched = ShardRole::Watched(WatchedShard::new(Some(context.now)));
        if let ShardRole::Owned(owned) = std::mem::replace(&mut self.role, watched) {
            owned.redirect_attempts(context, owner);
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

    /// Starts the operations that are due, and the handover to the preferred owner after
    /// `rebalance_after`.
    pub fn advance(&mut self, context: &mut ShardContext) {
        let is_preferred = self.preferred.as_ref() == Some(&context.settings.identity);
        match &mut self.role {
            ShardRole::Owned(owned) => {
                let since = context.now.saturating_duration_since(self.preferred_since);
                let handover = !is_preferred
                    && self.preferred.is_some()
                    && since >= context.settings.rebalance_after;
                if handover && owned.is_confirmed() {
                    owned.vacate(context.now);
                }
                owned.advance(context);
            }
            ShardRole::Watched(watched) => {
                let is_due = watched.next_read_at.is_some_and(|at| at <= context.now);
                if is_due && is_preferred && watched.read_operation.is_none() {
                    watched.next_read_at = None;
                    let key = shard_key(&context.settings.environment, context.shard);
                    watched.read_operation = Some(context.read(key));
                }
            }
        }
    }

    /// Ends abandoned claims if this entry owns the shard.
    pub fn sweep_claims(
        &mut self,
        context: &mut ShardContext,
        has_restarted: impl Fn(&EntryIdentity) -> bool,
    ) {
        if let ShardRole::Owned(owned) = &mut self.role {
            owned.sweep_claims(context, has_restarted);
        }
    }
}

/// Returns the attempt that a call is for; none for a handover notice.
fn call_attempt(call: &ClaimCall) -> Option<AttemptId> {
    match call {
        ClaimCall::Claim { attempt, .. }
        | ClaimCall::Finish { attempt, .. }
        | ClaimCall::Release { attempt, .. } => Some(*attempt),
        ClaimCall::Vacated { .. } => None,
    }
}
