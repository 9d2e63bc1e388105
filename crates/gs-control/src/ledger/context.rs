//! The context in which a shard handles one event.

use std::time::{Duration, Instant};

use gs_protocol::claims::ClaimReply;
use gs_protocol::ids::{EntryIdentity, ObjectVersion};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::messages::{LedgerEffect, StoreOperationId};
use super::settings::LedgerSettings;

/// Time, settings and random generator for the handling of one event, and the list that collects
/// its effects.
pub(super) struct ShardContext<'a> {
    pub now: Instant,
    /// The wall-clock time, in milliseconds since 1970.
    pub wall_ms: u64,
    pub settings: &'a LedgerSettings,
    pub shard: u32,
    /// The sequence number of the entry's last call to the object store.
    pub last_sequence: &'a mut u64,
    pub random: &'a mut Pcg64Mcg,
    pub effects: &'a mut Vec<LedgerEffect>,
}

impl ShardContext<'_> {
    /// Allocates the identity of the next call to the object store.
    fn next_operation(&mut self) -> StoreOperationId {
        *self.last_sequence += 1;
        StoreOperationId {
            shard: self.shard,
            sequence: *self.last_sequence,
        }
    }

    /// Starts a read of an object.
    pub fn read(&mut self, key: String) -> StoreOperationId {
        let operation = self.next_operation();
        self.effects.push(LedgerEffect::Read { operation, key });
        operation
    }

    /// Starts a write of an object that must be at the expected version, or not exist if that is
    /// none.
    pub fn write(
        &mut self,
        key: String,
        value: Vec<u8>,
        expected: Option<ObjectVersion>,
    ) -> StoreOperationId {
        let operation = self.next_operation();
        self.effects.push(LedgerEffect::Write {
            operation,
            key,
            value,
            expected,
        });
        operation
    }

    /// Starts the removal of an object that must be at the given version.
    pub fn remove(&mut self, key: String, version: ObjectVersion) -> StoreOperationId {
        let operation = self.next_operation();
        self.effects.push(LedgerEffect::Remove {
            operation,
            key,
            version,
        });
        operation
    }

    /// Sends a reply to an entry.
    pub fn reply(&mut self, to: &EntryIdentity, reply: ClaimReply) {
        self.effects.push(LedgerEffect::Reply {
            to: to.clone(),
            reply,
        });
    }

    /// Returns the instant after a random delay between 0.5 and 1.5 times the given one.
    pub fn jittered_instant(&mut self, delay: Duration) -> Instant {
        self.now + delay.mul_f64(self.random.gen_range(0.5..1.5))
    }
}
