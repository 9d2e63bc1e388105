//! Requests at an entry that was terminated and has two seconds left after its callers' lists expired.

mod support;

use std::time::Duration;

use bytes::Bytes;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_standin::harness::{CallerAnswer, DeploymentHarness, HarnessError, ProcessSignal};
use serde_json::json;
use support::{CLERK, completion};
use test_case::test_case;
use uuid::Uuid;

type TestResult = Result<(), HarnessError>;

/// A request of each kind that the entry forwards.
#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Lookup,
    Charge,
    Stream,
}

/// Starts an entry whose service and engine take longer than its shutdown.
async fn start() -> Result<DeploymentHarness, HarnessError> {
    let changes = json!({
        "limits": { "entryListTtlS": 1 },
        "timeouts": { "shutdownMs": 2_000 },
    });
    let harness = support::start(1, &changes).await?;
    support::set_faults(&harness, "desk-1", &json!({ "slowMs": 6_000 })).await?;
    support::set_faults(&harness, "notes-decode-0", &json!({ "slowFactor": 100.0 })).await?;
    Ok(harness)
}

async fn send(
    harness: &DeploymentHarness,
    kind: RequestKind,
) -> Result<CallerAnswer, HarnessError> {
    let address = harness.entries[0].process.address;
    let client = harness.client.clone();
    let bearer = format!("Bearer {CLERK}");
    let key = Uuid::now_v7().to_string();
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", &key),
    ];
    let (method, path) = match kind {
        RequestKind::Lookup => ("GET", "/services/desk/tickets/1"),
        RequestKind::Charge => ("POST", "/services/desk/charges"),
        RequestKind::Stream => {
            let body = completion("label", 300, true);
            return client
                .post_as(address, "/v1/completions", CLERK, &body)
                .await;
        }
    };
    client
        .call(address, method, path, &headers, Bytes::from("{}"))
        .await
}

/// Guards against requests that are sent to a server and cut when the process exits.
#[test_case(RequestKind::Lookup)]
#[test_case(RequestKind::Charge)]
#[test_case(RequestKind::Stream)]
#[actix_rt::test]
async fn a_request_that_may_outlast_a_terminated_entry_is_refused_as_not_run(
    kind: RequestKind,
) -> TestResult {
    let harness = start().await?;
    harness.entries[0]
        .process
        .signal(ProcessSignal::Terminate)?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let answer = send(&harness, kind).await?;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), Some("0"));
    let problem = answer.parse_problem()?;
    assert_eq!(problem.reason, RefusalReason::ShuttingDown);
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
    Ok(())
}

/// Guards against requests that end without a word when the process exits.
#[test_case(RequestKind::Lookup)]
#[test_case(RequestKind::Charge)]
#[test_case(RequestKind::Stream)]
#[actix_rt::test]
async fn a_request_that_is_open_when_the_entry_exits_gets_a_final_answer(
    kind: RequestKind,
) -> TestResult {
    let harness = start().await?;
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        harness.entries[0].process.signal(ProcessSignal::Terminate)
    };
    let (answer, stopped) = futures_util::future::join(send(&harness, kind), stop).await;
    stopped?;
    let answer = answer?;
    match kind {
        RequestKind::Lookup | RequestKind::Charge => {
            assert_eq!(answer.status, 502);
            assert_eq!(answer.parse_problem()?.outcome, RequestOutcome::Unknown);
        }
        RequestKind::Stream => {
            let stream = answer.parse_stream();
            assert!(!stream.complete);
            assert!(stream.error.is_some(), "{stream:?}");
        }
    }
    Ok(())
}
