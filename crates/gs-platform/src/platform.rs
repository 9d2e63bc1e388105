//! The interface to the platform's object store and VM list.

use std::time::Duration;

use bytes::Bytes;
use gs_protocol::ids::ObjectVersion;
use gs_protocol::platform::{ObjectList, WatchAnswer};
use gs_protocol::vm::VmRecord;

use crate::PlatformError;

/// The value of an object and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectValue {
    /// The version that was read.
    pub version: ObjectVersion,
    /// The value's bytes.
    pub value: Bytes,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    Version(ObjectVersion),
}

/// A client of the platform. Its futures need not be `Send`: they stay on the thread that created
/// them.
#[allow(async_fn_in_trait)]
pub trait Platform {
    /// Reads an object; `None` if it does not exist.
    async fn read(&self, key: &str) -> Result<Option<ObjectValue>, PlatformError>;

    /// Writes an object if the condition holds, and returns its new version.
    async fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Removes an object if it is at the given version.
    async fn remove(&self, key: &str, version: ObjectVersion) -> Result<(), PlatformError>;

    /// Lists the objects under a prefix, sorted by key.
    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError>;

    /// Waits until an object under the prefix has changed after the revision `after`, or the
    /// time-out expires; then the answer has no changes.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<WatchAnswer, PlatformError>;

    /// Reads the platform's list of VMs, which lags behind the actual state.
    async fn list_vms(&self) -> Result<Vec<VmRecord>, PlatformError>;
}
