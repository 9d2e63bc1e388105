//! Writes of a shard's head: one at a time, paced by a budget, settled by reading back.

use std::time::{Duration, Instant};

use gs_protocol::claims::ClaimReply;
use gs_protocol::ids::{EntryIdentity, FenceNumber, ObjectVersion};
use gs_protocol::objects::shard_key;

use super::context::ShardContext;
use super::messages::{StoreOperationId, StoreReply};
use super::record::{ShardHead, decode};
use super::settings::LedgerSettings;

/// A reply that is due once a write has taken effect.
pub(super) type DueReply = (EntryIdentity, ClaimReply);

/// What the write in flight waits for.
#[derive(Debug)]
enum FlightStep {
    Writing(StoreOperationId),
    WriteAt(Instant),
    Reading(StoreOperationId),
    ReadAt(Instant),
}

/// A write that is not settled yet. Its bytes never change, so that every copy of it means the same.
#[derive(Debug)]
struct WriteFlight {
    value: Vec<u8>,
    head: FlightMark,
    replies: Vec<DueReply>,
    step: FlightStep,
}

/// What tells a write from all others of the shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct FlightMark {
    pub fence: FenceNumber,
    pub write: u64,
    pub horizon_ms: u64,
    pub vacating: bool,
}

/// What became of a write.
pub(super) enum CommitOutcome {
    /// The call was not for the head.
    Foreign,
    /// It is not settled yet.
    Pending,
    /// It took effect; the replies may be sent.
    Committed(FlightMark, Vec<DueReply>),
    /// Another entry has written the head: this one owns the shard no longer.
    Lost(Option<EntryIdentity>),
}

/// Paces writes: tokens that refill at a rate up to a burst.
#[derive(Debug)]
struct WriteBudget {
    tokens: f64,
    filled_at: Instant,
}

impl WriteBudget {
    fn take(&mut self, now: Instant, settings: &LedgerSettings) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * settings.shard_rate()).min(settings.write_burst);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The write path of one owned shard.
#[derive(Debug)]
pub(super) struct CommitPath {
    version: Option<ObjectVersion>,
    flight: Option<WriteFlight>,
    budget: WriteBudget,
    backoff: Duration,
    written_at: Instant,
    wanted_at: Option<Instant>,
    writes: u64,
}

impl CommitPath {
    /// The path of a shard whose head was read at a version, or does not exist.
    pub fn new(now: Instant, version: Option<ObjectVersion>, settings: &LedgerSettings) -> Self {
        Self {
            version,
            flight: None,
            budget: WriteBudget {
                tokens: settings.write_burst,
                filled_at: now,
            },
            backoff: settings.backoff,
            written_at: now,
            wanted_at: Some(now),
            writes: 0,
        }
    }

    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Asks for a write at a time, or earlier.
    pub fn want_by(&mut self, at: Instant) {
        self.wanted_at = Some(self.wanted_at.map_or(at, |wanted| wanted.min(at)));
    }

    /// Whether a new write is due; takes it from the budget.
    pub fn take_turn(&mut self, now: Instant, settings: &LedgerSettings) -> bool {
        let renew_at = self.written_at + settings.renew_interval();
        let due_at = self
            .wanted_at
            .map_or(renew_at, |wanted| wanted.min(renew_at));
        self.flight.is_none() && due_at <= now && self.budget.take(now, settings)
    }

    /// Takes a turn of the budget for another object of the shard.
    pub fn take_extra(&mut self, now: Instant, settings: &LedgerSettings) -> bool {
        self.budget.take(now, settings)
    }

    /// Starts a write.
    pub fn start(
        &mut self,
        context: &mut ShardContext,
        head: FlightMark,
        value: Vec<u8>,
        replies: Vec<DueReply>,
    ) {
        self.wanted_at = None;
        self.writes += 1;
        let key = shard_key(&context.settings.environment, context.shard);
        let operation = context.write(key, value.clone(), self.version);
        let step = FlightStep::Writing(operation);
        self.flight = Some(WriteFlight {
            value,
            head,
            replies,
            step,
        });
    }

    /// Starts the next try of a write in flight if it is due.
    pub fn pump(&mut self, context: &mut ShardContext) {
        let Some(flight) = &mut self.flight else {
            return;
        };
        let key = shard_key(&context.settings.environment, context.shard);
        match flight.step {
            FlightStep::WriteAt(at) if at <= context.now => {
                self.writes += 1;
                let operation = context.write(key, flight.value.clone(), self.version);
                flight.step = FlightStep::Writing(operation);
            }
            FlightStep::ReadAt(at) if at <= context.now => {
                flight.step = FlightStep::Reading(context.read(key));
            }
            _ => {}
        }
    }

    /// Whether a reply is due with the write in flight.
    pub fn has_reply(&self, wanted: &DueReply) -> bool {
        self.flight
            .as_ref()
            .is_some_and(|flight| flight.replies.contains(wanted))
    }

    /// Takes the end of a call of the platform's service.
    pub fn stored(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) -> CommitOutcome {
        let Some(flight) = self.flight.take() else {
            return CommitOutcome::Foreign;
        };
        match flight.step {
            FlightStep::Writing(running) if running == operation => {
                self.write_ended(context, flight, reply)
            }
            FlightStep::Reading(running) if running == operation => {
                self.read_ended(context, flight, reply)
            }
            _ => {
                self.flight = Some(flight);
                CommitOutcome::Foreign
            }
        }
    }

    fn write_ended(
        &mut self,
        context: &mut ShardContext,
        mut flight: WriteFlight,
        reply: &StoreReply,
    ) -> CommitOutcome {
        match reply {
            StoreReply::Written(version) => return self.commit(context.now, flight, *version),
            StoreReply::Refused => flight.step = FlightStep::WriteAt(self.back_off(context)),
            // A conflict may come from an earlier copy of this write.
            StoreReply::Conflict => flight.step = FlightStep::ReadAt(context.now),
            _ => flight.step = FlightStep::ReadAt(self.back_off(context)),
        }
        self.flight = Some(flight);
        CommitOutcome::Pending
    }

    fn read_ended(
        &mut self,
        context: &mut ShardContext,
        mut flight: WriteFlight,
        reply: &StoreReply,
    ) -> CommitOutcome {
        let StoreReply::Read(found) = reply else {
            flight.step = FlightStep::ReadAt(self.back_off(context));
            self.flight = Some(flight);
            return CommitOutcome::Pending;
        };
        let version = found.as_ref().map(|(version, _)| *version);
        if version == self.version {
            flight.step = FlightStep::WriteAt(self.back_off(context));
            self.flight = Some(flight);
            return CommitOutcome::Pending;
        }
        let head = found
            .as_ref()
            .and_then(|(_, value)| decode::<ShardHead>(value).ok());
        match (version, head) {
            (Some(version), Some(head)) if flight.wrote(&head, &context.settings.identity) => {
                self.commit(context.now, flight, version)
            }
            (_, head) => {
                self.flight = Some(flight);
                CommitOutcome::Lost(head.and_then(|head| head.owner))
            }
        }
    }

    fn commit(
        &mut self,
        now: Instant,
        flight: WriteFlight,
        version: ObjectVersion,
    ) -> CommitOutcome {
        self.version = Some(version);
        self.written_at = now;
        self.backoff = Duration::ZERO;
        CommitOutcome::Committed(flight.head, flight.replies)
    }

    fn back_off(&mut self, context: &mut ShardContext) -> Instant {
        let settings = context.settings;
        self.backoff = (self.backoff * 2).clamp(settings.backoff, settings.backoff_limit);
        context.jittered(self.backoff)
    }

    /// Gives up the path and returns the replies that were due with the write in flight.
    pub fn close(self) -> Vec<DueReply> {
        self.flight.map(|flight| flight.replies).unwrap_or_default()
    }
}

impl WriteFlight {
    /// Whether the head that was read back is this write.
    fn wrote(&self, head: &ShardHead, identity: &EntryIdentity) -> bool {
        let owner = if self.head.vacating {
            None
        } else {
            Some(identity)
        };
        head.owner.as_ref() == owner
            && head.fence == self.head.fence
            && head.write == self.head.write
    }
}
