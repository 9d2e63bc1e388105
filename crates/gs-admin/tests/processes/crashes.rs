//! The daemon dies at each step of an operation, and another one repeats it.

use std::time::Duration;

use gs_platform::Platform;
use gs_protocol::admin::AdminReason;
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{HeadRecord, history_key};
use gs_protocol::refusal::RequestOutcome;
use gs_standin::platform::{FaultSwitches, OutageKind};
use test_case::test_case;

use crate::support::{ALICE, BOB, Bench, document, ticket};

/// Writes of the bytes, the history record, the proof and the head.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[actix_rt::test]
async fn a_crash_after_a_write_leaves_no_gap_in_history(writes: u64) {
    let bench = Bench::start();
    let (first, second) = (bench.start_admin(), bench.start_admin());
    first
        .try_document(ALICE, ticket(1, 0), &document("first"))
        .await
        .accepted();
    let before = bench.stats().await.writes;
    bench
        .switch(FaultSwitches {
            slow_answer_ms: 200,
            ..FaultSwitches::default()
        })
        .await;
    let kill = async {
        while bench.stats().await.writes < before + writes {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        bench.switch(FaultSwitches::default()).await;
    };
    let tried = document("second");
    let cut = async {
        tokio::select! {
            _ = first.try_document(ALICE, ticket(2, 1), &tried) => {}
            () = kill => {}
        }
    };
    cut.await;
    first.kill();
    let repeat = second
        .try_document(ALICE, ticket(2, 1), &tried)
        .await
        .accepted();
    assert_eq!(repeat.head.sequence, SequenceNumber(2));
    second
        .try_document(BOB, ticket(3, 2), &document("third"))
        .await
        .accepted();
    check_history(&bench, 3).await;
}

/// Every sequence number but the last has its record.
async fn check_history(bench: &Bench, last: u64) {
    let platform = bench.platform();
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
async fn an_outage_is_told_truthfully_and_the_operation_goes_through_later(outage: OutageKind) {
    let bench = Bench::start();
    let admin = bench.start_admin();
    bench
        .switch(FaultSwitches {
            outage,
            ..FaultSwitches::default()
        })
        .await;
    let tried = document("first");
    let problem = admin
        .try_document(ALICE, ticket(1, 0), &tried)
        .await
        .problem();
    assert_eq!(problem.reason, AdminReason::PlatformUnavailable);
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
    bench.switch(FaultSwitches::default()).await;
    assert_eq!(admin.head("trial").await.head, None);
    let answer = admin
        .try_document(ALICE, ticket(1, 0), &tried)
        .await
        .accepted();
    assert!(!answer.repeated);
}
