//! Reports to the platform's service which document is in force here.

use std::rc::Rc;
use std::sync::Arc;

use gs_control::documents::merge_status_records;
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
    let mut object = StatusObject {
        platform: &*platform,
        key: status_key(&settings.environment, settings.name.as_str()),
        version: None,
        before: None,
    };
    loop {
        let record = status.borrow_and_update().clone();
        let mut written = true;
        if let Some(record) = record
            && let Err(error) = object.write(&record).await
        {
            log::warn!(target: "documents", "Status was not reported: {error}.");
            written = false;
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

/// The object that holds this entry's report.
struct StatusObject<'a, P> {
    platform: &'a P,
    key: String,
    /// The version that this process wrote last, unless a write failed since.
    version: Option<ObjectVersion>,
    /// What an earlier start of this entry had reported.
    before: Option<StatusRecord>,
}

impl<P: Platform> StatusObject<'_, P> {
    /// Writes the report, joined with what earlier starts of this entry have left.
    async fn write(&mut self, record: &StatusRecord) -> Result<(), PlatformError> {
        let known = match self.version.take() {
            Some(version) => Some(version),
            None => self.read(record.incarnation).await?,
        };
        let joined = match &self.before {
            Some(before) => merge_status_records(record, before),
            None => record.clone(),
        };
        let value = serde_json::to_vec(&joined).map_err(|error| PlatformError::Malformed {
            key: self.key.clone(),
            detail: error.to_string(),
        })?;
        let condition = known.map_or(WriteCondition::Absent, WriteCondition::Version);
        let written = self.platform.write(&self.key, value.into(), condition);
        self.version = Some(written.await?);
        Ok(())
    }

    /// Reads the object's version, and keeps the report in it if an earlier start wrote it.
    async fn read(&mut self, incarnation: u64) -> Result<Option<ObjectVersion>, PlatformError> {
        let Some(object) = self.platform.read(&self.key).await? else {
            return Ok(None);
        };
        // An object that cannot be read is written over.
        let found = serde_json::from_slice::<StatusRecord>(&object.value).ok();
        if let Some(found) = found.filter(|found| found.incarnation < incarnation) {
            self.before = Some(found);
        }
        Ok(Some(object.version))
    }
}
