//! A document as requests are checked against it.

use std::collections::HashMap;
use std::sync::Arc;

use gs_document::document::{CallerEntry, EnvironmentDocument};
use gs_protocol::ids::{CallerName, SequenceNumber};
use gs_protocol::peer::PeerDocument;

/// A document in force, with the look-ups that requests need.
#[derive(Debug)]
pub struct AppliedDocument {
    /// The contents.
    pub document: Arc<EnvironmentDocument>,
    /// The place in the environment's history.
    pub sequence: SequenceNumber,
    /// The digest of the document's bytes.
    pub digest: String,
    body: String,
    callers: HashMap<String, CallerName>,
}

impl AppliedDocument {
    /// Indexes the callers of a document by their tokens' digests.
    pub fn new(
        document: EnvironmentDocument,
        sequence: SequenceNumber,
        digest: String,
        body: String,
    ) -> Self {
        let callers = document
            .callers
            .iter()
            .flat_map(|(name, entry)| entry.token_digests.iter().map(move |token| (token, name)))
            .map(|(token, name)| (token.clone(), name.clone()))
            .collect();
        Self {
            document: Arc::new(document),
            sequence,
            digest,
            body,
            callers,
        }
    }

    /// The document as it travels to another entry.
    pub fn to_peer(&self) -> PeerDocument {
        PeerDocument {
            sequence: self.sequence,
            digest: self.digest.clone(),
            body: self.body.clone(),
        }
    }

    /// The caller whose token has the digest.
    pub fn find_caller(&self, token_digest: &str) -> Option<(&CallerName, &CallerEntry)> {
        let name = self.callers.get(token_digest)?;
        let entry = self.document.callers.get(name)?;
        Some((name, entry))
    }
}
