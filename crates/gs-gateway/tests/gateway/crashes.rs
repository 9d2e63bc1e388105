//! Requests that crash the servers that begin to answer them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gs_control::forwarding::{CostUnit, KeyDigest, WorkspaceSpec, WorkspaceTable};
use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, RawClient, Route, Script, StubServer, decode_server, header,
    plain_server, prefill_server, request,
};

/// Time until a crashed server is back.
const DOWN_TIME: Duration = Duration::from_millis(40);

/// Time between two requests, in which crashed servers come back and entries exchange reports.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

/// Requests that crash servers, in each test.
const HARMFUL_REQUESTS: usize = 20;

fn crash(head: String) -> Script {
    Script::Crash(head, DOWN_TIME)
}

/// A decode engine that crashes when it begins to answer a prompt with the part `harmful`.
async fn decode_engine() -> StubServer {
    StubServer::start(|_, text| {
        let parts = header(text, "t-parts").unwrap_or_default();
        if parts.split(',').any(|part| part == "harmful") {
            return crash(Script::chunked_head());
        }
        let chunks = vec![
            Script::chunked_head(),
            Script::chunk("id: 0\ndata: event 0\n\n"),
            "0\r\n\r\n".to_owned(),
        ];
        Script::Chunks(chunks, Duration::from_millis(1))
    })
    .await
}

async fn start_entries(servers: &[gs_control::forwarding::ListedServer]) -> Vec<Deployment> {
    let mut entries = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        entries.push(Deployment::start_named(name, servers.to_vec()).await);
    }
    Deployment::join(&entries).await;
    tokio::time::sleep(REQUEST_PAUSE).await;
    entries
}

/// Sends a request whose query is `query`, and waits for [`REQUEST_PAUSE`] after its answer.
async fn send(entry: &Deployment, route: Route, id: &str, query: &str, headers: &str) -> RawAnswer {
    let mut client = RawClient::connect(entry.address).await;
    let headers = format!("connection: close\r\n{headers}");
    let bytes = request(route, id, &headers).replace("?y=1", &format!("?y={query}"));
    client.send(&bytes).await;
    let answer = client.read_all().await;
    tokio::time::sleep(REQUEST_PAUSE).await;
    answer
}

#[actix_rt::test]
async fn different_requests_with_a_harmful_prompt_part_crash_few_engines() {
    let prefill =
        StubServer::start(|number, _| Script::complete(200, "", &format!("handle h{number}")))
            .await;
    let mut decodes = Vec::new();
    let mut listed = vec![prefill_server("p0", prefill.address)];
    for number in 0..4 {
        let decode = decode_engine().await;
        listed.push(decode_server(&format!("d{number}"), decode.address));
        decodes.push(decode);
    }
    let entries = start_entries(&listed).await;
    let mut refused = 0;
    for number in 0..HARMFUL_REQUESTS {
        let entry = &entries[number % entries.len()];
        let (harmful, sound) = (format!("h{number}"), format!("s{number}"));
        let parts = "t-parts: shared,harmful\r\n";
        let answer = send(entry, Route::Stream, &harmful, &harmful, parts).await;
        refused += usize::from(answer.status() == 503);
        let parts = format!("t-parts: shared,common-{}\r\n", number % 2);
        let answer = send(entry, Route::Stream, &sound, &sound, &parts).await;
        assert!(
            answer.has_last_chunk(),
            "sound request {number}: {answer:?}"
        );
    }
    let crashes: usize = decodes.iter().map(StubServer::crashes).sum();
    // Five crashes, and three more requests that reach engines.
    assert!(crashes <= 8, "{crashes} crashes");
    assert_eq!(refused + crashes, HARMFUL_REQUESTS);
}

#[actix_rt::test]
async fn a_plain_request_that_crashes_servers_and_comes_again_is_refused() {
    let mut servers = Vec::new();
    let mut listed = Vec::new();
    for number in 0..3 {
        let server = StubServer::start(|_, text| match text.contains("?y=harmful") {
            true => crash(String::new()),
            false => Script::complete(200, "", "whole"),
        })
        .await;
        listed.push(plain_server(&format!("s{number}"), server.address));
        servers.push(server);
    }
    let entries = start_entries(&listed).await;
    for number in 0..HARMFUL_REQUESTS {
        let entry = &entries[number % entries.len()];
        let (harmful, sound) = (format!("h{number}"), format!("s{number}"));
        send(entry, Route::Safe, &harmful, "harmful", "").await;
        let answer = send(entry, Route::Safe, &sound, &sound, "").await;
        assert_eq!(answer.body(), "whole", "sound request {number}");
    }
    let crashes: usize = servers.iter().map(StubServer::crashes).sum();
    // Three crashes, and three more requests that reach servers.
    assert!(crashes <= 6, "{crashes} crashes");
}

// Guards against a harmful request that is sent on and on because a faulty server answers it with an error.
#[test_case(500; "an internal error")]
#[test_case(504; "a time-out")]
#[actix_rt::test]
async fn an_error_of_a_server_does_not_clear_a_request_that_crashes_others(status: u16) {
    let is_harmful = Rc::new(Cell::new(false));
    let mut servers = Vec::new();
    let mut listed = Vec::new();
    for number in 0..2 {
        let is_harmful = Rc::clone(&is_harmful);
        let server = StubServer::start(move |_, _| match is_harmful.get() {
            true if number == 0 => Script::complete(status, "", "failed"),
            true => crash(String::new()),
            false => Script::complete(200, "", "whole"),
        })
        .await;
        listed.push(plain_server(&format!("s{number}"), server.address));
        servers.push(server);
    }
    let entries = start_entries(&listed).await;
    for entry in &entries {
        let answer = send(entry, Route::Safe, "first", "same", "").await;
        assert_eq!(answer.body(), "whole");
    }
    is_harmful.set(true);
    for number in 0..HARMFUL_REQUESTS {
        let entry = &entries[number % entries.len()];
        send(entry, Route::Safe, &format!("h{number}"), "same", "").await;
    }
    let crashes: usize = servers.iter().map(StubServer::crashes).sum();
    // Three crashes, and three more requests that reach servers.
    assert!(crashes <= 6, "{crashes} crashes");
}

/// Two workspaces, each with its name as its key.
fn two_workspaces() -> WorkspaceTable {
    let mut table = WorkspaceTable::new();
    for name in ["acme", "birch"] {
        let workspace = WorkspaceSpec {
            name: name.to_owned(),
            rank: None,
            unit: CostUnit::Requests,
            quota: None,
        };
        table.insert(workspace, [KeyDigest::new(name.as_bytes())]);
    }
    table
}

// Guards against a harmful request that is sent on and on because another workspace's equal request is answered.
#[actix_rt::test]
async fn a_request_that_crashes_servers_is_refused_although_another_workspace_sends_the_same() {
    let mut servers = Vec::new();
    let mut listed = Vec::new();
    for number in 0..3 {
        let server = StubServer::start(|_, text| match header(text, "t-workspace").as_deref() {
            Some("acme") => crash(String::new()),
            _ => Script::complete(200, "", "whole"),
        })
        .await;
        listed.push(plain_server(&format!("s{number}"), server.address));
        servers.push(server);
    }
    let entries = start_entries(&listed).await;
    for entry in &entries {
        entry.apply_workspaces(2, Some(two_workspaces()), &[]);
        let answer = send(entry, Route::Safe, "first", "same", "t-key: birch\r\n").await;
        assert_eq!(answer.body(), "whole");
    }
    for number in 0..HARMFUL_REQUESTS {
        let entry = &entries[number % entries.len()];
        let (harmful, sound) = (format!("h{number}"), format!("s{number}"));
        let answer = send(entry, Route::Safe, &sound, "same", "t-key: birch\r\n").await;
        assert_eq!(answer.body(), "whole", "sound request {number}");
        send(entry, Route::Safe, &harmful, "same", "t-key: acme\r\n").await;
    }
    let crashes: usize = servers.iter().map(StubServer::crashes).sum();
    // Three crashes, and three more requests that reach servers.
    assert!(crashes <= 6, "{crashes} crashes");
}
