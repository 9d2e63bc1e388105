//! Tests of the service stand-in: its records of runs and its faults.

mod support;

use awc::Client;
use gs_protocol::service::{ATTEMPT_HEADER, KEY_HEADER, NOT_RUN_HEADER};
use gs_standin::service::ServiceRuns;
use serde_json::{Value, json};
use support::{get, set_faults, start_service};
use test_case::test_case;

/// Posts a booking with a fixed key and attempt; returns the status, whether the not-run header was
/// present, and the body.
async fn post_booking(address: std::net::SocketAddr) -> Result<(u16, bool, Value), ()> {
    let call = Client::new()
        .post(format!("http://{address}/bookings"))
        .insert_header((KEY_HEADER, "key-1"))
        .insert_header((ATTEMPT_HEADER, "attempt-1"));
    let mut answer = call.send_json(&json!({ "slot": 3 })).await.map_err(drop)?;
    let not_run = answer.headers().contains_key(NOT_RUN_HEADER);
    let body = answer.body().await.map_err(drop)?;
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Ok((answer.status().as_u16(), not_run, body))
}

#[actix_rt::test]
async fn runs_are_echoed_and_recorded() {
    let service = start_service();
    for run in 1..=2 {
        let (status, _, body) = post_booking(service).await.expect("answer");
        assert_eq!((status, &body["run"]), (200, &json!(run)));
        assert_eq!(body["echo"], json!({ "slot": 3 }));
    }
    let runs: ServiceRuns = get(service, "/control/runs").await;
    assert_eq!((runs.keys[0].key.as_str(), runs.keys[0].runs), ("key-1", 2));
    assert_eq!(runs.attempts[0].runs, 2);
}

#[test_case("dropAnswerAfterRun", json!(1), 1; "answer dropped after the run")]
#[test_case("refuse", json!(true), 0; "connection closed before the run")]
#[actix_rt::test]
async fn closed_connection_counts_only_actual_runs(fault: &str, value: Value, expected: u64) {
    let service = start_service();
    set_faults(service, json!({ fault: value })).await;
    assert!(post_booking(service).await.is_err());
    let runs: ServiceRuns = get(service, "/control/runs").await;
    assert_eq!(runs.runs, expected);
}

#[actix_rt::test]
async fn not_run_fault_sets_the_header_and_runs_nothing() {
    let service = start_service();
    set_faults(service, json!({ "notRun": true })).await;
    let (status, not_run, _) = post_booking(service).await.expect("answer");
    assert_eq!((status, not_run), (503, true));
    let runs: ServiceRuns = get(service, "/control/runs").await;
    assert_eq!(runs.runs, 0);
}
