//! What a shard needs to handle one event.

use std::time::{Duration, Instant};

use gs_protocol::claims::ClaimReply;
use gs_protocol::ids::{EntryIdentity, ObjectVersion};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::messages::{LedgerEffect, StoreOperationId};
use super::settings::LedgerSettings;

/// The time of an event, and where its effects go.
pub(super) struct ShardContext<'a> {
    pub now: Instant,
    pub wall_ms: u64,
    pub settings: &'a LedgerSettings,
    pub shard: u32,
    pub serial: &'a mut u64,
    pub random: &'a mut Pcg64Mcg,
    pub effects: &'a mut Vec<LedgerEffect>,
}

impl ShardContext<'_> {
    fn operation(&mut self) -> StoreOperationId {
        *self.serial += 1;
        StoreOperationId {
            shard: self.shard,
            serial: *self.serial,
        }
    }

    /// Reads an object.
    pub fn read(&mut self, key: String) -> StoreOperationId {
        let operation = self.operation();
        self.effects.push(LedgerEffect::Read { operation, key });
        operation
    }

    /// Writes an object on a condition.
    pub fn write(
        &mut self,
        key: String,
        value: Vec<u8>,
        expected: Option<ObjectVersion>,
    ) -> StoreOperationId {
        let operation = self.operation();
        self.effects.push(LedgerEffect::Write {
            operation,
            key,
            value,
            expected,
        });
        operation
    }

    /// Removes an object on a condition.
    pub fn remove(&mut self, key: String, version: ObjectVersion) -> StoreOperationId {
        let operation = self.operation();
        self.effects.push(LedgerEffect::Remove {
            operation,
            key,
            version,
        });
        operation
    }

    /// Sends a reply.
    pub fn reply(&mut self, to: &EntryIdentity, reply: ClaimReply) {
        self.effects.push(LedgerEffect::Reply {
            to: to.clone(),
            reply,
        });
    }

    /// A time between half of the delay and one and a half of it from now.
    pub fn jittered(&mut self, delay: Duration) -> Instant {
        self.now + delay.mul_f64(self.random.gen_range(0.5..1.5))
    }
}
