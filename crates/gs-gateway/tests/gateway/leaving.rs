//! Servers that say in their answers that they are leaving, while the registry lists them as before.

use gs_control::forwarding::ListedServer;
use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, Route, Script, StubServer, decode_server, plain_server, prefill_server,
    wait_until,
};

/// Number of requests that are sent after a server has said that it is leaving.
const LATER_REQUESTS: usize = 12;

/// Headers of a server that is leaving.
const LEAVING: &str = "t-leaving: 1\r\n";

/// Answers a request of any kind, with headers.
fn answer(text: &str, headers: &str) -> Script {
    if text.contains("t-stage: prefill") {
        return Script::complete(200, headers, "handle h0");
    }
    if text.starts_with("POST /stream/") {
        let head = format!("HTTP/1.1 200 OK\r\nt-id: {{id}}\r\n{headers}\r\n");
        return Script::Send(format!("{head}id: 0\ndata: event 0\n\n"));
    }
    Script::complete(200, headers, "whole")
}

/// Starts a server that answers with a status and says that it is leaving if `is_leaving`.
async fn server(is_leaving: bool, status: u16) -> StubServer {
    StubServer::start(move |_, text| match (is_leaving, status) {
        (false, _) => answer(text, ""),
        (true, 200) => answer(text, LEAVING),
        (true, 503) => Script::complete(503, &format!("{LEAVING}t-not-run: 1\r\n"), ""),
        (true, status) => Script::complete(status, LEAVING, "failed"),
    })
    .await
}

fn list(route: Route, name: &str, server: &StubServer) -> ListedServer {
    let list_server = match route {
        Route::Stream | Route::Resumable => decode_server,
        Route::Safe | Route::Unsafe => plain_server,
    };
    list_server(name, server.address)
}

async fn send_until_heard(entry: &Deployment, route: Route, leaving: &StubServer) {
    for number in 0..200 {
        if !leaving.requests().is_empty() {
            return;
        }
        entry.send_request(route, &format!("r{number}")).await;
    }
    panic!("the server got no request");
}

async fn send_later(entry: &Deployment, route: Route) -> Vec<RawAnswer> {
    let mut answers = Vec::new();
    for number in 0..LATER_REQUESTS {
        answers.push(entry.send_request(route, &format!("later{number}")).await);
    }
    answers
}

#[test_case(Route::Safe, 200; "by a plain answer")]
#[test_case(Route::Safe, 503; "by a refusal")]
#[test_case(Route::Unsafe, 500; "by a failure")]
#[test_case(Route::Stream, 200; "by the head of a stream")]
#[test_case(Route::Stream, 503; "by the refusal of a stream")]
#[actix_rt::test]
async fn a_server_that_says_it_is_leaving_gets_nothing_new(route: Route, status: u16) {
    let leaving = server(true, status).await;
    let other = server(false, 200).await;
    let listed = || vec![list(route, "s0", &leaving), list(route, "s1", &other)];
    let entry = Deployment::start(listed()).await;
    send_until_heard(&entry, route, &leaving).await;
    let before = leaving.requests().len();
    let answers = send_later(&entry, route).await;
    assert!(answers.iter().all(|answer| answer.status() == 200));
    assert_eq!(leaving.requests().len(), before);
    entry.gateway.replace_servers(listed());
    send_later(&entry, route).await;
    assert_eq!(
        leaving.requests().len(),
        before,
        "a list that says nothing of it brings it back"
    );
}

#[actix_rt::test]
async fn a_prefill_engine_that_says_it_is_leaving_gets_nothing_new() {
    let leaving = server(true, 200).await;
    let other = server(false, 200).await;
    let decode = server(false, 200).await;
    let entry = Deployment::start(vec![
        prefill_server("p0", leaving.address),
        prefill_server("p1", other.address),
        decode_server("d0", decode.address),
    ])
    .await;
    send_until_heard(&entry, Route::Stream, &leaving).await;
    let before = leaving.requests().len();
    send_later(&entry, Route::Stream).await;
    assert_eq!(leaving.requests().len(), before);
}

#[actix_rt::test]
async fn another_start_of_a_server_that_has_left_is_used_at_once() {
    let first = server(true, 200).await;
    let entry = Deployment::start(vec![list(Route::Safe, "s0", &first)]).await;
    send_until_heard(&entry, Route::Safe, &first).await;
    assert_eq!(entry.send_request(Route::Safe, "r").await.status(), 503);
    let again = server(false, 200).await;
    entry.gateway.put_server(ListedServer {
        started_at_ms: Some(7),
        ..list(Route::Safe, "s0", &again)
    });
    assert_eq!(entry.send_request(Route::Safe, "r").await.status(), 200);
}

#[actix_rt::test]
async fn peers_hear_that_a_server_is_leaving() {
    let leaving = server(true, 200).await;
    let other = server(false, 200).await;
    let listed = || {
        vec![
            list(Route::Safe, "s0", &leaving),
            list(Route::Safe, "s1", &other),
        ]
    };
    let entries = [
        Deployment::start_named("entry-1", listed()).await,
        Deployment::start_named("entry-2", listed()).await,
    ];
    Deployment::join(&entries).await;
    send_until_heard(&entries[0], Route::Safe, &leaving).await;
    let before = leaving.requests().len();
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    send_later(&entries[1], Route::Safe).await;
    assert_eq!(leaving.requests().len(), before);
}

#[actix_rt::test]
async fn a_stream_that_runs_at_a_leaving_server_goes_on_to_its_end() {
    let head = format!("HTTP/1.1 200 OK\r\nt-id: {{id}}\r\n{LEAVING}\r\n");
    let pause = std::time::Duration::from_millis(100);
    let events = ["id: 0\ndata: event 0\n\n", "id: 1\ndata: event 1\n\n"].map(str::to_owned);
    let chunks: Vec<String> = std::iter::once(head).chain(events).collect();
    let engine = StubServer::start(move |_, _| Script::Chunks(chunks.clone(), pause)).await;
    let entry = Deployment::start(vec![list(Route::Stream, "d0", &engine)]).await;
    let answer = entry.send_request(Route::Stream, "r1").await;
    assert!(answer.body().contains("event 1"), "{answer:?}");
    assert!(answer.has_last_chunk(), "{answer:?}");
    wait_until(|| entry.gateway.is_idle()).await;
}
