//! Follows the newest document among the platform's service and peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_document::digest_document;
use gs_protocol::ids::{EntryName, SequenceNumber};

use super::BackoffPolicy;

/// A source from which documents are fetched.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DocumentSource {
    /// The platform's service.
    Platform,
    /// Another entry.
    Peer(EntryName),
}

/// A document with its sequence number in an environment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SequencedDocument {
    /// The sequence number in the environment's history.
    pub sequence: SequenceNumber,
    /// The digest in the head record.
    pub digest: String,
    /// The bytes as received, not yet checked against the digest.
    pub bytes: Arc<[u8]>,
}

/// An input of [`DocumentView`].
#[derive(Clone, Debug)]
pub enum DocumentEvent {
    /// A source was observed to have a sequence number in force.
    SequenceObserved {
        /// The source.
        source: DocumentSource,
        /// The sequence number.
        sequence: SequenceNumber,
    },
    /// A source returned its document.
    Fetched {
        /// The source.
        source: DocumentSource,
        /// The document that was fetched.
        document: SequencedDocument,
    },
    /// A fetch from a source failed.
    FetchFailed {
        /// The source.
        source: DocumentSource,
    },
    /// Time has passed.
    Tick,
}

/// An output of [`DocumentView`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DocumentEffect {
    /// Fetch the document that is in force at a source.
    Fetch {
        /// The source.
        source: DocumentSource,
    },
    /// Bring a document into force; its bytes match its digest.
    Apply(SequencedDocument),
}

/// The time-out and the backoff of fetches.
#[derive(Clone, Copy, Debug)]
pub struct FetchPolicy {
    /// The time-out of one fetch.
    pub timeout: Duration,
    /// The delays before the next round after every source has failed.
    pub backoff: BackoffPolicy,
}

impl Default for FetchPolicy {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(500),
            backoff: BackoffPolicy::default(),
        }
    }
}

/// The document in force and the newer documents that sources have. The sequence number in force
/// only increases.
#[derive(Clone, Debug)]
pub struct DocumentView {
    policy: FetchPolicy,
    /// The sequence number in force; none before the first document.
    in_force: Option<SequenceNumber>,
    /// The sources that have a newer document than the one in force.
    sources: BTreeMap<DocumentSource, SourceRecord>,
    fetch: FetchState,
    /// Consecutive rounds in which every source failed.
    failed_rounds: u32,
}

/// The highest sequence number observed at a source, and whether a fetch from it failed in this
/// round.
#[derive(Clone, Copy, Debug)]
struct SourceRecord {
    sequence: SequenceNumber,
    failed: bool,
}

/// The state of the fetches, of which at most one is in progress.
#[derive(Clone, Debug)]
enum FetchState {
    Idle,
    BackingOff {
        until: Instant,
    },
    InProgress {
        source: DocumentSource,
        deadline: Instant,
    },
}

impl DocumentView {
    /// Creates a view with no document in force.
    pub fn new(policy: FetchPolicy) -> Self {
        Self {
            policy,
            in_force: None,
            sources: BTreeMap::new(),
            fetch: FetchState::Idle,
            failed_rounds: 0,
        }
    }

    /// Returns the sequence number in force; none before the first document.
    pub fn sequence(&self) -> Option<SequenceNumber> {
        self.in_force
    }

    /// Handles an event and appends the resulting effects.
    pub fn handle(
        &mut self,
        now: Instant,
        event: DocumentEvent,
        effects: &mut Vec<DocumentEffect>,
    ) {
        match event {
            DocumentEvent::SequenceObserved { source, sequence } => {
                self.observe_sequence(source, sequence);
            }
            DocumentEvent::Fetched { source, document } => {
                self.apply_document(&source, document, effects);
            }
            DocumentEvent::FetchFailed { source } => self.fail_fetch(&source),
            DocumentEvent::Tick => self.expire_fetch(now),
        }
        self.fetch_next(now, effects);
    }

    fn is_newer(&self, sequence: SequenceNumber) -> bool {
        sequence > self.in_force.unwrap_or_default()
    }

    fn observe_sequence(&mut self, source: DocumentSource, sequence: SequenceNumber) {
        if !self.is_newer(sequence) {
            return;
        }
        let known = self.sources.get(&source);
        if known.is_some_and(|known| known.sequence >= sequence) {
            return;
        }
        let failed = false;
        self.sources
            .insert(source, SourceRecord { sequence, failed });
        if matches!(self.fetch, FetchState::BackingOff { .. }) {
            self.fetch = FetchState::Idle;
        }
    }

    /// Applies a fetched document. One that does not match its digest or is not newer counts as a
    /// failed fetch.
    fn apply_document(
        &mut self,
        source: &DocumentSource,
        document: SequencedDocument,
        effects: &mut Vec<DocumentEffect>,
    ) {
        let matches_digest = digest_document(&document.bytes) == document.digest;
        if !matches_digest || !self.is_newer(document.sequence) {
            self.fail_fetch(source);
            return;
        }
        self.end_fetch(source);
        self.in_force = Some(document.sequence);
        self.failed_rounds = 0;
        self.sources
            .retain(|_, record| record.sequence > document.sequence);
        effects.push(DocumentEffect::Apply(document));
    }

    fn end_fetch(&mut self, ended: &DocumentSource) {
        if matches!(&self.fetch, FetchState::InProgress { source, .. } if source == ended) {
            self.fetch = FetchState::Idle;
        }
    }

    fn fail_fetch(&mut self, failed: &DocumentSource) {
        if matches!(&self.fetch, FetchState::InProgress { source, .. } if source == failed) {
            self.fetch = FetchState::Idle;
            if let Some(record) = self.sources.get_mut(failed) {
                record.failed = true;
            }
        }
    }

    /// Fails a fetch that has timed out, or ends a backoff that is over.
    fn expire_fetch(&mut self, now: Instant) {
        match &self.fetch {
            FetchState::InProgress { source, deadline } if *deadline <= now => {
                let source = source.clone();
                self.fail_fetch(&source);
            }
            FetchState::BackingOff { until } if *until <= now => self.fetch = FetchState::Idle,
            _ => {}
        }
    }

    /// Starts a fetch from the source with the highest sequence number that has not failed in this
    /// round, or backs off if all have failed.
    fn fetch_next(&mut self, now: Instant, effects: &mut Vec<DocumentEffect>) {
        if !matches!(self.fetch, FetchState::Idle) || self.sources.is_empty() {
            return;
        }
        let candidates = self.sources.iter().filter(|(_, record)| !record.failed);
        // `max_by_key` takes the last of equals; reversed, that is the platform's service if it is
        // among them.
        let best = candidates.rev().max_by_key(|(_, record)| record.sequence);
        let Some((source, _)) = best else {
            self.back_off(now);
            return;
        };
        let source = source.clone();
        let deadline = now + self.policy.timeout;
        self.fetch = FetchState::InProgress {
            source: source.clone(),
            deadline,
        };
        effects.push(DocumentEffect::Fetch { source });
    }

    fn back_off(&mut self, now: Instant) {
        self.failed_rounds += 1;
        for record in self.sources.values_mut() {
            record.failed = false;
        }
        let until = now + self.policy.backoff.delay(self.failed_rounds);
        self.fetch = FetchState::BackingOff { until };
    }
}
