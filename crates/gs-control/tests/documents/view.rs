//! What an entry applies, whatever is announced, fetched, lost or forged.

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
    /// The entry hears what is in force at a source.
    Announce(usize),
    /// The source of the open fetch answers.
    Answer,
    /// It answers with bytes that have another digest.
    Forge,
    /// A source answers that was asked long ago.
    AnswerLate(usize),
    /// The fetch fails.
    Fail,
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

fn source(place: usize) -> DocumentSource {
    match place {
        0 => DocumentSource::Platform,
        _ => DocumentSource::Peer(EntryName::new(format!("entry-{place}"))),
    }
}

struct Daemon {
    view: DocumentView,
    now: Instant,
    in_force_at: [u64; SOURCES],
    announced: [u64; SOURCES],
    open: Vec<DocumentSource>,
    asked: Vec<DocumentSource>,
    applied: Vec<u64>,
}

impl Daemon {
    fn new() -> Self {
        Self {
            view: DocumentView::new(FetchPolicy::default()),
            now: Instant::now(),
            in_force_at: [0; SOURCES],
            announced: [0; SOURCES],
            open: Vec::new(),
            asked: Vec::new(),
            applied: Vec::new(),
        }
    }

    fn handle(&mut self, event: DocumentEvent) -> Result<(), TestCaseError> {
        let mut effects = Vec::new();
        self.view.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                DocumentEffect::Fetch { source } => {
                    self.asked.push(source.clone());
                    self.open.push(source);
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

    fn answer(&mut self, source: DocumentSource, forged: bool) -> Result<(), TestCaseError> {
        let place = (0..SOURCES).find(|place| self::source(*place) == source);
        let sequence = self.in_force_at[place.expect("a known source")];
        if sequence == 0 {
            return self.handle(DocumentEvent::FetchFailed { source });
        }
        let mut document = document(sequence);
        if forged {
            document.bytes = b"forged".as_slice().into();
        }
        self.handle(DocumentEvent::Fetched { source, document })
    }

    fn take(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Accept(place, sequence) => {
                self.in_force_at[place] = self.in_force_at[place].max(sequence);
                Ok(())
            }
            Step::Announce(place) => {
                let sequence = self.in_force_at[place];
                self.announced[place] = sequence;
                self.handle(DocumentEvent::SequenceSeen {
                    source: source(place),
                    sequence: SequenceNumber(sequence),
                })
            }
            Step::AnswerLate(place) => self.answer(source(place), false),
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                self.handle(DocumentEvent::Tick)
            }
            Step::Answer | Step::Forge | Step::Fail => match (self.open.pop(), step) {
                (None, _) => Ok(()),
                (Some(source), Step::Fail) => self.handle(DocumentEvent::FetchFailed { source }),
                (Some(source), _) => self.answer(source, matches!(step, Step::Forge)),
            },
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..SOURCES, 1..9_u64).prop_map(|(place, sequence)| Step::Accept(place, sequence)),
        5 => (0..SOURCES).prop_map(Step::Announce),
        3 => Just(Step::Answer),
        1 => Just(Step::Forge),
        1 => (0..SOURCES).prop_map(Step::AnswerLate),
        2 => Just(Step::Fail),
        2 => (0..2_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..80)
}

#[test]
fn an_entry_never_reverts_and_ends_at_the_newest_of_live_sources() {
    check(2_000, &(steps(), 0..SOURCES), |(steps, dead)| {
        let mut daemon = Daemon::new();
        steps.into_iter().try_for_each(|step| daemon.take(step))?;
        for _ in 0..6 * SOURCES {
            let step = match daemon.open.last() {
                None => Step::Wait(5_000),
                Some(asked) if *asked == source(dead) => {
                    daemon.open.pop();
                    Step::Wait(5_000)
                }
                Some(_) => Step::Answer,
            };
            daemon.take(step)?;
        }
        let live = (0..SOURCES).filter(|place| *place != dead);
        let newest = live.map(|place| daemon.announced[place]).max();
        let applied = daemon.applied.last().copied();
        prop_assert!(applied.unwrap_or_default() >= newest.unwrap_or_default());
        Ok(())
    });
}

#[test]
fn an_entry_that_starts_in_an_outage_learns_the_highest_of_its_peers() {
    let mut daemon = Daemon::new();
    let steps = [
        Step::Accept(1, 2),
        Step::Accept(2, 5),
        Step::Announce(1),
        Step::Announce(2),
        Step::Fail,
        Step::Answer,
    ];
    let outcome = steps.into_iter().try_for_each(|step| daemon.take(step));
    outcome.expect("no check fails");
    assert_eq!(daemon.applied, [5]);
    assert_eq!(daemon.asked, [source(1), source(2)]);
}
