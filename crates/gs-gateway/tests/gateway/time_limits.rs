//! Requests end by their time limit, whatever servers and clients do meanwhile.

use std::time::Duration;

use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, RawClient, Route, Script, StubServer, decode_server, event,
    plain_server, request, wait_until,
};

/// Time limit of the requests, in milliseconds.
const LIMIT_MS: u32 = 600;

/// Time after which an exchange without an end counts as endless.
const ENDLESS: Duration = Duration::from_secs(8);

/// Pause between the parts of a stream that goes on without an end.
const PAUSE: Duration = Duration::from_millis(50);

async fn send(entry: &Deployment, route: Route) -> RawAnswer {
    let mut client = RawClient::connect(entry.address).await;
    let headers = format!("connection: close\r\nt-deadline: {LIMIT_MS}\r\n");
    client.send(&request(route, "r1", &headers)).await;
    let answer = tokio::time::timeout(ENDLESS, client.read_all()).await;
    answer.expect("the answer ends")
}

/// Sends the head and one event, then a part again and again.
fn stream_then(part: &str) -> Script {
    let first = [Script::chunked_head(), Script::chunk(&event(0))];
    let parts = std::iter::repeat_n(part.to_owned(), 400);
    Script::Chunks(first.into_iter().chain(parts).collect(), PAUSE)
}

fn hold() -> Script {
    Script::Hold(Script::chunked_head() + &Script::chunk(&event(0)))
}

/// Guards against streams that are held open past their time limit.
#[test_case(Route::Stream, hold(); "silence")]
#[test_case(Route::Resumable, hold(); "silence of a resumable stream")]
#[test_case(Route::Stream, stream_then(&Script::chunk(":\n\n")); "comments")]
#[test_case(Route::Stream, stream_then(&Script::chunk("x")); "an event without end")]
#[test_case(Route::Stream, stream_then(&Script::chunk(&event(1))); "events without end")]
#[actix_rt::test]
async fn a_stream_ends_at_its_time_limit(route: Route, script: Script) {
    let engine = StubServer::start(move |_, _| script.clone()).await;
    let entry = Deployment::start(vec![decode_server("d0", engine.address)]).await;
    let answer = send(&entry, route).await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert!(answer.body().contains("event 0"), "{answer:?}");
    assert!(!answer.has_last_chunk(), "{answer:?}");
    assert_eq!(engine.requests().len(), 1);
    wait_until(|| entry.gateway.is_idle()).await;
}

/// Guards against heads that are awaited past the time limit.
#[test_case(Script::Hold(String::new()); "silence")]
#[test_case(Script::Chunks(vec!["HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(); 400], PAUSE); "informational heads")]
#[actix_rt::test]
async fn a_stream_without_a_head_ends_at_its_time_limit(script: Script) {
    let engine = StubServer::start(move |_, _| script.clone()).await;
    let entry = Deployment::start(vec![decode_server("d0", engine.address)]).await;
    let answer = send(&entry, Route::Stream).await;
    assert_eq!(answer.status(), 504, "{answer:?}");
    wait_until(|| entry.gateway.is_idle()).await;
}

/// A stream within its time limit is complete however slow it is.
#[actix_rt::test]
async fn a_slow_stream_within_its_time_limit_is_complete() {
    let chunks = [
        Script::chunked_head(),
        Script::chunk(&event(0)),
        Script::chunk(&event(1)),
        "0\r\n\r\n".to_owned(),
    ];
    let pause = Duration::from_secs(1);
    let engine = StubServer::start(move |_, _| Script::Chunks(chunks.to_vec(), pause)).await;
    let entry = Deployment::start(vec![decode_server("d0", engine.address)]).await;
    let answer = entry.send_request(Route::Stream, "r1").await;
    assert!(answer.body().contains("event 1"), "{answer:?}");
    assert!(answer.has_last_chunk(), "{answer:?}");
}

/// Guards against connections that are held for a body that stops coming.
#[test_case(Route::Safe)]
#[test_case(Route::Unsafe)]
#[test_case(Route::Stream)]
#[actix_rt::test]
async fn a_request_whose_body_stops_coming_is_refused_at_its_time_limit(route: Route) {
    let server = StubServer::start(|_, _| Script::complete(200, "", "whole")).await;
    let listed = vec![
        plain_server("s0", server.address),
        decode_server("d0", server.address),
    ];
    let entry = Deployment::start(listed).await;
    let mut client = RawClient::connect(entry.address).await;
    let headers = format!("t-deadline: {LIMIT_MS}\r\n");
    let bytes = request(route, "r1", &headers).replace("length: 4", "length: 400");
    client.send(&bytes).await;
    let answer = tokio::time::timeout(ENDLESS, client.read_all()).await;
    let answer = answer.expect("the answer ends");
    assert_eq!(answer.status(), 408, "{answer:?}");
    assert_eq!(server.requests().len(), 0);
}

/// Guards against streams that wait for an engine past their time limit. Both wait for the same time
/// otherwise.
#[actix_rt::test]
async fn a_waiting_stream_is_refused_at_its_time_limit() {
    let earlier_entry = Deployment::start(Vec::new()).await;
    let entry = Deployment::start(Vec::new()).await;
    let limited = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut client = RawClient::connect(entry.address).await;
        let headers = "connection: close\r\nt-deadline: 100\r\n";
        client.send(&request(Route::Stream, "r1", headers)).await;
        client.read_all().await
    };
    tokio::select! {
        biased;
        answer = limited => assert_eq!(answer.status(), 503, "{answer:?}"),
        answer = send(&earlier_entry, Route::Stream) => panic!("refused first: {answer:?}"),
    }
}
