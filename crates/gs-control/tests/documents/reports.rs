//! Status records of an entry over several incarnations.

use gs_control::documents::{AppliedHistory, merge_status_records};
use gs_protocol::ids::{Incarnation, SequenceNumber};
use gs_protocol::objects::StatusRecord;
use test_case::test_case;

fn build_status_record(incarnation: u64, applied: &[u64]) -> StatusRecord {
    let mut history = AppliedHistory::new(Incarnation(incarnation));
    for sequence in applied {
        history.record(
            SequenceNumber(*sequence),
            "digest",
            sequence * 10 + incarnation,
        );
    }
    history.status_record().expect("a document was applied")
}

#[test_case(&[1, 2], &[3, 4], &[(4, 42), (3, 32), (2, 21), (1, 11)]; "newer documents")]
#[test_case(&[1, 2], &[2, 3], &[(3, 32), (2, 22), (1, 11)]; "the same document again")]
#[test_case(&[4, 5], &[3], &[(3, 32), (5, 51), (4, 41)]; "an older document from a peer that is behind")]
fn a_restarted_entry_keeps_its_earlier_documents(
    before: &[u64],
    after: &[u64],
    expected: &[(u64, u64)],
) {
    let merged = merge_status_records(
        &build_status_record(2, after),
        &build_status_record(1, before),
    );
    let earlier = merged.earlier.iter();
    let mut documents = vec![(merged.sequence.0, merged.since_ms)];
    documents.extend(earlier.map(|applied| (applied.sequence.0, applied.since_ms)));
    assert_eq!(documents, expected);
}

#[test]
fn a_merged_status_record_is_bounded() {
    let before = build_status_record(1, &(1..=500).collect::<Vec<_>>());
    let merged = merge_status_records(&build_status_record(2, &[501, 502]), &before);
    assert_eq!(merged.earlier.len(), 64);
    assert_eq!(
        merged.earlier.last().map(|applied| applied.sequence.0),
        Some(438)
    );
}
