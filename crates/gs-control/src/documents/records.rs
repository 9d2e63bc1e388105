//! Heads as they are stored.

use std::sync::Arc;

use gs_protocol::ids::ObjectVersion;
use gs_protocol::objects::HeadRecord;

use super::calls::StoreFault;

/// A head and the version of the object that holds it.
#[derive(Clone, Debug)]
pub(super) struct StoredHead {
    pub version: ObjectVersion,
    pub head: HeadRecord,
}

/// An object as it was read.
pub(super) type StoredValue = Option<(ObjectVersion, Arc<[u8]>)>;

/// Reads a head.
pub(super) fn decode_head(value: &StoredValue) -> Result<Option<StoredHead>, StoreFault> {
    let Some((version, value)) = value else {
        return Ok(None);
    };
    let head = serde_json::from_slice(value).map_err(|_| StoreFault::Malformed)?;
    Ok(Some(StoredHead {
        version: *version,
        head,
    }))
}

/// Writes a head as bytes.
pub(super) fn encode_head(head: &HeadRecord) -> Result<Arc<[u8]>, StoreFault> {
    let bytes = serde_json::to_vec(head).map_err(|_| StoreFault::Malformed)?;
    Ok(bytes.into())
}
