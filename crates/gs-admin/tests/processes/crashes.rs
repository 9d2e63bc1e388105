//! An operation is retried after its daemon was killed between two writes, and after a platform outage.

use std::time::Duration;

use gs_platform::Platform;
use gs_protocol::admin::AdminReason;
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{HeadRecord, history_key};
use gs_protocol::refusal::RequestOutcome;
use gs_standin::platform::{FaultSwitches, OutageKind};
use test_case::test_case;

use crate::support::{ALICE, BOB, PlatformFixture, document, operation_key};

/// Kills the daemon after the write of the document, the history record, the proof or the head, before
/// the platform answers that write. The retry at another daemon must leave history complete.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[actix_rt::test]
async fn a_crash_after_a_write_leaves_no_gap_in_history(writes: u64) {
    let fixture = PlatformFixture::start();
    let (first_admin, second_admin) = (fixture.start_admin(), fixture.start_admin());
    first_admin
        .try_document(ALICE, operation_key(1, 0), &document("first"))
        .await
        .accepted();
    let writes_before = fixture.stats().await.writes;
    fixture
        .set_faults(FaultSwitches {
            slow_answer_ms: 200,
            ..FaultSwitches::default()
        })
        .await;
    let reach_write = async {
        while fixture.stats().await.writes < writes_before + writes {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fixture.set_faults(FaultSwitches::default()).await;
    };
    let tried = document("second");
    let interrupted_try = async {
        tokio::select! {
            _ = first_admin.try_document(ALICE, operation_key(2, 1), &tried) => {}
            () = reach_write => {}
        }
    };
    interrupted_try.await;
    first_admin.kill();
    let retry = second_admin
        .try_document(ALICE, operation_key(2, 1), &tried)
        .await
        .accepted();
    assert_eq!(retry.head.sequence, SequenceNumber(2));
    second_admin
        .try_document(BOB, operation_key(3, 2), &document("third"))
        .await
        .accepted();
    check_history(&fixture, 3).await;
}

/// Checks that every sequence number before the last has its history record.
async fn check_history(fixture: &PlatformFixture, last: u64) {
    let platform = fixture.platform();
    for sequence in (1..last).map(SequenceNumber) {
        let record = platform.read(&history_key("trial", sequence)).await;
        let record = record.expect("read").expect("no gap");
        let head: HeadRecord = serde_json::from_slice(&record.value).expect("a head");
        assert_eq!(head.sequence, sequence);
    }
}

#[test_case(OutageKind::Refuse)]
#[test_case(OutageKind::Close)]
#[test_case(OutageKind::Silent)]
#[actix_rt::test]
async fn an_outage_is_reported_and_the_operation_can_be_retried(outage: OutageKind) {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    fixture
        .set_faults(FaultSwitches {
            outage,
            ..FaultSwitches::default()
        })
        .await;
    let tried = document("first");
    let problem = admin
        .try_document(ALICE, operation_key(1, 0), &tried)
        .await
        .problem();
    assert_eq!(problem.reason, AdminReason::PlatformUnavailable);
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
    fixture.set_faults(FaultSwitches::default()).await;
    assert_eq!(admin.head("trial").await.head, None);
    let answer = admin
        .try_document(ALICE, operation_key(1, 0), &tried)
        .await
        .accepted();
    assert!(!answer.repeated);
}
