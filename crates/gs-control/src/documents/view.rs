//! Which document is in force at an entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_document::digest_document;
use gs_protocol::ids::{EntryName, SequenceNumber};

use super::BackoffPolicy;

/// Where documents can be had.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DocumentSource {
    /// The platform's service.
    Platform,
    /// Another entry.
    Peer(EntryName),
}

/// The document in force at a source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SequencedDocument {
    /// The place in the environment's history.
    pub sequence: SequenceNumber,
    /// The digest that was accepted.
    pub digest: String,
    /// The bytes, as they came.
    pub bytes: Arc<[u8]>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum DocumentEvent {
    /// A source was found to have a sequence number in force.
    SequenceSeen {
        /// The source.
        source: DocumentSource,
        /// The sequence number.
        sequence: SequenceNumber,
    },
    /// A source gave its document.
    Fetched {
        /// The source.
        source: DocumentSource,
        /// Its document.
        document: SequencedDocument,
    },
    /// A source did not give its document.
    FetchFailed {
        /// The source.
        source: DocumentSource,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DocumentEffect {
    /// Fetch the document that is in force at a source.
    Fetch {
        /// The source.
        source: DocumentSource,
    },
    /// Bring a document into force; its bytes have its digest.
    Apply(SequencedDocument),
}

/// How documents are fetched.
#[derive(Clone, Copy, Debug)]
pub struct FetchPolicy {
    /// How long one fetch may take.
    pub timeout: Duration,
    /// The pauses after every source has failed once more.
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

/// The document in force and what sources have. It only ever goes to higher sequence numbers.
#[derive(Clone, Debug)]
pub struct DocumentView {
    policy: FetchPolicy,
    in_force: Option<SequenceNumber>,
    sources: BTreeMap<DocumentSource, SourceRecord>,
    fetch: FetchState,
    rounds: u32,
}

/// The highest sequence number seen at a source, and whether it failed in this round of fetches.
#[derive(Clone, Copy, Debug)]
struct SourceRecord {
    sequence: SequenceNumber,
    failed: bool,
}

#[derive(Clone, Debug)]
enum FetchState {
    Idle,
    Pausing {
        until: Instant,
    },
    Open {
        source: DocumentSource,
        deadline: Instant,
    },
}

impl DocumentView {
    /// A view with no document in force.
    pub fn new(policy: FetchPolicy) -> Self {
        Self {
            policy,
            in_force: None,
            sources: BTreeMap::new(),
            fetch: FetchState::Idle,
            rounds: 0,
        }
    }

    /// The sequence number in force; none before the first document.
    pub fn sequence(&self) -> Option<SequenceNumber> {
        self.in_force
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Instant,
        event: DocumentEvent,
        effects: &mut Vec<DocumentEffect>,
    ) {
        match event {
            DocumentEvent::SequenceSeen { source, sequence } => self.see(source, sequence),
            DocumentEvent::Fetched { source, document } => {
                self.take_document(&source, document, effects);
            }
            DocumentEvent::FetchFailed { source } => self.fail_fetch(&source),
            DocumentEvent::Tick => self.expire_fetch(now),
        }
        self.fetch_next(now, effects);
    }

    fn is_newer(&self, sequence: SequenceNumber) -> bool {
        sequence > self.in_force.unwrap_or_default()
    }

    fn see(&mut self, source: DocumentSource, sequence: SequenceNumber) {
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
        if matches!(self.fetch, FetchState::Pausing { .. }) {
            self.fetch = FetchState::Idle;
        }
    }

    /// A document with other bytes than its digest says, or an old one, counts as a failed fetch.
    fn take_document(
        &mut self,
        source: &DocumentSource,
        document: SequencedDocument,
        effects: &mut Vec<DocumentEffect>,
    ) {
        let whole = digest_document(&document.bytes) == document.digest;
        if !whole || !self.is_newer(document.sequence) {
            self.fail_fetch(source);
            return;
        }
        self.end_fetch(source);
        self.in_force = Some(document.sequence);
        self.rounds = 0;
        self.sources
            .retain(|_, known| known.sequence > document.sequence);
        effects.push(DocumentEffect::Apply(document));
    }

    fn end_fetch(&mut self, ended: &DocumentSource) {
        if matches!(&self.fetch, FetchState::Open { source, .. } if source == ended) {
            self.fetch = FetchState::Idle;
        }
    }

    fn fail_fetch(&mut self, failed: &DocumentSource) {
        if matches!(&self.fetch, FetchState::Open { source, .. } if source == failed) {
            self.fetch = FetchState::Idle;
            if let Some(known) = self.sources.get_mut(failed) {
                known.failed = true;
            }
        }
    }

    fn expire_fetch(&mut self, now: Instant) {
        match &self.fetch {
            FetchState::Open { source, deadline } if *deadline <= now => {
                let source = source.clone();
                self.fail_fetch(&source);
            }
            FetchState::Pausing { until } if *until <= now => self.fetch = FetchState::Idle,
            _ => {}
        }
    }

    /// Fetches from the source with the highest sequence number that has not failed in this round.
    fn fetch_next(&mut self, now: Instant, effects: &mut Vec<DocumentEffect>) {
        if !matches!(self.fetch, FetchState::Idle) || self.sources.is_empty() {
            return;
        }
        let open = self.sources.iter().filter(|(_, known)| !known.failed);
        // Of equal sources the first is taken, and the platform's service comes before peers.
        let best = open.rev().max_by_key(|(_, known)| known.sequence);
        let Some((source, _)) = best else {
            self.pause(now);
            return;
        };
        let source = source.clone();
        let deadline = now + self.policy.timeout;
        self.fetch = FetchState::Open {
            source: source.clone(),
            deadline,
        };
        effects.push(DocumentEffect::Fetch { source });
    }

    fn pause(&mut self, now: Instant) {
        self.rounds += 1;
        for known in self.sources.values_mut() {
            known.failed = false;
        }
        let until = now + self.policy.backoff.pause(self.rounds);
        self.fetch = FetchState::Pausing { until };
    }
}
