//! Fetches the document in force at a source.

use std::sync::Arc;

use gs_control::documents::SequencedDocument;
use gs_platform::{Platform, PlatformError};
use gs_protocol::objects::{HeadRecord, body_key, head_key};
use gs_protocol::peer::PeerReply;
use tokio::sync::oneshot::Receiver;

/// Why a document was not fetched.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum FetchError {
    /// The platform's service did not answer as needed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The environment has no head.
    #[error("head object \"{key}\" does not exist")]
    MissingHead {
        /// The head's key.
        key: String,
    },
    /// The head is malformed.
    #[error("head object \"{key}\" is malformed")]
    MalformedHead {
        /// The head's key.
        key: String,
    },
    /// The bytes are not there.
    #[error("document \"{digest}\" does not exist")]
    MissingBody {
        /// The document's digest.
        digest: String,
    },
    /// The peer gave no document.
    #[error("the peer gave no document")]
    PeerSilent,
}

/// Reads the head of an environment.
pub async fn read_head<P: Platform>(
    platform: &P,
    environment: &str,
) -> Result<HeadRecord, FetchError> {
    let key = head_key(environment);
    let Some(object) = platform.read(&key).await? else {
        return Err(FetchError::MissingHead { key });
    };
    serde_json::from_slice(&object.value).map_err(|_| FetchError::MalformedHead { key })
}

/// Fetches from the platform's service.
pub async fn fetch_from_platform<P: Platform>(
    platform: &P,
    environment: &str,
) -> Result<SequencedDocument, FetchError> {
    let head = read_head(platform, environment).await?;
    let digest = head.digest;
    let Some(body) = platform.read(&body_key(&digest)).await? else {
        return Err(FetchError::MissingBody { digest });
    };
    let bytes = Arc::from(body.value.as_ref());
    Ok(SequencedDocument {
        sequence: head.sequence,
        digest,
        bytes,
    })
}

/// Takes the document from a peer's answer.
pub async fn fetch_from_peer(answer: Receiver<PeerReply>) -> Result<SequencedDocument, FetchError> {
    let Ok(PeerReply::Document(Some(document))) = answer.await else {
        return Err(FetchError::PeerSilent);
    };
    let bytes = Arc::from(document.body.into_bytes());
    Ok(SequencedDocument {
        sequence: document.sequence,
        digest: document.digest,
        bytes,
    })
}
