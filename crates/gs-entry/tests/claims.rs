//! Non-idempotent calls run at most once in a deployment of separate processes, also under faults.

mod support;

use std::time::Duration;

use bytes::Bytes;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_standin::harness::{CallerAnswer, DeploymentHarness, HarnessError, ProcessSignal};
use gs_standin::service::ServiceRuns;
use serde_json::{Value, json};
use support::CLERK;
use test_case::test_case;
use uuid::{NoContext, Timestamp, Uuid};

type TestResult = Result<(), HarnessError>;

const CHARGES: &str = "/services/desk/charges";

/// Lease of the shard, in milliseconds.
const LEASE_MS: u64 = 1_000;

/// Starts entries with one shard, so that one of them owns all claims.
async fn start(entries: usize, deadline_ms: u64) -> Result<DeploymentHarness, HarnessError> {
    let claims = json!({ "claims": { "shards": 1, "leaseMs": LEASE_MS, "clockSkewMs": 5_000 } });
    let mut harness = support::start(entries, &claims).await?;
    let mut document = support::document();
    document["services"]["desk"]["routes"][1]["deadlineMs"] = json!(deadline_ms);
    harness.promote_document(&document).await?;
    for index in 0..entries {
        harness
            .wait_for("the document in force", async || {
                let answer =
                    call(&harness, index, "GET", "/services/desk/tickets/1", None, "").await;
                answer.is_ok_and(|answer| answer.header("x-document-sequence") == Some("2"))
            })
            .await?;
    }
    harness
        .wait_for("an owner", async || find_owner(&harness).await.is_some())
        .await?;
    Ok(harness)
}

async fn call(
    harness: &DeploymentHarness,
    index: usize,
    method: &str,
    path: &str,
    key: Option<Uuid>,
    body: &str,
) -> Result<CallerAnswer, HarnessError> {
    let address = harness.entries[index].process.address;
    let (bearer, key) = (format!("Bearer {CLERK}"), key.map(|key| key.to_string()));
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
    let body = Bytes::from(body.to_owned());
    harness
        .client
        .call(address, method, path, &headers, body)
        .await
}

async fn charge(
    harness: &DeploymentHarness,
    index: usize,
    key: Uuid,
) -> Result<CallerAnswer, HarnessError> {
    call(
        harness,
        index,
        "POST",
        CHARGES,
        Some(key),
        "{\"amount\": 4}",
    )
    .await
}

/// Number of runs of a key that the service counted.
async fn count_runs(harness: &DeploymentHarness, key: Uuid) -> u32 {
    let address = service_address(harness);
    let read = harness
        .client
        .get::<ServiceRuns>(address, "/control/runs")
        .await;
    let key = key.to_string();
    let runs = read.expect("the service lists its runs").keys;
    let of_key = runs.iter().filter(|runs| runs.key == key);
    of_key.map(|runs| runs.runs).sum()
}

fn service_address(harness: &DeploymentHarness) -> std::net::SocketAddr {
    let found = harness
        .servers
        .iter()
        .find(|server| server.name.as_str() == "desk-1");
    found.expect("the service was started").process.address
}

async fn set_service_faults(harness: &DeploymentHarness, faults: Value) -> TestResult {
    let set = harness
        .client
        .post(service_address(harness), "/control/faults", &faults);
    set.await.map(drop)
}

async fn set_platform_faults(harness: &DeploymentHarness, faults: Value) -> TestResult {
    let set = harness
        .client
        .post(harness.platform.address, "/control/faults", &faults);
    set.await.map(drop)
}

/// Finds the entry whose metrics report that it owns the shard.
async fn find_owner(harness: &DeploymentHarness) -> Option<usize> {
    for (index, entry) in harness.entries.iter().enumerate() {
        let address = entry.process.address;
        let read = harness
            .client
            .call(address, "GET", "/metrics", &[], Bytes::new());
        let Ok(Ok(metrics)) = tokio::time::timeout(Duration::from_millis(500), read).await else {
            continue;
        };
        let owns = |line: &str| line == "gs_claim_shards_owned 1";
        if String::from_utf8_lossy(&metrics.body).lines().any(owns) {
            return Some(index);
        }
    }
    None
}

fn other_entry(index: usize) -> usize {
    usize::from(index == 0)
}

/// Retries a call until it succeeds. Each refusal before must have the outcome `unknown`.
async fn charge_until_answered(
    harness: &DeploymentHarness,
    index: usize,
    key: Uuid,
) -> CallerAnswer {
    for _ in 0..20 {
        let answer = charge(harness, index, key)
            .await
            .expect("the entry answers");
        if answer.status == 200 {
            return answer;
        }
        let problem = answer.parse_problem().expect("a refusal");
        assert_eq!(problem.outcome, RequestOutcome::Unknown, "{problem:?}");
    }
    panic!("no answer for {key}");
}

#[actix_rt::test]
async fn concurrent_calls_with_the_same_key_run_once() -> TestResult {
    let harness = start(3, 10_000).await?;
    set_service_faults(&harness, json!({ "slowMs": 200 })).await?;
    let key = Uuid::now_v7();
    let calls = (0..9).map(|number| charge(&harness, number % 3, key));
    let mut bodies = Vec::new();
    for answer in futures_util::future::join_all(calls).await {
        let answer = answer?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        bodies.push(answer.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    assert_eq!(count_runs(&harness, key).await, 1);
    let reused = call(&harness, 0, "POST", CHARGES, Some(key), "{\"amount\": 5}").await?;
    let problem = reused.parse_problem()?;
    assert_eq!(problem.reason, RefusalReason::KeyReused);
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
    assert_eq!(count_runs(&harness, key).await, 1);
    Ok(())
}

fn key_at_offset(seconds: i64) -> Uuid {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now_s = now.expect("the clock is past 1970").as_secs();
    Uuid::new_v7(Timestamp::from_unix(
        NoContext,
        now_s.wrapping_add_signed(seconds),
        0,
    ))
}

#[test_case(-90_000, RefusalReason::KeyExpired, RequestOutcome::Unknown; "expired")]
#[test_case(600, RefusalReason::KeyInvalid, RequestOutcome::NotRun; "from the future")]
fn a_key_outside_the_retention_time_never_runs(
    seconds: i64,
    reason: RefusalReason,
    outcome: RequestOutcome,
) {
    let check = async {
        let harness = start(1, 10_000).await?;
        let key = key_at_offset(seconds);
        let problem = charge(&harness, 0, key).await?.parse_problem()?;
        assert_eq!((problem.reason, problem.outcome), (reason, outcome));
        assert_eq!(count_runs(&harness, key).await, 0);
        TestResult::Ok(())
    };
    let ended = actix_rt::System::new().block_on(check);
    ended.expect("the deployment answers");
}

#[actix_rt::test]
async fn a_platform_outage_refuses_only_claims_and_as_not_run() -> TestResult {
    let harness = start(2, 1_500).await?;
    set_platform_faults(&harness, json!({ "outage": "refuse" })).await?;
    let key = Uuid::now_v7();
    let problem = charge(&harness, 0, key).await?.parse_problem()?;
    assert_eq!(problem.reason, RefusalReason::PlatformUnavailable);
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
    assert_eq!(count_runs(&harness, key).await, 0);
    let read = call(&harness, 0, "GET", "/services/desk/tickets/7", None, "").await?;
    assert_eq!(read.status, 200);
    set_platform_faults(&harness, json!({})).await?;
    harness
        .wait_for("the key to run", async || {
            charge(&harness, 1, key)
                .await
                .is_ok_and(|answer| answer.status == 200)
        })
        .await?;
    assert_eq!(count_runs(&harness, key).await, 1);
    Ok(())
}

#[test_case(json!({ "loseAnswers": 2 }); "lost answers")]
#[test_case(json!({ "outage": "close" }); "closed connections")]
#[test_case(json!({ "outage": "silent" }); "silence")]
#[test_case(json!({ "slowAnswerMs": 3_000 }); "answers later than the time limit")]
fn a_claim_write_with_an_unknown_outcome_is_resolved(faults: Value) {
    let check = async {
        let harness = start(2, 10_000).await?;
        set_platform_faults(&harness, faults).await?;
        let key = Uuid::now_v7();
        let recovery = async {
            tokio::time::sleep(Duration::from_millis(3_500)).await;
            set_platform_faults(&harness, json!({})).await
        };
        let (answer, recovered) = futures_util::join!(charge(&harness, 0, key), recovery);
        recovered?;
        let answer = answer?;
        let run_count = count_runs(&harness, key).await;
        match answer.status {
            200 => assert_eq!(run_count, 1),
            _ => assert_eq!(answer.parse_problem()?.outcome, RequestOutcome::NotRun),
        }
        let retried = charge_until_answered(&harness, 1, key).await;
        assert!(answer.status != 200 || retried.body == answer.body);
        assert_eq!(count_runs(&harness, key).await, 1);
        TestResult::Ok(())
    };
    let ended = actix_rt::System::new().block_on(check);
    ended.expect("the deployment answers");
}

#[actix_rt::test]
async fn a_call_whose_entry_is_killed_has_an_unknown_outcome() -> TestResult {
    let harness = start(2, 4_000).await?;
    let owner = find_owner(&harness).await.expect("an owner");
    let forwarder = other_entry(owner);
    set_service_faults(&harness, json!({ "slowMs": 2_000 })).await?;
    let key = Uuid::now_v7();
    let kill = async {
        harness
            .wait_for("the run", async || count_runs(&harness, key).await == 1)
            .await?;
        harness.entries[forwarder]
            .process
            .signal(ProcessSignal::Kill)
    };
    let (answer, killed) = futures_util::join!(charge(&harness, forwarder, key), kill);
    killed?;
    assert!(answer.is_err(), "the forwarding entry was killed");
    let problem = charge(&harness, owner, key).await?.parse_problem()?;
    assert_eq!(problem.outcome, RequestOutcome::Unknown);
    assert_eq!(count_runs(&harness, key).await, 1);
    Ok(())
}

#[test_case(ProcessSignal::Kill; "killed")]
#[test_case(ProcessSignal::Stop; "paused past its lease")]
#[test_case(ProcessSignal::Terminate; "leaving")]
fn claims_survive_the_loss_of_their_shard_owner(signal: ProcessSignal) {
    let check = async {
        let harness = start(2, 10_000).await?;
        let owner = find_owner(&harness).await.expect("an owner");
        let forwarder = other_entry(owner);
        let before = Uuid::now_v7();
        let first = charge(&harness, owner, before).await?;
        assert_eq!(first.status, 200);
        // The end of the first claim is written with a delay, at the latest together with this
        // claim.
        assert_eq!(
            charge(&harness, forwarder, Uuid::now_v7()).await?.status,
            200
        );
        set_service_faults(&harness, json!({ "slowMs": 500 })).await?;
        let during = Uuid::now_v7();
        let end = async {
            harness
                .wait_for("the run", async || count_runs(&harness, during).await == 1)
                .await?;
            harness.entries[owner].process.signal(signal)
        };
        let (second, ended) = futures_util::join!(charge(&harness, forwarder, during), end);
        ended?;
        let second = second?;
        assert_eq!(second.status, 200);
        for (key, body) in [(before, first.body), (during, second.body)] {
            let retried = charge_until_answered(&harness, forwarder, key).await;
            assert_eq!(retried.body, body);
            assert_eq!(count_runs(&harness, key).await, 1);
        }
        let after = Uuid::now_v7();
        let third = charge_until_answered(&harness, forwarder, after).await;
        if signal == ProcessSignal::Stop {
            harness.entries[owner]
                .process
                .signal(ProcessSignal::Continue)?;
            let retried = charge_until_answered(&harness, owner, after).await;
            assert_eq!(retried.body, third.body);
        }
        assert_eq!(count_runs(&harness, after).await, 1);
        TestResult::Ok(())
    };
    let ended = actix_rt::System::new().block_on(check);
    ended.expect("the deployment answers");
}

#[actix_rt::test]
async fn a_call_that_the_service_did_not_run_can_be_retried() -> TestResult {
    let harness = start(2, 10_000).await?;
    set_service_faults(&harness, json!({ "notRun": true })).await?;
    let key = Uuid::now_v7();
    let problem = charge(&harness, 0, key).await?.parse_problem()?;
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
    set_service_faults(
        &harness,
        json!({ "notRun": false, "dropAnswerAfterRun": 1 }),
    )
    .await?;
    let problem = charge(&harness, 1, key).await?.parse_problem()?;
    assert_eq!(problem.outcome, RequestOutcome::Unknown);
    let problem = charge(&harness, 0, key).await?.parse_problem()?;
    assert_eq!(problem.reason, RefusalReason::KeyPending);
    assert_eq!(problem.outcome, RequestOutcome::Unknown);
    assert_eq!(count_runs(&harness, key).await, 1);
    Ok(())
}

/// Kills one entry after another, whether it owns the shard or not, at increasing delays after a
/// call starts.
#[actix_rt::test]
async fn a_call_runs_at_most_once_if_its_entry_is_killed_at_any_step() -> TestResult {
    const DELAYS_MS: [u64; 6] = [0, 1, 2, 4, 8, 12];
    let harness = start(DELAYS_MS.len() + 1, 3_000).await?;
    set_service_faults(&harness, json!({ "slowMs": 5 })).await?;
    let last = DELAYS_MS.len();
    for (index, delay_ms) in DELAYS_MS.into_iter().enumerate() {
        let key = Uuid::now_v7();
        let kill = async {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            harness.entries[index].process.signal(ProcessSignal::Kill)
        };
        let (answer, killed) = futures_util::join!(charge(&harness, index, key), kill);
        killed?;
        let retried = charge(&harness, last, key).await?;
        let run_count = count_runs(&harness, key).await;
        assert!(run_count <= 1, "{key} ran {run_count} times");
        match retried.status {
            200 => assert_eq!(run_count, 1),
            _ => assert!(
                retried.parse_problem()?.outcome != RequestOutcome::NotRun || run_count == 0
            ),
        }
        if let Ok(answer) = answer {
            assert!(retried.status != 200 || retried.body == answer.body);
        }
    }
    charge_until_answered(&harness, last, Uuid::now_v7()).await;
    Ok(())
}
