//! Reads of the platform's objects with typed contents.

use std::time::Duration;

use futures_util::future::try_join_all;
use gs_platform::{Platform, PlatformError};
use serde::de::DeserializeOwned;

/// Objects that are read at once.
const READ_BATCH: usize = 16;

/// The pause between two batches, so that one call does not use up the service's read rate.
const BATCH_PAUSE: Duration = Duration::from_millis(40);

/// Reads a JSON object; none if there is none.
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

/// Reads JSON objects in the order of their keys, batch by batch; leaves out what does not exist.
pub async fn read_all_json<T: DeserializeOwned>(
    platform: &impl Platform,
    keys: &[String],
) -> Result<Vec<(String, T)>, PlatformError> {
    let mut found = Vec::with_capacity(keys.len());
    for (place, batch) in keys.chunks(READ_BATCH).enumerate() {
        if place > 0 {
            tokio::time::sleep(BATCH_PAUSE).await;
        }
        let reads = batch.iter().map(|key| read_json(platform, key));
        let values = try_join_all(reads).await?;
        let pairs = batch.iter().cloned().zip(values);
        found.extend(pairs.filter_map(|(key, value)| Some((key, value?))));
    }
    Ok(found)
}
