//! An in-memory object store. The simulation delays calls and loses replies; a call takes effect at
//! most once.

use std::collections::BTreeMap;

use gs_control::ledger::{LedgerEffect, StoreOperationId, StoreReply};
use gs_protocol::ids::{EntryIdentity, ObjectVersion};
use gs_protocol::platform::ObjectEntry;

/// A call in transit from an entry to the store.
#[derive(Clone, Debug)]
pub struct StoreCall {
    pub from: EntryIdentity,
    pub operation: StoreOperationId,
    pub effect: LedgerEffect,
}

/// The stored objects with their versions.
#[derive(Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, (ObjectVersion, Vec<u8>)>,
    revision: u64,
}

impl ObjectStore {
    /// Applies a call and returns its reply.
    pub fn apply(&mut self, effect: &LedgerEffect) -> StoreReply {
        match effect {
            LedgerEffect::Read { key, .. } => StoreReply::Read(self.objects.get(key).cloned()),
            LedgerEffect::Write {
                key,
                value,
                expected,
                ..
            } => self.write(key, value, *expected),
            LedgerEffect::Remove { key, version, .. } => {
                if self.version(key) != Some(*version) {
                    return StoreReply::Conflict;
                }
                self.objects.remove(key);
                StoreReply::Removed
            }
            other => panic!("{other:?} is not a call to the object store"),
        }
    }

    /// Lists keys and versions of the objects under a prefix.
    pub fn list(&self, prefix: &str) -> Vec<ObjectEntry> {
        let found = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, (version, _))| ObjectEntry {
                key: key.clone(),
                version: *version,
            })
            .collect()
    }

    fn version(&self, key: &str) -> Option<ObjectVersion> {
        self.objects.get(key).map(|(version, _)| *version)
    }

    fn write(&mut self, key: &str, value: &[u8], expected: Option<ObjectVersion>) -> StoreReply {
        if self.version(key) != expected {
            return StoreReply::Conflict;
        }
        self.revision += 1;
        let version = ObjectVersion(self.revision);
        self.objects
            .insert(key.to_owned(), (version, value.to_vec()));
        StoreReply::Written(version)
    }
}
