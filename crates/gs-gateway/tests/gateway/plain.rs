//! Plain requests to servers that fail in various ways.

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, header, plain_server, request, wait_until,
};
use test_case::test_case;

const ANSWER: &str = "the whole answer";

fn good() -> Script {
    Script::complete(200, "t-sign: s1\r\n", ANSWER)
}

/// Starts a server that fails its first request with the given script and answers the others, and a server
/// that answers all requests.
async fn pair(failure: Script) -> (Deployment, StubServer, StubServer) {
    let bad = StubServer::start(move |number, _| match number {
        0 => failure.clone(),
        _ => good(),
    })
    .await;
    let other = StubServer::start(|_, _| good()).await;
    // Servers that are otherwise equal are chosen in the order of their names.
    let listed = vec![
        plain_server("a", bad.address),
        plain_server("b", other.address),
    ];
    (Deployment::start(listed).await, bad, other)
}

fn truncated() -> Script {
    Script::Send("HTTP/1.1 200 OK\r\nt-id: {id}\r\ncontent-length: 100\r\n\r\nhalf".to_owned())
}

fn garbage() -> Script {
    Script::Send("these are no bytes of the protocol\r\n\r\n".to_owned())
}

fn foreign() -> Script {
    Script::Send("HTTP/1.1 200 OK\r\nt-id: another\r\ncontent-length: 5\r\n\r\nwrong".to_owned())
}

fn unsigned() -> Script {
    Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong".to_owned())
}

fn unframed_reset() -> Script {
    Script::Reset("HTTP/1.1 200 OK\r\nt-id: {id}\r\n\r\nhalf of the ans".to_owned())
}

fn unmarked_refusal() -> Script {
    Script::complete(503, "", "busy")
}

#[test_case(truncated(); "a truncated answer")]
#[test_case(garbage(); "malformed bytes")]
#[test_case(foreign(); "another request's answer")]
#[test_case(unsigned(); "an answer without a request ID")]
#[test_case(unframed_reset(); "an answer without length that is reset")]
#[test_case(Script::Reset(String::new()); "a reset before the answer")]
#[test_case(unmarked_refusal(); "a refusal without the not-run header")]
#[actix_rt::test]
async fn an_unsafe_request_that_may_have_run_is_not_retried(failure: Script) {
    let (deployment, bad, other) = pair(failure).await;
    let answer = deployment.send_request(Route::Unsafe, "r1").await;
    assert_eq!(answer.status(), 502, "{answer:?}");
    assert_eq!((bad.requests().len(), other.requests().len()), (1, 0));
}

#[test_case(truncated(); "a truncated answer")]
#[test_case(garbage(); "malformed bytes")]
#[test_case(foreign(); "another request's answer")]
#[test_case(unframed_reset(); "an answer without length that is reset")]
#[test_case(Script::Reset(String::new()); "a reset before the answer")]
#[test_case(unmarked_refusal(); "a refusal without the not-run header")]
#[test_case(Script::complete(500, "t-sign: s2\r\n", "failed"); "a server error")]
#[test_case(Script::Hold(String::new()); "no answer")]
#[actix_rt::test]
async fn a_safe_request_is_retried_at_another_server(failure: Script) {
    let (deployment, _, other) = pair(failure).await;
    let answer = deployment.send_request(Route::Safe, "r1").await;
    assert_eq!(
        (answer.status(), answer.body()),
        (200, ANSWER),
        "{answer:?}"
    );
    assert_eq!(other.requests().len(), 1);
}

#[test_case(Script::complete(503, "t-not-run: 1\r\n", ""); "rejected as not run")]
#[test_case(Script::Send("HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n".to_owned()); "another server at the address")]
#[actix_rt::test]
async fn an_unsafe_request_that_did_not_run_is_retried_at_another_server(failure: Script) {
    let (deployment, _, other) = pair(failure).await;
    let answer = deployment.send_request(Route::Unsafe, "r1").await;
    assert_eq!(
        (answer.status(), answer.body()),
        (200, ANSWER),
        "{answer:?}"
    );
    assert_eq!(other.requests().len(), 1);
}

#[actix_rt::test]
async fn an_unsafe_request_rejected_by_all_servers_is_answered_as_not_run() {
    let full = StubServer::start(|_, _| Script::complete(503, "t-not-run: 1\r\n", "")).await;
    let deployment = Deployment::start(vec![plain_server("a", full.address)]).await;
    let answer = deployment.send_request(Route::Unsafe, "r1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.0.contains("t-retry:"), "{answer:?}");
}

#[actix_rt::test]
async fn a_server_error_is_forwarded_unchanged() {
    let script = |_: usize, _: &str| Script::complete(500, "t-sign: s7\r\n", "its own words");
    let failing = StubServer::start(script).await;
    let deployment = Deployment::start(vec![plain_server("a", failing.address)]).await;
    let answer = deployment.send_request(Route::Unsafe, "r1").await;
    assert_eq!((answer.status(), answer.body()), (500, "its own words"));
    assert!(answer.0.contains("t-sign: s7"));
}

#[actix_rt::test]
async fn the_request_reaches_the_server_unchanged() {
    let server = StubServer::start(|_, _| good()).await;
    let deployment = Deployment::start(vec![plain_server("a", server.address)]).await;
    deployment.send_request(Route::Unsafe, "r1").await;
    let [seen] = &server.requests()[..] else {
        panic!("one request");
    };
    assert!(
        seen.starts_with("POST /unsafe/x?y=1 HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(seen.ends_with("\r\n\r\nbody"), "{seen}");
    assert_eq!(header(seen, "host").as_deref(), Some("desk.example"));
    assert_eq!(header(seen, "t-server").as_deref(), Some("a"));
}

#[actix_rt::test]
async fn an_extra_answer_is_not_used_for_the_next_request() {
    let twice = format!("{}{}", first_answer(), first_answer());
    let server = StubServer::start(move |number, _| match number {
        0 => Script::Hold(twice.clone()),
        _ => good(),
    })
    .await;
    let deployment = Deployment::start(vec![plain_server("a", server.address)]).await;
    let mut client = RawClient::connect(deployment.address).await;
    client.send(&request(Route::Unsafe, "r1", "")).await;
    client.read_until("first").await;
    client
        .send(&request(Route::Unsafe, "r2", "connection: close\r\n"))
        .await;
    let second = client.read_all().await;
    assert!(second.0.contains("t-id: r2"), "{second:?}");
    assert!(second.0.ends_with(ANSWER), "{second:?}");
    assert!(!second.0.contains("first"), "{second:?}");
}

fn first_answer() -> String {
    "HTTP/1.1 200 OK\r\nt-id: {id}\r\ncontent-length: 5\r\n\r\nfirst".to_owned()
}

#[actix_rt::test]
async fn an_answer_sent_before_the_body_was_read_is_forwarded() {
    let early = StubServer::start(|_, _| Script::complete(413, "t-sign: s\r\n", "too long")).await;
    let deployment = Deployment::start(vec![plain_server("a", early.address)]).await;
    let mut client = RawClient::connect(deployment.address).await;
    let body = "b".repeat(400_000);
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: desk.example\r\nt-id: r1\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    client.send(&head).await;
    client.send(&body).await;
    assert_eq!(client.read_all().await.status(), 413);
}

#[actix_rt::test]
async fn a_client_disconnect_cancels_its_request_at_the_server() {
    let server = StubServer::start(|_, _| Script::Hold(String::new())).await;
    let deployment = Deployment::start(vec![plain_server("a", server.address)]).await;
    let mut client = RawClient::connect(deployment.address).await;
    client.send(&request(Route::Unsafe, "r1", "")).await;
    wait_until(|| server.requests().len() == 1).await;
    drop(client);
    wait_until(|| server.closed_connections() == 1).await;
}

#[test_case("POST /other/x HTTP/1.1\r\nhost: desk.example\r\nt-id: r1\r\n", 404; "no route")]
#[test_case("POST /safe/x HTTP/1.1\r\nhost: desk.example\r\n", 400; "no request ID")]
#[actix_rt::test]
async fn a_request_without_route_or_id_is_refused(head: &str, status: u16) {
    let deployment = Deployment::start(Vec::new()).await;
    let mut client = RawClient::connect(deployment.address).await;
    let rest = "connection: close\r\ncontent-length: 0\r\n\r\n";
    client.send(&format!("{head}{rest}")).await;
    assert_eq!(client.read_all().await.status(), status);
}
