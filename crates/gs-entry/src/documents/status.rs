//! Reports to the platform's service which document is in force here.

use std::rc::Rc;
use std::sync::Arc;

use gs_document::settings::EntrySettings;
use gs_platform::{HttpPlatform, Platform, PlatformError, WriteCondition};
use gs_protocol::ids::ObjectVersion;
use gs_protocol::objects::{StatusRecord, status_key};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Reports whenever a document comes into force, and tries again until the report is written.
pub async fn report_status(
    platform: Rc<HttpPlatform>,
    settings: Arc<EntrySettings>,
    mut status: watch::Receiver<Option<StatusRecord>>,
) {
    let key = status_key(&settings.environment, settings.name.as_str());
    let mut version = None;
    loop {
        let record = status.borrow_and_update().clone();
        let mut written = true;
        if let Some(record) = record {
            match write(&*platform, &key, &record, version).await {
                Ok(new) => version = Some(new),
                Err(error) => {
                    log::warn!(target: "documents", "Status was not reported: {error}.");
                    (version, written) = (None, false);
                }
            }
        }
        let interval = settings.intervals.status;
        if written {
            if status.changed().await.is_err() {
                return;
            }
        } else if timeout(interval, status.changed())
            .await
            .is_ok_and(|seen| seen.is_err())
        {
            sleep(interval).await;
        }
    }
}

/// Writes the report over whatever an earlier start of this entry has left.
async fn write<P: Platform>(
    platform: &P,
    key: &str,
    record: &StatusRecord,
    version: Option<ObjectVersion>,
) -> Result<ObjectVersion, PlatformError> {
    let malformed = |error: serde_json::Error| PlatformError::Malformed {
        key: key.to_owned(),
        detail: error.to_string(),
    };
    let value = serde_json::to_vec(record).map_err(malformed)?;
    let known = match version {
        Some(version) => Some(version),
        None => platform.read(key).await?.map(|object| object.version),
    };
    let condition = known.map_or(WriteCondition::Absent, WriteCondition::Version);
    platform.write(key, value.into(), condition).await
}
