//! Speeds that entries learn from the answers of servers.

use std::time::Duration;

use super::support::{Deployment, Route, Script, StubServer, plain_server};

/// Requests that are sent at the same time, so that all servers get some.
const PARALLEL_REQUESTS: usize = 6;

/// Rounds after which the speeds must be known, with a pause in each.
const MAX_ROUNDS: usize = 400;

/// Requests in a row that must avoid the slow server.
const AVOIDED_REQUESTS: usize = 20;

async fn server_with(delay_ms: u64) -> StubServer {
    let Script::Send(answer) = Script::complete(200, "t-sign: s1\r\n", "whole") else {
        unreachable!("a complete answer is sent at once");
    };
    let delay = Duration::from_millis(delay_ms);
    StubServer::start(move |_, _| Script::Chunks(vec![answer.clone()], delay)).await
}

/// Idle servers are chosen in the order of their names, the slow one first, until its speed is known.
#[actix_rt::test]
async fn entries_avoid_a_server_that_answers_slowly() {
    let (slow, usual, other) = (
        server_with(80).await,
        server_with(20).await,
        server_with(20).await,
    );
    let listed = vec![
        plain_server("a", slow.address),
        plain_server("b", usual.address),
        plain_server("c", other.address),
    ];
    let entries = [
        Deployment::start_named("entry-1", listed.clone()).await,
        Deployment::start_named("entry-2", listed).await,
    ];
    Deployment::join(&entries).await;
    let mut avoided = 0;
    for round in 0..MAX_ROUNDS {
        let requests = (0..PARALLEL_REQUESTS).map(|number| {
            let entry = &entries[number % entries.len()];
            async move {
                entry
                    .send_request(Route::Safe, &format!("{round}-{number}"))
                    .await
            }
        });
        futures_util::future::join_all(requests).await;
        // Until the reports of the peer show that the servers are idle.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let before = slow.requests().len();
        let answer = entries[0]
            .send_request(Route::Safe, &format!("{round}"))
            .await;
        assert_eq!(answer.status(), 200, "{answer:?}");
        let is_avoided = slow.requests().len() == before;
        avoided = if is_avoided { avoided + 1 } else { 0 };
        if avoided == AVOIDED_REQUESTS && round > 50 {
            return;
        }
    }
    panic!("the slow server is not avoided");
}
