//! Writes of a shard's head: one at a time, rate-limited, and read back if their result is unknown.

use std::time::{Duration, Instant};

use gs_protocol::claims::ClaimReply;
use gs_protocol::ids::{EntryIdentity, FenceNumber, ObjectVersion};
use gs_protocol::objects::shard_key;

use super::context::ShardContext;
use super::messages::{StoreOperationId, StoreReply};
use super::record::{ShardHead, decode};
use super::settings::LedgerSettings;

/// A reply to send to an entry after a write of the head has succeeded.
pub(super) type PendingReply = (EntryIdentity, ClaimReply);

/// The step that a write in flight is at.
#[derive(Debug)]
enum WriteStep {
    /// The write was sent.
    Writing(StoreOperationId),
    /// The write had no effect and is retried at this time.
    RetryWriteAt(Instant),
    /// The head is being read to see whether the write took effect.
    ReadingBack(StoreOperationId),
    /// The head is read back at this time.
    ReadBackAt(Instant),
}

/// A write whose result is not known yet. Retries send the same bytes, so it doesn't matter which
/// copy takes effect.
#[derive(Debug)]
struct InFlightWrite {
    value: Vec<u8>,
    metadata: WriteMetadata,
    replies: Vec<PendingReply>,
    step: WriteStep,
}

/// Metadata of a write. Fencing number and write number identify it among all writes of the shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct WriteMetadata {
    pub fence: FenceNumber,
    pub write_number: u64,
    pub horizon_ms: u64,
    pub vacating: bool,
}

/// The result of handling a reply of the object store.
pub(super) enum HeadWriteOutcome {
    /// The operation was not started by the head writer.
    UnknownOperation,
    /// The result of the write is not known yet.
    Pending,
    /// The write succeeded; its replies may be sent.
    Committed(WriteMetadata, Vec<PendingReply>),
    /// Another entry has written the head, so this entry no longer owns the shard. Holds the new
    /// owner if known.
    Lost(Option<EntryIdentity>),
}

/// A token bucket that limits the write rate: it refills at `shard_writes_per_second` up to
/// `write_burst`.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Takes one token if there is one.
    fn try_acquire(&mut self, now: Instant, settings: &LedgerSettings) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens =
            (self.tokens + elapsed * settings.shard_writes_per_second()).min(settings.write_burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Writes the head of one owned shard.
#[derive(Debug)]
pub(super) struct HeadWriter {
    /// The version of the head when it was read or last written; none if there is no head.
    version: Option<ObjectVersion>,
    in_flight: Option<InFlightWrite>,
    bucket: TokenBucket,
    backoff: Duration,
    /// When the head was last written by this entry; before that, when this writer was created.
    written_at: Instant,
    /// When the next write is due, apart from lease renewal.
    scheduled_at: Option<Instant>,
    /// Writes that were started, retries included.
    writes: u64,
}

impl HeadWriter {
    /// Creates the writer for a head that was read at this version, or that does not exist.
    pub fn new(now: Instant, version: Option<ObjectVersion>, settings: &LedgerSettings) -> Self {
        Self {
            version,
            in_flight: None,
            bucket: TokenBucket {
                tokens: settings.write_burst,
                refilled_at: now,
            },
            backoff: settings.initial_backoff,
            written_at: now,
            scheduled_at: Some(now),
            writes: 0,
        }
    }

    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Schedules a write at this time, unless one is scheduled earlier.
    pub fn schedule_by(&mut self, at: Instant) {
        self.scheduled_at = Some(self.scheduled_at.map_or(at, |scheduled| scheduled.min(at)));
    }

    /// Returns whether a new write of the head is due and within the rate limit, and takes a token
    /// for it.
    pub fn try_acquire_head_write(&mut self, now: Instant, settings: &LedgerSettings) -> bool {
        let renew_at = self.written_at + settings.lease_renewal_interval();
        let due_at = self
            .scheduled_at
            .map_or(renew_at, |scheduled| scheduled.min(renew_at));
        self.in_flight.is_none() && due_at <= now && self.bucket.try_acquire(now, settings)
    }

    /// Returns whether the rate limit allows the write of a segment, and takes a token for it.
    pub fn try_acquire_segment_write(&mut self, now: Instant, settings: &LedgerSettings) -> bool {
        self.bucket.try_acquire(now, settings)
    }

    /// Starts a write of the head; the replies are returned once it has succeeded.
    pub fn start_write(
        &mut self,
        context: &mut ShardContext,
        metadata: WriteMetadata,
        value: Vec<u8>,
        replies: Vec<PendingReply>,
    ) {
        self.scheduled_at = None;
        self.writes += 1;
        let key = shard_key(&context.settings.environment, context.shard);
        let operation = context.write(key, value.clone(), self.version);
        let step = WriteStep::Writing(operation);
        self.in_flight = Some(InFlightWrite {
            value,
            metadata,
            replies,
            step,
        });
    }

    /// Starts the retry or read-back of the write in flight if it is due.
    pub fn advance(&mut self, context: &mut ShardContext) {
        let Some(write) = &mut self.in_flight else {
            return;
        };
        let key = shard_key(&context.settings.environment, context.shard);
        match write.step {
            WriteStep::RetryWriteAt(at) if at <= context.now => {
                self.writes += 1;
                let operation = context.write(key, write.value.clone(), self.version);
                write.step = WriteStep::Writing(operation);
            }
            WriteStep::ReadBackAt(at) if at <= context.now => {
                write.step = WriteStep::ReadingBack(context.read(key));
            }
            _ => {}
        }
    }

    /// Whether the reply is sent after the write in flight.
    pub fn has_pending_reply(&self, reply: &PendingReply) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|write| write.replies.contains(reply))
    }

    /// Handles the result of a call to the platform's object store.
    pub fn handle_store_reply(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) -> HeadWriteOutcome {
        let Some(write) = self.in_flight.take() else {
            return HeadWriteOutcome::UnknownOperation;
        };
        match write.step {
            WriteStep::Writing(running) if running == operation => {
                self.handle_write_reply(context, write, reply)
            }
            WriteStep::ReadingBack(running) if running == operation => {
                self.handle_read_back(context, write, reply)
            }
            _ => {
                self.in_flight = Some(write);
                HeadWriteOutcome::UnknownOperation
            }
        }
    }

    /// Handles the reply to the write. A refused write is retried after a backoff; after a conflict
    /// or without a reply the head is read back.
    fn handle_write_reply(
        &mut self,
        context: &mut ShardContext,
        mut write: InFlightWrite,
        reply: &StoreReply,
    ) -> HeadWriteOutcome {
        match reply {
            StoreReply::Written(version) => return self.complete(context.now, write, *version),
            StoreReply::Refused => {
                write.step = WriteStep::RetryWriteAt(self.next_retry_at(context));
            }
            // An earlier copy of this write may have caused the conflict.
            StoreReply::Conflict => write.step = WriteStep::ReadBackAt(context.now),
            _ => write.step = WriteStep::ReadBackAt(self.next_retry_at(context)),
        }
        self.in_flight = Some(write);
        HeadWriteOutcome::Pending
    }

    /// Handles the head that was read back. If its version is unchanged, the write is retried; if
    /// it is the head of this write, the write succeeded; else another entry owns the shard.
    fn handle_read_back(
        &mut self,
        context: &mut ShardContext,
        mut write: InFlightWrite,
        reply: &StoreReply,
    ) -> HeadWriteOutcome {
        let StoreReply::Read(found) = reply else {
            write.step = WriteStep::ReadBackAt(self.next_retry_at(context));
            self.in_flight = Some(write);
            return HeadWriteOutcome::Pending;
        };
        let version = found.as_ref().map(|(version, _)| *version);
        if version == self.version {
            write.step = WriteStep::RetryWriteAt(self.next_retry_at(context));
            self.in_flight = Some(write);
            return HeadWriteOutcome::Pending;
        }
        let head = found
            .as_ref()
            .and_then(|(_, value)| decode::<ShardHead>(value).ok());
        match (version, head) {
            (Some(version), Some(head))
                if write.matches_head(&head, &context.settings.identity) =>
            {
                self.complete(context.now, write, version)
            }
            (_, head) => {
                self.in_flight = Some(write);
                HeadWriteOutcome::Lost(head.and_then(|head| head.owner))
            }
        }
    }

    /// Records the new version and returns the replies to send.
    fn complete(
        &mut self,
        now: Instant,
        write: InFlightWrite,
        version: ObjectVersion,
    ) -> HeadWriteOutcome {
        self.version = Some(version);
        self.written_at = now;
        self.backoff = Duration::ZERO;
        HeadWriteOutcome::Committed(write.metadata, write.replies)
    }

    /// Doubles the backoff within its bounds and returns the jittered time of the retry.
    fn next_retry_at(&mut self, context: &mut ShardContext) -> Instant {
        let settings = context.settings;
        self.backoff = (self.backoff * 2).clamp(settings.initial_backoff, settings.max_backoff);
        context.jittered_instant(self.backoff)
    }

    /// Returns the replies that depended on the write in flight.
    pub fn into_pending_replies(self) -> Vec<PendingReply> {
        self.in_flight
            .map(|write| write.replies)
            .unwrap_or_default()
    }
}

impl InFlightWrite {
    /// Whether the head that was read back is the one that this write stored.
    fn matches_head(&self, head: &ShardHead, identity: &EntryIdentity) -> bool {
        let owner = if self.metadata.vacating {
            None
        } else {
            Some(identity)
        };
        head.owner.as_ref() == owner
            && head.fence == self.metadata.fence
            && head.write == self.metadata.write_number
    }
}
