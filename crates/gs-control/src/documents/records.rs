//! Decodes and encodes the head records in the platform's object store.

use std::sync::Arc;

use gs_protocol::ids::ObjectVersion;
use gs_protocol::objects::HeadRecord;

use super::calls::StoreFault;

/// A head record and the version of the object that holds it.
#[derive(Clone, Debug)]
pub(super) struct StoredHead {
    pub version: ObjectVersion,
    pub head: HeadRecord,
}

/// The version and the bytes of an object; none if it does not exist.
pub(super) type StoredValue = Option<(ObjectVersion, Arc<[u8]>)>;

/// Decodes a head record from an object that was read.
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

/// Encodes a head record as JSON.
pub(super) fn encode_head(head: &HeadRecord) -> Result<Arc<[u8]>, StoreFault> {
    let bytes = serde_json::to_vec(head).map_err(|_| StoreFault::Malformed)?;
    Ok(bytes.into())
}
