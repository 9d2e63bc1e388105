//! Reports the document in force at this entry to the platform's service.

use std::rc::Rc;
use std::sync::Arc;

use gs_control::documents::merge_status_records;
use gs_document::settings::EntrySettings;
use gs_platform::{HttpPlatform, Platform, PlatformError, WriteCondition};
use gs_protocol::ids::ObjectVersion;
use gs_protocol::objects::{StatusRecord, status_key};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Writes a report whenever a document is applied, and retries until the write succeeds.
pub async fn report_status(
    platform: Rc<HttpPlatform>,
    settings: Arc<EntrySettings>,
    mut status: watch::Receiver<Option<StatusRecord>>,
) {
    let mut object = StatusObject {
        platform: &*platform,
        key: status_key(&settings.environment, settings.name.as_str()),
        version: None,
        earlier: None,
    };
    loop {
        let record = status.borrow_and_update().clone();
        let mut written = true;
        if let Some(record) = record
            && let Err(error) = object.write(&record).await
        {
            log::warn!(target: "documents", "Status report could not be written: {error}.");
            written = false;
        }
        let interval = settings.intervals.status;
        if written {
            if status.changed().await.is_err() {
                return;
            }
        } else if timeout(interval, status.changed())
            .await
            .is_ok_and(|changed| changed.is_err())
        {
            sleep(interval).await;
        }
    }
}

/// The object that stores this entry's report.
struct StatusObject<'a, P> {
    platform: &'a P,
    key: String,
    /// Version that this process wrote last; `None` before the first write and after a failed one.
    version: Option<ObjectVersion>,
    /// Report of an earlier process of this entry.
    earlier: Option<StatusRecord>,
}

impl<P: Platform> StatusObject<'_, P> {
    /// Writes the report, merged with that of an earlier process of this entry.
    async fn write(&mut self, record: &StatusRecord) -> Result<(), PlatformError> {
        let expected = match self.version.take() {
            Some(version) => Some(version),
            None => self.read(record.incarnation).await?,
        };
        let merged = match &self.earlier {
            Some(earlier) => merge_status_records(record, earlier),
            None => record.clone(),
        };
        let value = serde_json::to_vec(&merged).map_err(|error| PlatformError::Malformed {
            key: self.key.clone(),
            detail: error.to_string(),
        })?;
        let condition = expected.map_or(WriteCondition::Absent, WriteCondition::Version);
        let written = self.platform.write(&self.key, value.into(), condition);
        self.version = Some(written.await?);
        Ok(())
    }

    /// Reads the object's version, and stores its report if an earlier process wrote it.
    async fn read(&mut self, incarnation: u64) -> Result<Option<ObjectVersion>, PlatformError> {
        let Some(object) = self.platform.read(&self.key).await? else {
            return Ok(None);
        };
        // A malformed object is overwritten.
        let found = serde_json::from_slice::<StatusRecord>(&object.value).ok();
        if let Some(found) = found.filter(|found| found.incarnation < incarnation) {
            self.earlier = Some(found);
        }
        Ok(Some(object.version))
    }
}
