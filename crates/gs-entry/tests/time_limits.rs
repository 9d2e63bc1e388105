//! Requests end by the time-outs of the entry's settings, however engines and callers behave.

mod support;

use std::time::{Duration, Instant};

use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_standin::harness::HarnessError;
use serde_json::json;
use socket2::SockRef;
use support::{CLERK, completion};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

type TestResult = Result<(), HarnessError>;

/// Time after which an exchange without an end counts as endless.
const ENDLESS: Duration = Duration::from_secs(10);

/// Guards against completions that outlast their time-out because their engine is never silent for long.
#[test_case(true; "streamed")]
#[test_case(false; "not streamed")]
#[actix_rt::test]
async fn a_completion_ends_at_its_time_out(is_streamed: bool) -> TestResult {
    let harness = support::start(1, &json!({ "timeouts": { "completionMs": 1_500 } })).await?;
    support::set_faults(&harness, "notes-decode-0", &json!({ "slowFactor": 100.0 })).await?;
    let entry = harness.entries[0].process.address;
    let body = completion("label", 400, is_streamed);
    let request = harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &body);
    let answer = tokio::time::timeout(ENDLESS, request).await;
    let answer = answer.expect("the answer ends")?;
    if is_streamed {
        let stream = answer.parse_stream();
        assert!(!stream.tokens.is_empty(), "{stream:?}");
        assert!(!stream.complete, "{stream:?}");
        assert!(stream.error.is_some(), "{stream:?}");
        return Ok(());
    }
    assert_eq!(answer.status, 504);
    let problem = answer.parse_problem()?;
    assert_eq!(problem.reason, RefusalReason::DeadlinePassed);
    assert_eq!(problem.outcome, RequestOutcome::Unknown);
    Ok(())
}

/// Guards against connections that are held for a body that stops coming.
#[test_case("/v1/completions")]
#[test_case("/services/desk/tickets/1")]
#[actix_rt::test]
async fn a_request_whose_body_stops_coming_is_refused(path: &str) -> TestResult {
    let harness = support::start(1, &json!({ "timeouts": { "callerReadMs": 500 } })).await?;
    let entry = harness.entries[0].process.address;
    let method = match path.starts_with("/services") {
        true => "GET",
        false => "POST",
    };
    let mut caller = TcpStream::connect(entry).await.expect("a connection");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CLERK}\r\n\
         content-length: 400\r\n\r\n{{"
    );
    caller.write_all(head.as_bytes()).await.expect("sent");
    let mut bytes = Vec::new();
    let reading = tokio::time::timeout(ENDLESS, caller.read_to_end(&mut bytes)).await;
    // A reset ends the answer as well.
    drop(reading.expect("the answer ends"));
    let answer = String::from_utf8_lossy(&bytes);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
    Ok(())
}

/// Tokens of an answer that is longer than what the kernel and the entry hold for a caller, and a time-out within
/// which its engine can generate it.
const UNREAD_TOKENS: u32 = 3_000;
const UNREAD_TIME_OUT_MS: u64 = 6_000;

/// Connects as a caller far away that reads nothing: with small segments, the entry's kernel holds some tens of
/// kilobytes for it, and not the megabytes that it holds on loopback otherwise.
async fn connect_without_reading(entry: std::net::SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let segments = SockRef::from(&socket).set_tcp_mss(1_000);
    segments.expect("small segments");
    socket.connect(entry).await.expect("a connection")
}

/// Guards against callers that read nothing and hold the resources of their engine past the time-out.
#[actix_rt::test]
async fn an_unread_completion_ends_at_its_time_out() -> TestResult {
    let mut document = support::document();
    document["models"]["notes"]["maxOutputTokens"] = json!(UNREAD_TOKENS);
    let changes = json!({ "timeouts": { "completionMs": UNREAD_TIME_OUT_MS } });
    let harness = support::start_document(&document, 1, 1, &changes).await?;
    let entry = harness.entries[0].process.address;
    let body = completion("label", UNREAD_TOKENS, true).to_string();
    let mut callers = Vec::new();
    let ended = Instant::now() + Duration::from_millis(UNREAD_TIME_OUT_MS) + Duration::from_secs(1);
    for _ in 0..2 {
        let mut caller = connect_without_reading(entry).await;
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CLERK}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        caller.write_all(head.as_bytes()).await.expect("sent");
        callers.push(caller);
    }
    harness
        .wait_for("reserved engine resources", async || {
            !support::held(&harness).await.is_empty()
        })
        .await?;
    harness
        .wait_for("released engine resources", async || {
            support::held(&harness).await.is_empty()
        })
        .await?;
    tokio::time::sleep_until(ended.into()).await;
    for mut caller in callers {
        let mut bytes = Vec::new();
        let reading = tokio::time::timeout(ENDLESS, caller.read_to_end(&mut bytes)).await;
        // A reset ends the answer as well.
        drop(reading.expect("the answer ends"));
        assert!(!String::from_utf8_lossy(&bytes).contains("[DONE]"));
    }
    Ok(())
}
