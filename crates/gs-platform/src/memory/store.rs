//! A versioned key-value store with conditional writes and a change log.

use std::collections::BTreeMap;

use bytes::Bytes;
use gs_protocol::ids::ObjectVersion;
use gs_protocol::platform::{MAX_VALUE_BYTES, ObjectEntry, ObjectList, WatchAnswer};

use crate::{ObjectValue, PlatformError, WriteCondition};

/// The version that a watch reports for a removed object.
const REMOVED_VERSION: ObjectVersion = ObjectVersion(0);

/// Objects by key. A single counter numbers all changes, so an object's version is the revision
/// that wrote it.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, ObjectValue>,
    last_revisions: BTreeMap<String, u64>,
    changes: BTreeMap<u64, String>,
    revision: u64,
}

impl ObjectStore {
    /// Returns the current revision, which counts all changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads an object; `None` if it does not exist.
    pub fn read(&self, key: &str) -> Option<ObjectValue> {
        self.objects.get(key).cloned()
    }

    /// Writes an object if the condition holds, and returns its new version.
    pub fn write(
        &mut self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError> {
        check_size(key, &value)?;
        self.check_condition(key, condition)?;
        let version = ObjectVersion(self.record_change(key));
        self.objects
            .insert(key.to_owned(), ObjectValue { version, value });
        Ok(version)
    }

    /// Removes an object if it is at the given version.
    pub fn remove(&mut self, key: &str, version: ObjectVersion) -> Result<(), PlatformError> {
        self.check_condition(key, WriteCondition::Version(version))?;
        self.record_change(key);
        self.objects.remove(key);
        Ok(())
    }

    /// Lists the objects under a prefix, sorted by key.
    pub fn list(&self, prefix: &str) -> ObjectList {
        let objects = self
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, object)| entry(key, object.version))
            .collect();
        ObjectList {
            objects,
            revision: self.revision,
        }
    }

    /// Returns the objects under a prefix that changed after a revision, ordered by their last
    /// change.
    pub fn changes_after(&self, prefix: &str, after: u64) -> WatchAnswer {
        let changes = self
            .changes
            .range(after.saturating_add(1)..)
            .filter(|(_, key)| key.starts_with(prefix))
            .map(|(_, key)| entry(key, self.current_version(key)))
            .collect();
        WatchAnswer {
            changes,
            revision: self.revision,
        }
    }

    fn current_version(&self, key: &str) -> ObjectVersion {
        self.objects
            .get(key)
            .map_or(REMOVED_VERSION, |object| object.version)
    }

    fn check_condition(&self, key: &str, condition: WriteCondition) -> Result<(), PlatformError> {
        let current = self.objects.get(key).map(|object| object.version);
        let expected = match condition {
            WriteCondition::Absent => None,
            WriteCondition::Version(version) => Some(version),
        };
        if current == expected {
            return Ok(());
        }
        Err(PlatformError::Conflict {
            key: key.to_owned(),
            expected,
        })
    }

    fn record_change(&mut self, key: &str) -> u64 {
        self.revision += 1;
        if let Some(previous) = self.last_revisions.insert(key.to_owned(), self.revision) {
            self.changes.remove(&previous);
        }
        self.changes.insert(self.revision, key.to_owned());
        self.revision
    }
}

fn entry(key: &str, version: ObjectVersion) -> ObjectEntry {
    ObjectEntry {
        key: key.to_owned(),
        version,
    }
}

/// Checks a value against the platform's size limit.
pub(crate) fn check_size(key: &str, value: &Bytes) -> Result<(), PlatformError> {
    if value.len() <= MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(PlatformError::TooLarge {
        key: key.to_owned(),
        bytes: value.len(),
        limit: MAX_VALUE_BYTES,
    })
}
