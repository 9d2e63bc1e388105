//! Fetches documents from the platform's service and from peers.

use std::sync::Arc;

use gs_control::documents::SequencedDocument;
use gs_platform::{Platform, PlatformError};
use gs_protocol::objects::{HeadRecord, body_key, head_key};
use gs_protocol::peer::PeerReply;
use tokio::sync::oneshot::Receiver;

/// Failure to fetch a document.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum FetchError {
    /// A read from the platform's service failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The environment has no head object.
    #[error("head object \"{key}\" does not exist")]
    MissingHead {
        /// Key of the head object.
        key: String,
    },
    /// The head object is malformed.
    #[error("head object \"{key}\" is malformed")]
    MalformedHead {
        /// Key of the head object.
        key: String,
    },
    /// The object with the document's contents does not exist.
    #[error("document \"{digest}\" does not exist")]
    MissingBody {
        /// Digest of the document.
        digest: String,
    },
    /// The peer did not answer or has no document in force.
    #[error("the peer did not send a document")]
    MissingPeerDocument,
}

/// Reads the head object of an environment, which names the accepted document.
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

/// Fetches the accepted document from the platform's service.
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

/// Waits for the document in a peer's reply.
pub async fn fetch_from_peer(reply: Receiver<PeerReply>) -> Result<SequencedDocument, FetchError> {
    let Ok(PeerReply::Document(Some(document))) = reply.await else {
        return Err(FetchError::MissingPeerDocument);
    };
    let bytes = Arc::from(document.body.into_bytes());
    Ok(SequencedDocument {
        sequence: document.sequence,
        digest: document.digest,
        bytes,
    })
}
