//! Follows what operators order in the platform's service: documents and drains.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use gs_document::settings::EntrySettings;
use gs_platform::{Platform, PlatformError};
use gs_protocol::ids::{SequenceNumber, ServerName};
use gs_protocol::objects::{HeadRecord, body_key, drain_prefix, head_key, orders_prefix};
use rand::Rng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::AppliedDocument;
use crate::control::{ControlActor, ControlMessage};

/// The wait after a watch that failed.
const WATCH_RETRY: Duration = Duration::from_millis(100);

/// Why a document was not taken over.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Platform(#[from] PlatformError),
    #[error("head object \"{key}\" is malformed")]
    MalformedHead { key: String },
    #[error("document \"{digest}\" is missing")]
    MissingBody { digest: String },
    #[error("the bytes stored as \"{digest}\" have digest \"{found}\"")]
    WrongDigest { digest: String, found: String },
    #[error("document \"{digest}\" has mistakes")]
    Mistakes { digest: String },
}

/// Follows documents and drains for as long as the process runs.
pub async fn follow_orders<P: Platform>(
    platform: P,
    settings: Arc<EntrySettings>,
    control: Addr<ControlActor>,
    applied: watch::Sender<Option<Arc<AppliedDocument>>>,
) {
    let prefix = orders_prefix(&settings.environment);
    let longest_watch = settings.intervals.head_poll;
    let follower = OrderFollower {
        platform,
        settings,
        control,
        applied,
    };
    loop {
        // Every look reads the whole list, which is short, so that nothing is missed after an outage.
        let revision = match follower.look(&prefix).await {
            Ok(revision) => revision,
            Err(error) => {
                log::warn!(target: "documents", "Orders were not read: {error}.");
                let jitter = rand::thread_rng().gen_range(0.5..1.0);
                sleep(longest_watch.mul_f64(jitter)).await;
                continue;
            }
        };
        // A failed watch only means that the next look comes at once or fails in its turn.
        let watched = follower
            .platform
            .watch(&prefix, revision, longest_watch)
            .await;
        if watched.is_err() {
            sleep(WATCH_RETRY).await;
        }
    }
}

/// Reads the orders of one environment.
struct OrderFollower<P> {
    platform: P,
    settings: Arc<EntrySettings>,
    control: Addr<ControlActor>,
    applied: watch::Sender<Option<Arc<AppliedDocument>>>,
}

impl<P: Platform> OrderFollower<P> {
    /// Reads all orders; returns the revision to watch from.
    async fn look(&self, prefix: &str) -> Result<u64, FollowError> {
        let list = self.platform.list(prefix).await?;
        let environment = &self.settings.environment;
        let drains = drain_prefix(environment);
        let drained = list
            .objects
            .iter()
            .filter_map(|object| object.key.strip_prefix(&drains))
            .map(ServerName::from)
            .collect();
        self.control.do_send(ControlMessage::DrainsSeen(drained));
        let current = self
            .applied
            .borrow()
            .as_ref()
            .map(|document| document.sequence);
        if let Some(document) = fetch_newer(&self.platform, environment, current).await? {
            apply(document, &self.control, &self.applied);
        }
        Ok(list.revision)
    }
}

fn apply(
    document: AppliedDocument,
    control: &Addr<ControlActor>,
    applied: &watch::Sender<Option<Arc<AppliedDocument>>>,
) {
    let (sequence, digest) = (document.sequence.0, document.digest.as_str());
    log::info!(target: "documents", sequence, digest; "Document is in force.");
    metrics::gauge!(crate::telemetry::DOCUMENT_SEQUENCE).set(sequence as f64);
    let document = Arc::new(document);
    applied.send_replace(Some(Arc::clone(&document)));
    control.do_send(ControlMessage::DocumentApplied(document));
}

async fn fetch_newer<P: Platform>(
    platform: &P,
    environment: &str,
    current: Option<SequenceNumber>,
) -> Result<Option<AppliedDocument>, FollowError> {
    let key = head_key(environment);
    let Some(object) = platform.read(&key).await? else {
        return Ok(None);
    };
    let Ok(head) = serde_json::from_slice::<HeadRecord>(&object.value) else {
        return Err(FollowError::MalformedHead { key });
    };
    if current.is_some_and(|sequence| head.sequence <= sequence) {
        return Ok(None);
    }
    let digest = head.digest;
    let Some(body) = platform.read(&body_key(&digest)).await? else {
        return Err(FollowError::MissingBody { digest });
    };
    let found = gs_document::digest_document(&body.value);
    if found != digest {
        return Err(FollowError::WrongDigest { digest, found });
    }
    let text = String::from_utf8_lossy(&body.value);
    let Ok(document) = gs_document::parse_document(&digest, &text) else {
        return Err(FollowError::Mistakes { digest });
    };
    Ok(Some(AppliedDocument::new(
        document,
        head.sequence,
        digest,
        text.into_owned(),
    )))
}
