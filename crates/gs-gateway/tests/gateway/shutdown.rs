//! Requests at an entry that shuts down; its grace period is four seconds.

use std::time::Duration;

use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, RawClient, Route, Script, StubServer, decode_server, events,
    plain_server, request, wait_until,
};

/// Starts an entry before one server of each service, which runs the same script.
async fn start(script: impl Fn(usize, &str) -> Script + 'static) -> (Deployment, StubServer) {
    let server = StubServer::start(script).await;
    let listed = vec![
        plain_server("s0", server.address),
        decode_server("d0", server.address),
    ];
    (Deployment::start(listed).await, server)
}

fn answer(text: &str) -> Script {
    match text.starts_with("POST /stream/") {
        true => events(0..3, true),
        false => Script::complete(200, "", "whole"),
    }
}

async fn send(entry: &Deployment, route: Route, deadline_ms: u32) -> RawAnswer {
    let mut client = RawClient::connect(entry.address).await;
    let headers = format!("connection: close\r\nt-deadline: {deadline_ms}\r\n");
    client.send(&request(route, "r1", &headers)).await;
    client.read_all().await
}

fn assert_refused(answer: &RawAnswer) {
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert!(answer.body().contains("not run"), "{answer:?}");
    assert!(answer.0.contains("t-retry: 0"), "{answer:?}");
    assert!(answer.0.contains("connection: close"), "{answer:?}");
}

/// Guards against requests that are sent to a server and cut when the process exits.
#[test_case(Route::Safe)]
#[test_case(Route::Unsafe)]
#[test_case(Route::Stream)]
#[actix_rt::test]
async fn a_request_that_may_outlast_the_process_is_refused_as_not_run(route: Route) {
    let (entry, server) = start(|_, text| answer(text)).await;
    entry.gateway.begin_shutdown();
    assert_refused(&send(&entry, route, 4_500).await);
    assert_eq!(server.requests().len(), 0);
    let answer = send(&entry, route, 2_000).await;
    assert_eq!(answer.status(), 200, "{answer:?}");
}

/// Clients that still use the address of an entry are served if a stream is sure enough to end.
#[actix_rt::test]
async fn a_stream_that_is_expected_to_end_in_time_is_accepted() {
    let (entry, server) = start(|_, text| answer(text)).await;
    assert_eq!(send(&entry, Route::Stream, 4_500).await.status(), 200);
    wait_until(|| entry.gateway.is_idle()).await;
    entry.gateway.begin_shutdown();
    let answer = send(&entry, Route::Stream, 4_500).await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    assert_eq!(server.requests().len(), 2);
}

/// Guards against streams that wait for capacity although they can no longer end in time.
#[actix_rt::test]
async fn a_waiting_stream_is_refused_when_the_shutdown_begins() {
    let entry = Deployment::start(Vec::new()).await;
    let waiting = send(&entry, Route::Stream, 4_500);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.gateway.begin_shutdown();
    };
    let (answer, ()) = futures_util::future::join(waiting, stop).await;
    assert_refused(&answer);
}
