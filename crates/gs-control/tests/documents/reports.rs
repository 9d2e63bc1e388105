//! What entries report over several starts.

use gs_control::documents::{AppliedTrack, join_reports};
use gs_protocol::ids::{Incarnation, SequenceNumber};
use gs_protocol::objects::StatusRecord;
use test_case::test_case;

fn report(incarnation: u64, applied: &[u64]) -> StatusRecord {
    let mut track = AppliedTrack::new(Incarnation(incarnation));
    for sequence in applied {
        track.record(
            SequenceNumber(*sequence),
            "digest",
            sequence * 10 + incarnation,
        );
    }
    track.report().expect("something was applied")
}

#[test_case(&[1, 2], &[3, 4], &[(4, 42), (3, 32), (2, 21), (1, 11)]; "newer documents")]
#[test_case(&[1, 2], &[2, 3], &[(3, 32), (2, 22), (1, 11)]; "the same document again")]
#[test_case(&[4, 5], &[3], &[(3, 32), (5, 51), (4, 41)]; "learnt from a peer that is behind")]
fn a_new_start_keeps_what_the_old_one_reported(
    before: &[u64],
    after: &[u64],
    expected: &[(u64, u64)],
) {
    let joined = join_reports(&report(2, after), &report(1, before));
    let earlier = joined.earlier.iter();
    let mut told = vec![(joined.sequence.0, joined.since_ms)];
    told.extend(earlier.map(|applied| (applied.sequence.0, applied.since_ms)));
    assert_eq!(told, expected);
}

#[test]
fn a_report_stays_bounded() {
    let before = report(1, &(1..=500).collect::<Vec<_>>());
    let joined = join_reports(&report(2, &[501, 502]), &before);
    assert_eq!(joined.earlier.len(), 64);
    assert_eq!(
        joined.earlier.last().map(|applied| applied.sequence.0),
        Some(438)
    );
}
