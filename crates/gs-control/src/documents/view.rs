//! Which document is in force at an entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_document::digest_document;
use gs_protocol::ids::EntryName;
use gs_protocol::objects::HeadRecord;

use super::BackoffPolicy;

/// Where a head was seen and a body can be had.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DocumentSource {
    /// The platform's service.
    Platform,
    /// Another entry.
    Peer(EntryName),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum DocumentEvent {
    /// A head was read or announced.
    HeadSeen {
        /// Where.
        source: DocumentSource,
        /// The head.
        head: HeadRecord,
    },
    /// Bytes came that were fetched under a digest.
    BodyFetched {
        /// The digest that was asked for.
        digest: String,
        /// The bytes.
        bytes: Arc<[u8]>,
    },
    /// A fetch failed.
    FetchFailed {
        /// The digest that was asked for.
        digest: String,
        /// Where it was asked for.
        source: DocumentSource,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DocumentEffect {
    /// Fetch the bytes of a document.
    FetchBody {
        /// The digest.
        digest: String,
        /// Where.
        source: DocumentSource,
    },
    /// Bring a document into force.
    Apply {
        /// How it came to be accepted.
        head: HeadRecord,
        /// Its bytes, which have the head's digest.
        bytes: Arc<[u8]>,
    },
}

/// How bodies are fetched.
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

/// The document in force and the newest one known. It only ever goes to higher sequence numbers.
#[derive(Clone, Debug)]
pub struct DocumentView {
    policy: FetchPolicy,
    in_force: Option<ForceRecord>,
    newest: Option<NewestHead>,
    fetch: FetchState,
}

#[derive(Clone, Debug)]
struct ForceRecord {
    head: HeadRecord,
    bytes: Arc<[u8]>,
}

/// The highest head seen, with the sources that announced it; failed fetches of its body in this round,
/// and rounds in which every source failed.
#[derive(Clone, Debug)]
struct NewestHead {
    head: HeadRecord,
    sources: Vec<DocumentSource>,
    failures: usize,
    rounds: u32,
}

#[derive(Clone, Debug)]
enum FetchState {
    Idle,
    Pausing {
        until: Instant,
    },
    Open {
        head: HeadRecord,
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
            newest: None,
            fetch: FetchState::Idle,
        }
    }

    /// The head of the document in force.
    pub fn head(&self) -> Option<&HeadRecord> {
        self.in_force.as_ref().map(|force| &force.head)
    }

    /// The bytes of the document in force, to be given to entries that ask by its digest.
    pub fn body(&self, digest: &str) -> Option<Arc<[u8]>> {
        let force = self.in_force.as_ref()?;
        (force.head.digest == digest).then(|| Arc::clone(&force.bytes))
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Instant,
        event: DocumentEvent,
        effects: &mut Vec<DocumentEffect>,
    ) {
        match event {
            DocumentEvent::HeadSeen { source, head } => self.see_head(source, head),
            DocumentEvent::BodyFetched { digest, bytes } => {
                self.take_body(now, &digest, bytes, effects);
            }
            DocumentEvent::FetchFailed { digest, source } => {
                self.fail_fetch(now, &digest, &source);
            }
            DocumentEvent::Tick => self.expire_fetch(now),
        }
        self.advance(now, effects);
    }

    fn see_head(&mut self, source: DocumentSource, head: HeadRecord) {
        let lowest = self.head().map(|head| head.sequence);
        if lowest.is_some_and(|lowest| head.sequence <= lowest) {
            return;
        }
        match &mut self.newest {
            Some(newest) if newest.head.sequence > head.sequence => {}
            Some(newest) if newest.head.sequence == head.sequence => {
                if newest.head == head && !newest.sources.contains(&source) {
                    newest.sources.push(source);
                }
            }
            _ => {
                self.newest = Some(NewestHead {
                    head,
                    sources: vec![source],
                    failures: 0,
                    rounds: 0,
                });
                self.end_pause();
            }
        }
    }

    fn end_pause(&mut self) {
        if matches!(self.fetch, FetchState::Pausing { .. }) {
            self.fetch = FetchState::Idle;
        }
    }

    /// Bytes that do not have the digest they were fetched under count as a failed fetch.
    fn take_body(
        &mut self,
        now: Instant,
        digest: &str,
        bytes: Arc<[u8]>,
        effects: &mut Vec<DocumentEffect>,
    ) {
        if digest_document(&bytes) != digest {
            if let FetchState::Open { source, .. } = &self.fetch {
                let source = source.clone();
                self.fail_fetch(now, digest, &source);
            }
            return;
        }
        if let FetchState::Open { head, .. } = &self.fetch
            && head.digest == digest
        {
            let head = head.clone();
            self.fetch = FetchState::Idle;
            self.apply(head, Arc::clone(&bytes), effects);
        }
        if let Some(newest) = &self.newest
            && newest.head.digest == digest
        {
            let head = newest.head.clone();
            self.apply(head, bytes, effects);
        }
    }

    fn fail_fetch(&mut self, now: Instant, digest: &str, failed: &DocumentSource) {
        let FetchState::Open { head, source, .. } = &self.fetch else {
            return;
        };
        if head.digest != digest || source != failed {
            return;
        }
        let sequence = head.sequence;
        self.fetch = FetchState::Idle;
        if let Some(newest) = &mut self.newest
            && newest.head.sequence == sequence
            && newest.count_failure()
        {
            newest.rounds += 1;
            let pause = self.policy.backoff.pause(newest.rounds);
            self.fetch = FetchState::Pausing { until: now + pause };
        }
    }

    fn expire_fetch(&mut self, now: Instant) {
        match &self.fetch {
            FetchState::Open {
                head,
                source,
                deadline,
            } if *deadline <= now => {
                let (digest, source) = (head.digest.clone(), source.clone());
                self.fail_fetch(now, &digest, &source);
            }
            FetchState::Pausing { until } if *until <= now => self.fetch = FetchState::Idle,
            _ => {}
        }
    }

    /// Applies or fetches the newest head, unless a fetch is open or pausing.
    fn advance(&mut self, now: Instant, effects: &mut Vec<DocumentEffect>) {
        let Some(newest) = &self.newest else {
            return;
        };
        let head = newest.head.clone();
        if let Some(bytes) = self.body(&head.digest) {
            self.apply(head, bytes, effects);
            return;
        }
        if !matches!(self.fetch, FetchState::Idle) {
            return;
        }
        let candidates = newest.candidates();
        let source = candidates[newest.failures].clone();
        effects.push(DocumentEffect::FetchBody {
            digest: head.digest.clone(),
            source: source.clone(),
        });
        self.fetch = FetchState::Open {
            head,
            source,
            deadline: now + self.policy.timeout,
        };
    }

    fn apply(&mut self, head: HeadRecord, bytes: Arc<[u8]>, effects: &mut Vec<DocumentEffect>) {
        let lowest = self.head().map(|head| head.sequence);
        if lowest.is_some_and(|lowest| head.sequence <= lowest) {
            return;
        }
        if let Some(newest) = &self.newest
            && newest.head.sequence <= head.sequence
        {
            self.newest = None;
            self.fetch = FetchState::Idle;
        }
        self.in_force = Some(ForceRecord {
            head: head.clone(),
            bytes: Arc::clone(&bytes),
        });
        effects.push(DocumentEffect::Apply { head, bytes });
    }
}

impl NewestHead {
    /// Counts a failed fetch; true if every source has failed in this round.
    fn count_failure(&mut self) -> bool {
        self.failures += 1;
        let round_over = self.failures >= self.candidates().len();
        if round_over {
            self.failures = 0;
        }
        round_over
    }

    /// Sources in the order in which they are asked.
    fn candidates(&self) -> Vec<DocumentSource> {
        let mut candidates = self.sources.clone();
        if !candidates.contains(&DocumentSource::Platform) {
            candidates.push(DocumentSource::Platform);
        }
        candidates
    }
}
