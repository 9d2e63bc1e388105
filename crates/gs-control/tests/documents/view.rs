//! What an entry applies, whatever is announced, fetched, lost or forged.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::documents::{
    DocumentEffect, DocumentEvent, DocumentSource, DocumentView, FetchPolicy,
};
use gs_document::digest_document;
use gs_protocol::ids::{EntryName, OperationId, OperatorName, SequenceNumber};
use gs_protocol::objects::HeadRecord;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use uuid::Uuid;

use crate::support::check;

const HEADS: u64 = 6;
const SOURCES: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Announce(u64, usize),
    Answer,
    AnswerForged,
    AnswerStale(u64),
    Fail,
    Wait(u64),
}

/// Heads 1 to 3 have their own bytes; the later ones are roll-backs to the same.
fn body(sequence: u64) -> Arc<[u8]> {
    format!("document {}", sequence % 3).into_bytes().into()
}

fn head(sequence: u64) -> HeadRecord {
    HeadRecord {
        sequence: SequenceNumber(sequence),
        digest: digest_document(&body(sequence)),
        previous: None,
        accepted_at_ms: sequence,
        operator: OperatorName::new("operator"),
        operation: OperationId(Uuid::from_u128(u128::from(sequence))),
        roll_back: false,
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
    open: Vec<(String, DocumentSource)>,
    asked: Vec<DocumentSource>,
    applied: Vec<SequenceNumber>,
    announced: u64,
}

impl Daemon {
    fn new() -> Self {
        Self {
            view: DocumentView::new(FetchPolicy::default()),
            now: Instant::now(),
            open: Vec::new(),
            asked: Vec::new(),
            applied: Vec::new(),
            announced: 0,
        }
    }

    fn handle(&mut self, event: DocumentEvent) -> Result<(), TestCaseError> {
        let mut effects = Vec::new();
        self.view.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                DocumentEffect::FetchBody { digest, source } => {
                    self.asked.push(source.clone());
                    self.open.push((digest, source));
                }
                DocumentEffect::Apply { head, bytes } => {
                    prop_assert_eq!(digest_document(&bytes), head.digest);
                    prop_assert!(self.applied.last().is_none_or(|last| *last < head.sequence));
                    self.applied.push(head.sequence);
                }
            }
        }
        Ok(())
    }

    fn answer(&mut self, bytes_of: impl Fn(&str) -> Arc<[u8]>) -> Result<(), TestCaseError> {
        let Some((digest, _)) = self.open.pop() else {
            return Ok(());
        };
        let bytes = bytes_of(&digest);
        self.handle(DocumentEvent::BodyFetched { digest, bytes })
    }

    fn take(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Announce(sequence, place) => {
                self.announced = self.announced.max(sequence);
                self.handle(DocumentEvent::HeadSeen {
                    source: source(place),
                    head: head(sequence),
                })
            }
            Step::Answer => self.answer(true_body),
            Step::AnswerForged => self.answer(|_| b"forged".as_slice().into()),
            Step::AnswerStale(sequence) => self.handle(DocumentEvent::BodyFetched {
                digest: head(sequence).digest,
                bytes: body(sequence),
            }),
            Step::Fail => match self.open.pop() {
                Some((digest, source)) => {
                    self.handle(DocumentEvent::FetchFailed { digest, source })
                }
                None => Ok(()),
            },
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                self.handle(DocumentEvent::Tick)
            }
        }
    }
}

fn true_body(digest: &str) -> Arc<[u8]> {
    let sequence = (1..=HEADS).find(|sequence| head(*sequence).digest == digest);
    body(sequence.expect("a known digest"))
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..=HEADS, 0..SOURCES).prop_map(|(sequence, place)| Step::Announce(sequence, place)),
        3 => Just(Step::Answer),
        1 => Just(Step::AnswerForged),
        1 => (1..=HEADS).prop_map(Step::AnswerStale),
        2 => Just(Step::Fail),
        2 => (0..2_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..80)
}

#[test]
fn an_entry_never_reverts_and_ends_at_the_newest() {
    check(2_000, &steps(), |steps| {
        let mut daemon = Daemon::new();
        steps.into_iter().try_for_each(|step| daemon.take(step))?;
        for _ in 0..4 {
            daemon.take(Step::Wait(5_000))?;
            daemon.take(Step::Answer)?;
        }
        let applied = daemon.applied.last().map_or(0, |sequence| sequence.0);
        prop_assert_eq!(applied, daemon.announced);
        Ok(())
    });
}

#[test]
fn an_entry_that_starts_in_an_outage_learns_from_its_peers() {
    let mut daemon = Daemon::new();
    let steps = [
        Step::Announce(2, 1),
        Step::Announce(5, 2),
        Step::Fail,
        Step::Answer,
    ];
    let outcome = steps.into_iter().try_for_each(|step| daemon.take(step));
    outcome.expect("no check fails");
    assert_eq!(daemon.applied, [SequenceNumber(5)]);
    assert!(!daemon.asked.contains(&DocumentSource::Platform));
}
