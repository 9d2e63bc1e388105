//! Reads JSON objects from the store of the platform's service.

use std::time::Duration;

use futures_util::future::try_join_all;
use gs_platform::{Platform, PlatformError};
use serde::de::DeserializeOwned;

/// Number of objects that are read concurrently.
const READ_BATCH_SIZE: usize = 16;

/// The delay between batches, so that one call does not use up the read rate that the service allows.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Reads and decodes a JSON object; none if the key does not exist.
pub async fn read_json<T: DeserializeOwned>(
    platform: &impl Platform,
    key: &str,
) -> Result<Option<T>, PlatformError> {
    let Some(object) = platform.read(key).await? else {
        return Ok(None);
    };
    let parsed = serde_json::from_slice(&object.value);
    parsed.map(Some).map_err(|error| PlatformError::Malformed {
        key: key.to_owned(),
        detail: error.to_string(),
    })
}

/// Reads JSON objects in batches, and returns them with their keys in the order of `keys`. Keys that
/// do not exist are skipped.
pub async fn read_all_json<T: DeserializeOwned>(
    platform: &impl Platform,
    keys: &[String],
) -> Result<Vec<(String, T)>, PlatformError> {
    let mut found = Vec::with_capacity(keys.len());
    for (index, batch) in keys.chunks(READ_BATCH_SIZE).enumerate() {
        if index > 0 {
            tokio::time::sleep(BATCH_DELAY).await;
        }
        let reads = batch.iter().map(|key| read_json(platform, key));
        let values = try_join_all(reads).await?;
        let pairs = batch.iter().cloned().zip(values);
        found.extend(pairs.filter_map(|(key, value)| Some((key, value?))));
    }
    Ok(found)
}
