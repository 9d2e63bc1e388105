//! The document in force, indexed for requests.

use std::collections::HashMap;
use std::sync::Arc;

use gs_document::document::{CallerEntry, EnvironmentDocument};
use gs_protocol::ids::{CallerName, SequenceNumber};
use gs_protocol::peer::PeerDocument;

/// A document in force, with an index of callers by token digest.
#[derive(Debug)]
pub struct AppliedDocument {
    /// Contents of the document.
    pub document: Arc<EnvironmentDocument>,
    /// Position in the environment's history.
    pub sequence: SequenceNumber,
    /// Digest of the document's bytes.
    pub digest: String,
    body: String,
    callers: HashMap<String, CallerName>,
}

impl AppliedDocument {
    /// Creates the document and indexes its callers by the digests of their tokens.
    pub fn new(
        document: EnvironmentDocument,
        sequence: SequenceNumber,
        digest: String,
        body: String,
    ) -> Self {
        let callers = document
            .callers
            .iter()
            .flat_map(|(name, entry)| {
                entry
                    .token_digests
                    .iter()
                    .map(move |token_digest| (token_digest, name))
            })
            .map(|(token_digest, name)| (token_digest.clone(), name.clone()))
            .collect();
        Self {
            document: Arc::new(document),
            sequence,
            digest,
            body,
            callers,
        }
    }

    /// Converts the document to the form that is sent to peers.
    pub fn to_peer(&self) -> PeerDocument {
        PeerDocument {
            sequence: self.sequence,
            digest: self.digest.clone(),
            body: self.body.clone(),
        }
    }

    /// Finds the caller that has a token with this digest.
    pub fn find_caller(&self, token_digest: &str) -> Option<(&CallerName, &CallerEntry)> {
        let name = self.callers.get(token_digest)?;
        let entry = self.document.callers.get(name)?;
        Some((name, entry))
    }
}
