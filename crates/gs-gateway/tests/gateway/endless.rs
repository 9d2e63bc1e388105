//! Servers that send bytes without end in place of an answer.

use gs_gateway::EventSplitter;
use test_case::test_case;

use super::support::{Deployment, Route, Script, StubServer, plain_server};

const HEAD: &str = "HTTP/1.1 200 OK\r\nt-id: {id}\r\nt-sign: s1\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

fn endless(start: &str, repeated: &str) -> Script {
    Script::Endless(start.to_owned(), repeated.to_owned())
}

/// The request may have run, so that it is neither repeated nor called not run, and the connection is
/// closed. Requests to other servers are answered meanwhile.
#[test_case(endless("HTTP/1.1 200 ", "x"); "in the status line")]
#[test_case(endless(&format!("{HEAD}x: "), "x"); "in a header")]
#[test_case(endless(HEAD, "x: y\r\n"); "in headers")]
#[test_case(endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"); "in informational heads")]
#[test_case(endless(&format!("{HEAD}{CHUNKED}5;"), "x"); "in a chunk extension")]
#[test_case(endless(&format!("{HEAD}{CHUNKED}0\r\n"), "x: y\r\n"); "in trailers")]
#[test_case(endless(&format!("{HEAD}{CHUNKED}"), "1\r\nx\r\n"); "in chunks")]
#[test_case(endless(&format!("{HEAD}\r\n"), "x"); "in a body without length")]
#[actix_rt::test]
async fn an_answer_without_end_is_closed(script: Script) {
    const REQUESTS: usize = 20;
    let server = StubServer::start(move |_, _| script.clone()).await;
    let deployment = Deployment::start(vec![plain_server("a", server.address)]).await;
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r{number}")).collect();
    let requests = ids
        .iter()
        .map(|id| deployment.send_request(Route::Unsafe, id));
    for answer in futures_util::future::join_all(requests).await {
        assert!([502, 504].contains(&answer.status()), "{answer:?}");
    }
    assert_eq!(server.requests().len(), REQUESTS);
    super::support::wait_until(|| server.closed_connections() == REQUESTS).await;
}

/// What one connection of an engine can make an entry keep.
#[test]
fn an_event_without_end_is_refused_at_a_bound() {
    const MAX_KEPT_BYTES: usize = 65_536;
    let mut splitter = EventSplitter::default();
    let mut kept = 0;
    while splitter.push(&[b'x'; 1_024]).is_ok() {
        assert_eq!(splitter.next_event(), None);
        kept += 1_024;
        assert!(kept <= MAX_KEPT_BYTES, "{kept} bytes are kept");
    }
}

/// Long answers that do not go on use up the memory for answers; the next long one is given up, and short
/// ones are read.
#[actix_rt::test]
async fn unfinished_answers_share_a_budget_of_memory() {
    const REQUESTS: usize = 20;
    /// Of a budget of 1,000,000 bytes, each answer uses what is beyond its first 65,536.
    const FITTING: usize = 7;
    let part = "x".repeat(200_000);
    let server = StubServer::start(move |_, _| {
        Script::Hold(format!("{HEAD}content-length: 300000\r\n\r\n{part}"))
    })
    .await;
    let deployment = Deployment::start(vec![plain_server("a", server.address)]).await;
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r{number}")).collect();
    let long = ids
        .iter()
        .map(|id| deployment.send_request(Route::Unsafe, id));
    let long = futures_util::future::join_all(long);
    let check = async {
        super::support::wait_until(|| server.closed_connections() >= REQUESTS - FITTING).await;
        assert_eq!(server.closed_connections(), REQUESTS - FITTING);
        let other =
            StubServer::start(|_, _| Script::complete(200, "t-sign: s1\r\n", "short")).await;
        deployment
            .gateway
            .replace_servers(vec![plain_server("b", other.address)]);
        let answer = deployment.send_request(Route::Unsafe, "short").await;
        assert_eq!(answer.status(), 200);
    };
    let (answers, ()) = futures_util::future::join(long, check).await;
    assert!(
        answers
            .iter()
            .all(|answer| [502, 504].contains(&answer.status()))
    );
}
