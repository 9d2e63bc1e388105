//! Servers that name a limit of requests a second for all entries together.

use std::time::{Duration, Instant};

use super::support::{
    Deployment, Route, Script, StubServer, decode_server, plain_server, prefill_server,
};
use test_case::test_case;

/// The named limit, in requests a second.
const LIMIT: f64 = 2.0;

/// How long clients send requests.
const SENDING_TIME: Duration = Duration::from_millis(2_500);

/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(15);

/// A plain server or decode engine that answers at once and may name a limit.
async fn server(is_limited: bool) -> StubServer {
    let limit = match is_limited {
        true => format!("t-limit: {LIMIT}\r\n"),
        false => String::new(),
    };
    StubServer::start(move |_, text| {
        if text.starts_with("POST /stream/") {
            let head = format!("HTTP/1.1 200 OK\r\nt-id: {{id}}\r\n{limit}\r\n");
            return Script::Send(format!("{head}id: 0\ndata: event 0\n\n"));
        }
        Script::complete(200, &limit, "whole")
    })
    .await
}

/// Sends requests through an entry until `until`; returns the number that were answered with success.
async fn send_requests(entry: &Deployment, route: Route, until: Instant) -> usize {
    let mut answered = 0;
    while Instant::now() < until {
        let answer = entry.send_request(route, "r1").await;
        answered += usize::from(answer.status() == 200);
        tokio::time::sleep(CLIENT_PAUSE).await;
    }
    answered
}

#[test_case(Route::Safe, false; "by plain requests beside a server without a limit")]
#[test_case(Route::Safe, true; "by plain requests where all servers name one")]
#[test_case(Route::Stream, false; "by streams beside an engine without a limit")]
#[test_case(Route::Stream, true; "by streams where all engines name one")]
#[actix_rt::test]
async fn entries_together_keep_the_limit_of_a_server(route: Route, are_all_limited: bool) {
    let prefill =
        StubServer::start(|number, _| Script::complete(200, "", &format!("handle h{number}")))
            .await;
    let servers = [server(true).await, server(are_all_limited).await];
    let list_server = match route {
        Route::Stream | Route::Resumable => decode_server,
        Route::Safe | Route::Unsafe => plain_server,
    };
    let listed = vec![
        prefill_server("p0", prefill.address),
        list_server("s0", servers[0].address),
        list_server("s1", servers[1].address),
    ];
    let mut entries = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        entries.push(Deployment::start_named(name, listed.clone()).await);
    }
    Deployment::join(&entries).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let started = Instant::now();
    let until = started + SENDING_TIME;
    let [first, second, third] = &entries[..] else {
        panic!("three entries");
    };
    let answered = tokio::join!(
        send_requests(first, route, until),
        send_requests(second, route, until),
        send_requests(third, route, until),
    );
    let answered = answered.0 + answered.1 + answered.2;
    let allowed = 1.5 * LIMIT * started.elapsed().as_secs_f64() + 5.0;
    let limited = if are_all_limited { 2 } else { 1 };
    for server in &servers[..limited] {
        let received = server.requests().len();
        assert!(
            received as f64 <= allowed,
            "{received} requests, {allowed} allowed"
        );
        // A limit is used, not avoided.
        assert!(received > 1, "{received} requests");
    }
    let received: usize = servers.iter().map(|server| server.requests().len()).sum();
    assert_eq!(
        answered, received,
        "each request that was sent was answered"
    );
}
