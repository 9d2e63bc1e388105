//! Bodies of requests that come in share a budget of memory, here 1,000,000 bytes.

use futures_util::future::join_all;
use test_case::test_case;
use tokio::io::AsyncWriteExt;

use super::support::{Deployment, RawClient, Route, Script, StubServer, plain_server, request};

/// Requests with long bodies that come in at the same time.
const REQUESTS: usize = 20;

/// Long bodies that fit into the part of the budget for them, 750,000 bytes.
const FITTING: usize = 3;

const BODY_BYTES: usize = 200_000;

async fn start() -> Deployment {
    let server = StubServer::start(|_, _| Script::complete(200, "", "whole")).await;
    Deployment::start(vec![plain_server("s0", server.address)]).await
}

/// Starts requests whose bodies come in but for their last bytes.
async fn send_parts(entry: &Deployment, is_chunked: bool) -> Vec<RawClient> {
    let part = "x".repeat(BODY_BYTES - 1);
    let bytes = match is_chunked {
        true => request(Route::Unsafe, "long", "connection: close\r\n").replace(
            "content-length: 4\r\n\r\nbody",
            &format!("transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{part}"),
        ),
        false => request(Route::Unsafe, "long", "connection: close\r\n").replace(
            "content-length: 4\r\n\r\nbody",
            &format!("content-length: {BODY_BYTES}\r\n\r\n{part}"),
        ),
    };
    let mut clients = Vec::new();
    for _ in 0..REQUESTS {
        let mut client = RawClient::connect(entry.address).await;
        // The entry may refuse the request and close the connection before all bytes are written.
        let _ = client.0.write_all(bytes.as_bytes()).await;
        clients.push(client);
    }
    clients
}

/// Guards against bodies that count only when they are in memory already, so that an entry exceeds its
/// memory.
#[test_case(false; "with their length")]
#[test_case(true; "in chunks")]
#[actix_rt::test]
async fn bodies_beyond_the_budget_are_refused_while_they_come_in(is_chunked: bool) {
    let entry = start().await;
    let clients = send_parts(&entry, is_chunked).await;
    // Small requests are served meanwhile.
    let answer = entry.send_request(Route::Unsafe, "small").await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    let rest: &[u8] = match is_chunked {
        true => b"x\r\n0\r\n\r\n",
        false => b"x",
    };
    let answers = clients.into_iter().map(|mut client| async move {
        let _ = client.0.write_all(rest).await;
        client.read_all().await.status()
    });
    let statuses = join_all(answers).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served <= FITTING, "{statuses:?}");
    assert!(statuses.contains(&503), "{statuses:?}");
}

/// What is hopeless is refused before the body comes in.
#[test_case("content-length: 5000000", 413; "longer than a body may be")]
#[test_case("content-length: 900000", 503; "longer than the budget for long bodies")]
#[actix_rt::test]
async fn a_body_that_cannot_be_kept_is_refused_at_its_head(length: &str, status: u16) {
    let entry = start().await;
    let mut client = RawClient::connect(entry.address).await;
    let head = request(Route::Unsafe, "long", "").replace("content-length: 4", length);
    client.send(&head).await;
    assert_eq!(client.read_all().await.status(), status);
}
