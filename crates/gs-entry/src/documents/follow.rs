//! Follows the environment's head in the platform's service.

use std::sync::Arc;

use actix::Addr;
use gs_document::settings::EntrySettings;
use gs_platform::{Platform, PlatformError};
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{HeadRecord, body_key, head_key};
use tokio::sync::watch;
use tokio::time::sleep;

use super::AppliedDocument;
use crate::control::{ControlActor, ControlMessage};

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

/// Takes over each document with a higher sequence number, for as long as the process runs.
pub async fn follow_documents<P: Platform>(
    platform: P,
    settings: Arc<EntrySettings>,
    control: Addr<ControlActor>,
    applied: watch::Sender<Option<Arc<AppliedDocument>>>,
) {
    loop {
        let current = applied.borrow().as_ref().map(|document| document.sequence);
        match fetch_newer(&platform, &settings.environment, current).await {
            Ok(Some(document)) => apply(document, &control, &applied),
            Ok(None) => {}
            Err(error) => log::warn!(target: "documents", "Document was not read: {error}."),
        }
        sleep(settings.intervals.head_poll).await;
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
