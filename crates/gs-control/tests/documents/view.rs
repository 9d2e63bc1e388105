//! Which documents an entry applies when sequence numbers are reported and fetches succeed, fail,
//! time out or return wrong bytes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::documents::{
    DocumentEffect, DocumentEvent, DocumentSource, DocumentView, FetchPolicy, SequencedDocument,
};
use gs_document::digest_document;
use gs_protocol::ids::{EntryName, SequenceNumber};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::support::check;

const SOURCES: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The document in force at a source changes.
    Accept(usize, u64),
    /// The entry observes the sequence number in force at a source.
    Observe(usize),
    /// The fetch in progress succeeds.
    Answer,
    /// The fetch in progress returns bytes that do not match the digest.
    Corrupt,
    /// A source returns its document for an earlier fetch.
    AnswerLate(usize),
    /// The fetch in progress fails.
    Fail,
    /// Milliseconds pass.
    Wait(u64),
}

fn document(sequence: u64) -> SequencedDocument {
    // Every third document has the same bytes, as after a roll-back.
    let bytes: Arc<[u8]> = format!("document {}", sequence % 3).into_bytes().into();
    SequencedDocument {
        sequence: SequenceNumber(sequence),
        digest: digest_document(&bytes),
        bytes,
    }
}

fn source(index: usize) -> DocumentSource {
    match index {
        0 => DocumentSource::Platform,
        _ => DocumentSource::Peer(EntryName::new(format!("entry-{index}"))),
    }
}

/// One entry's document view with a manual clock and simulated sources.
struct ViewHarness {
    view: DocumentView,
    now: Instant,
    in_force_at: [u64; SOURCES],
    observed: [u64; SOURCES],
    /// Sources of fetches that have not been answered.
    pending: Vec<DocumentSource>,
    /// Sources of all fetches, in order.
    requested: Vec<DocumentSource>,
    applied: Vec<u64>,
}

impl ViewHarness {
    fn new() -> Self {
        Self {
            view: DocumentView::new(FetchPolicy::default()),
            now: Instant::now(),
            in_force_at: [0; SOURCES],
            observed: [0; SOURCES],
            pending: Vec::new(),
            requested: Vec::new(),
            applied: Vec::new(),
        }
    }

    fn handle(&mut self, event: DocumentEvent) -> Result<(), TestCaseError> {
        let mut effects = Vec::new();
        self.view.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                DocumentEffect::Fetch { source } => {
                    self.requested.push(source.clone());
                    self.pending.push(source);
                }
                DocumentEffect::Apply(applied) => {
                    let sequence = applied.sequence.0;
                    prop_assert_eq!(&applied, &document(sequence));
                    prop_assert!(self.applied.last().is_none_or(|last| *last < sequence));
                    self.applied.push(sequence);
                }
            }
        }
        Ok(())
    }

    fn answer(&mut self, source: DocumentSource, is_corrupt: bool) -> Result<(), TestCaseError> {
        let index = (0..SOURCES).find(|index| self::source(*index) == source);
        let sequence = self.in_force_at[index.expect("a known source")];
        if sequence == 0 {
            return self.handle(DocumentEvent::FetchFailed { source });
        }
        let mut document = document(sequence);
        if is_corrupt {
            document.bytes = b"forged".as_slice().into();
        }
        self.handle(DocumentEvent::Fetched { source, document })
    }

    fn apply_step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Accept(index, sequence) => {
                self.in_force_at[index] = self.in_force_at[index].max(sequence);
                Ok(())
            }
            Step::Observe(index) => {
                let sequence = self.in_force_at[index];
                self.observed[index] = sequence;
                self.handle(DocumentEvent::SequenceObserved {
                    source: source(index),
                    sequence: SequenceNumber(sequence),
                })
            }
            Step::AnswerLate(index) => self.answer(source(index), false),
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                self.handle(DocumentEvent::Tick)
            }
            Step::Answer | Step::Corrupt | Step::Fail => match (self.pending.pop(), step) {
                (None, _) => Ok(()),
                (Some(source), Step::Fail) => self.handle(DocumentEvent::FetchFailed { source }),
                (Some(source), _) => self.answer(source, matches!(step, Step::Corrupt)),
            },
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..SOURCES, 1..9_u64).prop_map(|(index, sequence)| Step::Accept(index, sequence)),
        5 => (0..SOURCES).prop_map(Step::Observe),
        3 => Just(Step::Answer),
        1 => Just(Step::Corrupt),
        1 => (0..SOURCES).prop_map(Step::AnswerLate),
        2 => Just(Step::Fail),
        2 => (0..2_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..80)
}

#[test]
fn sequences_only_increase_and_reach_the_newest_of_live_sources() {
    check(2_000, &(steps(), 0..SOURCES), |(steps, dead)| {
        let mut harness = ViewHarness::new();
        steps
            .into_iter()
            .try_for_each(|step| harness.apply_step(step))?;
        for _ in 0..6 * SOURCES {
            let step = match harness.pending.last() {
                None => Step::Wait(5_000),
                Some(requested) if *requested == source(dead) => {
                    harness.pending.pop();
                    Step::Wait(5_000)
                }
                Some(_) => Step::Answer,
            };
            harness.apply_step(step)?;
        }
        let live = (0..SOURCES).filter(|index| *index != dead);
        let newest = live.map(|index| harness.observed[index]).max();
        let applied = harness.applied.last().copied();
        prop_assert!(applied.unwrap_or_default() >= newest.unwrap_or_default());
        Ok(())
    });
}

#[test]
fn an_entry_without_the_platform_applies_the_newest_document_of_its_peers() {
    let mut harness = ViewHarness::new();
    let steps = [
        Step::Accept(1, 2),
        Step::Accept(2, 5),
        Step::Observe(1),
        Step::Observe(2),
        Step::Fail,
        Step::Answer,
    ];
    let outcome = steps
        .into_iter()
        .try_for_each(|step| harness.apply_step(step));
    outcome.expect("all steps pass");
    assert_eq!(harness.applied, [5]);
    assert_eq!(harness.requested, [source(1), source(2)]);
}
