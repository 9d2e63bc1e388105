//! Answers of plain services are complete, or the outcome of the call is unknown. Routes match only
//! unambiguous paths.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::http::Method;
use bytes::Bytes;
use gs_document::document::ServiceEntry;
use gs_entry::engine::ClientPool;
use gs_entry::services::{ServiceAnswer, ServiceCall, ServiceClient, ServiceFailure, find_route};
use gs_protocol::ids::{AttemptId, CallerName, RequestId, ServerKindName};
use test_case::test_case;

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of a call that is still being written when its answer begins, in bytes.
const UPLOAD_BYTES: usize = 8_000_000;

/// Time from the begin of an answer to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// Starts a service that answers one call with the given bytes and closes the connection.
fn start_service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let _ = stream.read(&mut [0; 4096]).expect("read");
        stream.write_all(answer.as_bytes()).expect("write");
    });
    address
}

/// Starts a service that begins its answer before it has read the call, and resets the connection.
fn start_resetting_service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let _ = stream.read(&mut [0; 64]).expect("read");
        stream.write_all(answer.as_bytes()).expect("write");
        std::thread::sleep(RESET_DELAY);
        let lingering = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        lingering.expect("a linger option");
    });
    address
}

fn call(address: SocketAddr) -> Result<ServiceAnswer, ServiceFailure> {
    call_with(address, Bytes::from_static(b"{}"))
}

fn call_with(address: SocketAddr, body: Bytes) -> Result<ServiceAnswer, ServiceFailure> {
    let call = ServiceCall {
        request: RequestId::generate(),
        caller: CallerName::from("clerk"),
        kind: ServerKindName::from("desk"),
        method: Method::POST,
        path: "/charges".to_owned(),
        content_type: None,
        body,
        key: None,
        idempotent: false,
        deadline: Instant::now() + CALL_TIMEOUT,
    };
    actix_rt::System::new().block_on(async {
        let client = ServiceClient::new(Rc::new(ClientPool::new(CALL_TIMEOUT)));
        client
            .send(address, &call, AttemptId::generate(), CALL_TIMEOUT)
            .await
    })
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"; "with its length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"; "chunked json")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n"; "without content")]
fn a_complete_answer_is_returned(answer: &'static str) {
    assert!(call(start_service(answer)).is_ok());
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"run\":"; "shorter than its length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n7\r\n{\"run\":\r\n"; "json truncated between chunks")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"; "text truncated between chunks")]
#[test_case("HTTP/1.1 200 OK\r\n"; "truncated head")]
#[test_case(""; "no answer")]
fn a_truncated_answer_has_an_unknown_outcome(answer: &'static str) {
    assert!(matches!(
        call(start_service(answer)),
        Err(ServiceFailure::Unknown { .. })
    ));
}

#[test_case("HTTP/1.1 200 OK\r\n\r\na part of"; "text")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"run\":"; "an object")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n12"; "a number")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n "; "white space")]
fn a_part_of_an_answer_that_was_reset_during_the_upload_is_not_complete(answer: &'static str) {
    let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
    let result = call_with(start_resetting_service(answer), body);
    assert!(
        matches!(result, Err(ServiceFailure::Unknown { .. })),
        "{result:?}"
    );
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n12"; "until the connection ends")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n"; "between chunks")]
fn a_truncated_number_is_not_complete(answer: &'static str) {
    let result = call(start_service(answer));
    assert!(
        matches!(result, Err(ServiceFailure::Unknown { .. })),
        "{result:?}"
    );
}

#[test_case("HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\n{}"; "three zeros")]
#[test_case("HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\n{}"; "below the first class")]
fn an_answer_without_a_valid_status_has_an_unknown_outcome(answer: &'static str) {
    let result = call(start_service(answer));
    assert!(
        matches!(result, Err(ServiceFailure::Unknown { .. })),
        "{result:?}"
    );
}

#[test]
fn an_unreachable_service_did_not_run_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    assert!(matches!(call(address), Err(ServiceFailure::NotRun { .. })));
}

/// A service with idempotent routes and one that is not.
fn service() -> ServiceEntry {
    serde_json::from_value(serde_json::json!({
        "serverKind": "desk",
        "routes": [
            { "method": "GET", "path": "/tickets/*/notes", "idempotent": true },
            { "method": "POST", "path": "/tickets/*", "idempotent": true },
            { "method": "POST", "path": "/charges", "idempotent": false },
        ],
    }))
    .expect("service")
}

#[test_case("GET", "/tickets/12/notes", Some(true); "one segment")]
#[test_case("POST", "/tickets/wash%20notes", Some(true); "encoded space")]
#[test_case("POST", "/charges", Some(false); "literal path")]
#[test_case("POST", "/tickets/", None; "empty segment")]
#[test_case("POST", "/tickets/..", None; "parent")]
#[test_case("POST", "/tickets/%2e%2e", None; "encoded parent")]
#[test_case("POST", "/tickets/..%2fcharges", None; "encoded separator")]
#[test_case("POST", "/tickets/%252e%252e", None; "encoded twice")]
#[test_case("POST", "/tickets/12;/../charges", None; "parameters")]
#[test_case("POST", "/tickets/12/", None; "trailing separator")]
#[test_case("DELETE", "/charges", None; "another method")]
fn a_route_matches_plain_segments_only(method: &str, path: &str, idempotent: Option<bool>) {
    let found = find_route(&service(), method, path).map(|route| route.idempotent);
    assert_eq!(found, idempotent);
}
