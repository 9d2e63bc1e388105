//! The platform's object service over HTTP, as published.
//!
//! | call | answer |
//! |---|---|
//! | `GET /objects/{key}` | 200 with the value and `ETag: "version"`, or 404 |
//! | `PUT /objects/{key}` with `If-Match: "version"` or `If-None-Match: *` | 200 [`WriteAnswer`], or 412 |
//! | `DELETE /objects/{key}` with `If-Match: "version"` | 200, 404 or 412 |
//! | `GET /objects?prefix=` | 200 [`ObjectList`] |
//! | `GET /watch?prefix=&after=&timeoutMs=` | 200 [`WatchAnswer`], once something changed or time ran out |
//! | `GET /vms` | 200 with a list of [`crate::vm::VmRecord`] |
//!
//! Any call may be refused with 429 (over the rate) or 503 (out of service). Keys contain `/`.

use serde::{Deserialize, Serialize};

use crate::ids::ObjectVersion;

/// The largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// The answer to a write that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WriteAnswer {
    /// The object's new version.
    pub version: ObjectVersion,
}

/// One object of a listing, without its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectEntry {
    /// The object's key.
    pub key: String,
    /// The object's version.
    pub version: ObjectVersion,
}

/// The objects under a prefix, by key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectList {
    /// The objects.
    pub objects: Vec<ObjectEntry>,
    /// The service's revision at which the list was read, from which a watch can go on.
    pub revision: u64,
}

/// What a watch saw: keys changed after a revision, each once, and the revision to go on from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct WatchAnswer {
    /// The objects that changed; a removed one has version 0.
    pub changes: Vec<ObjectEntry>,
    /// The revision to give as `after` next time.
    pub revision: u64,
}
