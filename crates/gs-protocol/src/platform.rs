//! The platform's published HTTP protocol: an object store and a list of VMs.
//!
//! | call | answer |
//! |---|---|
//! | `GET /objects/{key}` | 200 with the value and `ETag: "version"`, or 404 |
//! | `PUT /objects/{key}` with `If-Match: "version"` or `If-None-Match: *` | 200 [`WriteAnswer`], or 412 |
//! | `DELETE /objects/{key}` with `If-Match: "version"` | 200, 404 or 412 |
//! | `GET /objects?prefix=` | 200 [`ObjectList`] |
//! | `GET /watch?prefix=&after=&timeoutMs=` | 200 [`WatchAnswer`], after a change or the time-out |
//! | `GET /vms` | 200 with a list of [`crate::vm::VmRecord`] |
//!
//! Any call may be refused with 429 (rate limit exceeded) or 503 (out of service). Keys may contain
//! `/`.

use serde::{Deserialize, Serialize};

use crate::ids::ObjectVersion;

/// The maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// The answer to a successful write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WriteAnswer {
    /// The object's new version.
    pub version: ObjectVersion,
}

/// An object's key and version, without its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectEntry {
    /// The object's key.
    pub key: String,
    /// The object's version.
    pub version: ObjectVersion,
}

/// The objects under a prefix, sorted by key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectList {
    /// The objects under the prefix.
    pub objects: Vec<ObjectEntry>,
    /// The store's revision when the list was read; a watch can continue from it.
    pub revision: u64,
}

/// The answer to a watch: keys that changed after a revision, each listed once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WatchAnswer {
    /// The changed objects; a removed object has version 0.
    pub changes: Vec<ObjectEntry>,
    /// The revision to pass as `after` in the next watch.
    pub revision: u64,
}
