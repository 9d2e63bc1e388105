//! Disconnects at any byte and headers of any size neither stop the entry nor leave resources
//! reserved.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use bytes::Bytes;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_standin::harness::{DeploymentHarness, HarnessError};
use serde_json::json;
use support::{CLERK, completion, held};

type TestResult = Result<(), HarnessError>;

/// Distance between two byte positions at which a caller disconnects.
const CUT_STEP: usize = 7;

/// A header larger than the entry's limit, in bytes.
const LARGE_HEADER_BYTES: usize = 20_000;

/// A header larger than the HTTP library's limit, in bytes.
const HUGE_HEADER_BYTES: usize = 200_000;

fn request() -> Vec<u8> {
    let body = completion("label", 40, true).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CLERK}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

fn send(entry: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(entry).expect("connect");
    stream.write_all(bytes).expect("write");
    stream
}

async fn check_recovery(harness: &DeploymentHarness, entry: SocketAddr) -> TestResult {
    harness
        .wait_for("released engine resources", async || {
            held(harness).await.is_empty()
        })
        .await?;
    let body = completion("still there", 4, true);
    let answer = harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &body)
        .await?;
    assert!(answer.parse_stream().complete);
    Ok(())
}

#[actix_rt::test]
async fn a_caller_may_disconnect_at_any_byte_of_its_request() -> TestResult {
    let harness = support::start(1, &json!({})).await?;
    let entry = harness.entries[0].process.address;
    let request = request();
    for length in (0..request.len()).step_by(CUT_STEP) {
        drop(send(entry, &request[..length]));
    }
    check_recovery(&harness, entry).await
}

#[actix_rt::test]
async fn a_caller_may_disconnect_at_any_byte_of_its_answer() -> TestResult {
    let harness = support::start(1, &json!({})).await?;
    let entry = harness.entries[0].process.address;
    let request = request();
    for length in (1..600).step_by(CUT_STEP * 5) {
        let mut stream = send(entry, &request);
        stream
            .read_exact(&mut vec![0; length])
            .expect("the answer is longer");
        // Some callers shut down their writing side first.
        if length % 2 == 0 {
            stream.shutdown(Shutdown::Write).expect("shutdown");
        }
    }
    check_recovery(&harness, entry).await
}

#[actix_rt::test]
async fn large_headers_are_refused() -> TestResult {
    let harness = support::start(1, &json!({})).await?;
    let entry = harness.entries[0].process.address;
    let bearer = format!("Bearer {CLERK}");
    let large = "x".repeat(LARGE_HEADER_BYTES);
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-large", large.as_str()),
    ];
    let answer = harness
        .client
        .call(entry, "POST", "/v1/completions", &headers, Bytes::new())
        .await?;
    let problem = answer.parse_problem()?;
    assert_eq!(answer.status, RefusalReason::TooLarge.status());
    assert_eq!(problem.reason, RefusalReason::TooLarge);
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
    let huge = format!(
        "GET /ready HTTP/1.1\r\nx-huge: {}\r\n\r\n",
        "x".repeat(HUGE_HEADER_BYTES)
    );
    let mut stream = TcpStream::connect(entry).expect("connect");
    // The entry may close the connection before all bytes are sent.
    let _ = stream.write_all(huge.as_bytes());
    check_recovery(&harness, entry).await
}
