//! Documents are accepted, also when operators race and when answers of the platform are lost.

use gs_document::digest_document;
use gs_protocol::admin::{AdminReason, CheckReport, RollBackRequest};
use gs_protocol::ids::SequenceNumber;
use gs_protocol::refusal::RequestOutcome;
use gs_standin::platform::FaultSwitches;
use test_case::test_case;

use crate::support::{ALICE, BOB, PlatformFixture, document, operation_key};

#[actix_rt::test]
async fn a_document_goes_unchanged_from_trial_to_production_and_back() {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    let (first, second) = (document("first"), document("second"));
    let unproven = admin
        .promote(ALICE, operation_key(1, 0), &first)
        .await
        .problem();
    assert_eq!(unproven.reason, AdminReason::NotProven);
    admin
        .try_document(ALICE, operation_key(2, 0), &first)
        .await
        .accepted();
    admin
        .try_document(ALICE, operation_key(3, 1), &second)
        .await
        .accepted();
    admin
        .promote(ALICE, operation_key(4, 0), &first)
        .await
        .accepted();
    admin
        .promote(BOB, operation_key(5, 1), &second)
        .await
        .accepted();
    let request = RollBackRequest {
        environment: None,
        sequence: SequenceNumber(1),
        operation: operation_key(6, 0).operation,
        expected: SequenceNumber(2),
    };
    let rolled_back = admin.post("rollback", BOB, &request).await.accepted().head;
    assert_eq!((rolled_back.sequence.0, rolled_back.roll_back), (3, true));
    assert_eq!(rolled_back.digest, digest_document(&first));
    let fetched = admin
        .get(&format!("documents/{}", rolled_back.digest), BOB)
        .await;
    assert_eq!(fetched.body, first);
    let history = admin.history("production").await;
    let heads = history.entries.iter().map(|entry| &entry.head);
    let entries: Vec<_> = heads
        .map(|head| (head.sequence.0, head.operator.as_str()))
        .collect();
    assert_eq!(entries, [(3, "bob"), (2, "bob"), (1, "alice")]);
}

#[actix_rt::test]
async fn an_invalid_document_is_refused_with_all_its_mistakes() {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    let broken = br#"{ "callers": { "desk": { "rank": "high" } }, "modles": {} }"#;
    let tried = admin
        .try_document(ALICE, operation_key(1, 0), broken)
        .await
        .problem();
    assert_eq!(tried.reason, AdminReason::InvalidDocument);
    let path = "/admin/v1/check";
    let checked = admin
        .send(actix_web::http::Method::POST, path, ALICE, broken.to_vec())
        .await;
    let report: CheckReport = checked.parse();
    assert!(report.mistakes.len() > 2, "{report:?}");
    assert_eq!(report.mistakes, tried.mistakes);
    assert_eq!(admin.head("trial").await.head, None);
}

#[actix_rt::test]
async fn of_two_racing_operators_one_wins_and_the_other_is_told_by_whom() {
    let fixture = PlatformFixture::start();
    let (first_admin, second_admin) = (fixture.start_admin(), fixture.start_admin());
    for round in 0..12_u64 {
        let documents = [
            document(&format!("a{round}")),
            document(&format!("b{round}")),
        ];
        let number = u128::from(round) * 2 + 1;
        let (alice, bob) = futures_util::join!(
            first_admin.try_document(ALICE, operation_key(number, round), &documents[0]),
            second_admin.try_document(BOB, operation_key(number + 1, round), &documents[1])
        );
        let (won, lost, winner) = match alice.status {
            200 => (alice, bob, "alice"),
            _ => (bob, alice, "bob"),
        };
        let head = won.accepted().head;
        let problem = lost.problem();
        assert_eq!(problem.reason, AdminReason::Overtaken);
        assert_eq!(problem.outcome, RequestOutcome::NotRun);
        assert_eq!(problem.winner.as_ref(), Some(&head));
        assert_eq!(
            (head.sequence.0, head.operator.as_str()),
            (round + 1, winner)
        );
        assert_eq!(problem.changes.is_empty(), round == 0, "{problem:?}");
    }
    assert_eq!(first_admin.history("trial").await.entries.len(), 12);
}

/// Guards against an operation that reports failure, or takes effect twice, when the platform runs its
/// calls but the answers are lost.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(9)]
#[actix_rt::test]
async fn lost_answers_are_settled_by_looking(lose_answers: u32) {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    admin
        .try_document(ALICE, operation_key(1, 0), &document("first"))
        .await
        .accepted();
    fixture
        .set_faults(FaultSwitches {
            lose_answers,
            ..FaultSwitches::default()
        })
        .await;
    let second = document("second");
    let answer = admin
        .try_document(ALICE, operation_key(2, 1), &second)
        .await
        .accepted();
    assert_eq!((answer.head.sequence.0, answer.repeated), (2, false));
    let retry = admin
        .try_document(ALICE, operation_key(2, 1), &second)
        .await
        .accepted();
    assert_eq!((&retry.head, retry.repeated), (&answer.head, true));
    let other = admin
        .try_document(ALICE, operation_key(2, 1), &document("other"))
        .await;
    assert_eq!(other.problem().reason, AdminReason::OperationReused);
}
