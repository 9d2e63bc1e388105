//! The edge to the platform's object service.

use std::time::Duration;

use bytes::Bytes;
use gs_protocol::ids::ObjectVersion;
use gs_protocol::platform::{ObjectList, WatchAnswer};
use gs_protocol::vm::VmRecord;

use crate::PlatformError;

/// The value of an object and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectValue {
    /// The version at which the value was read.
    pub version: ObjectVersion,
    /// The value.
    pub value: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}

/// The platform's service. Futures stay on the thread that made them.
#[allow(async_fn_in_trait)]
pub trait Platform {
    /// Reads an object; `None` if there is none.
    async fn read(&self, key: &str) -> Result<Option<ObjectValue>, PlatformError>;

    /// Writes an object if the condition holds; returns its new version.
    async fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Removes an object that is at the given version.
    async fn remove(&self, key: &str, version: ObjectVersion) -> Result<(), PlatformError>;

    /// Lists the objects under a prefix.
    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError>;

    /// Waits until an object under the prefix changes after a revision, or the time ends.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<WatchAnswer, PlatformError>;

    /// Reads the lagging list of VMs.
    async fn list_vms(&self) -> Result<Vec<VmRecord>, PlatformError>;
}
