//! Plain requests of workspaces while the queues of all servers are long.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_control::forwarding::{
    ClientLimits, CostUnit, KeyDigest, RouteKind, RouteRule, RouteTable, RouteTarget, ServiceSpec,
    WorkspaceSpec, WorkspaceTable,
};
use test_case::test_case;

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, decode_server, events, header, plain_server,
    prefill_server, request, wait_until,
};

/// Requests that a server with four slots gets before others are held back: 2.5 times its slots.
const UNHELD_REQUESTS: usize = 10;

/// Time in which a request that was sent has reached the queue of the entry.
const ARRIVAL: Duration = Duration::from_millis(300);

fn rule(latency_target: Duration) -> RouteRule {
    RouteRule {
        name: "unsafe".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/unsafe/".to_owned(),
        kind: RouteKind::Unsafe,
        timeout: Duration::from_secs(60),
        latency_target,
        rank: 1,
        is_public: false,
        targets: vec![RouteTarget {
            service: "desk".into(),
            weight: 1,
        }],
        max_attempts: 1,
    }
}

/// Returns a configuration with workspaces of two ranks, whose keys are their names.
fn workspaces() -> WorkspaceTable {
    let mut table = WorkspaceTable::new();
    for (name, rank) in [("urgent", 0), ("usual", 1)] {
        let workspace = WorkspaceSpec {
            name: name.to_owned(),
            rank: Some(rank),
            unit: CostUnit::Requests,
            quota: None,
        };
        table.insert(workspace, [KeyDigest::new(name.as_bytes())]);
    }
    table
}

/// Starts an entry with a server that answers nothing and has a long queue, by clients that are
/// returned.
async fn full_deployment(
    latency_target: Duration,
    has_workspaces: bool,
) -> (Deployment, StubServer, Vec<RawClient>) {
    let server = StubServer::start(|_, _| Script::Hold(String::new())).await;
    let deployment = Deployment::start(vec![plain_server("a", server.address)]).await;
    let spec = ServiceSpec {
        max_connections: None,
        engine: None,
    };
    let services = BTreeMap::from([("desk".into(), spec)]);
    let rules = vec![rule(latency_target)];
    let mut table = RouteTable::new(2, ClientLimits::default(), rules, services);
    table.workspaces = has_workspaces.then(workspaces);
    deployment.gateway.apply_table(table);
    let mut clients = Vec::new();
    for number in 0..UNHELD_REQUESTS {
        clients.push(send(&deployment, &format!("r{number}"), "usual").await);
        wait_until(|| server.requests().len() == number + 1).await;
    }
    (deployment, server, clients)
}

/// Sends a request on a connection of its own.
async fn send(deployment: &Deployment, id: &str, key: &str) -> RawClient {
    let mut client = RawClient::connect(deployment.address).await;
    let headers = format!("connection: close\r\nt-key: {key}\r\n");
    client.send(&request(Route::Unsafe, id, &headers)).await;
    client
}

#[actix_rt::test]
async fn a_request_that_finds_no_slot_is_refused_with_the_time_to_return() {
    let (deployment, server, _clients) = full_deployment(Duration::from_millis(400), true).await;
    let mut client = send(&deployment, "r4", "usual").await;
    let answer = client.read_all().await;
    assert_eq!(answer.status(), 503, "{answer:?}");
    let after = header(&answer.0, "t-retry").and_then(|text| text.parse::<f64>().ok());
    assert!(after.is_some_and(|after| after > 0.0), "{answer:?}");
    assert_eq!(server.requests().len(), UNHELD_REQUESTS);
}

/// Guards against a free slot that goes to a client that has left or to a less urgent request.
#[actix_rt::test]
async fn a_free_slot_goes_to_the_most_urgent_held_request_whose_client_waits() {
    let (deployment, server, mut clients) = full_deployment(Duration::from_secs(50), true).await;
    let left = send(&deployment, "left", "urgent").await;
    let mut held = Vec::new();
    for (id, key) in [("usual", "usual"), ("urgent", "urgent")] {
        tokio::time::sleep(ARRIVAL).await;
        held.push(send(&deployment, id, key).await);
    }
    tokio::time::sleep(ARRIVAL).await;
    drop(left);
    tokio::time::sleep(ARRIVAL).await;
    assert_eq!(server.requests().len(), UNHELD_REQUESTS);
    for (sent, id) in ["urgent", "usual"].into_iter().enumerate() {
        drop(clients.pop());
        wait_until(|| server.requests().len() == UNHELD_REQUESTS + sent + 1).await;
        let last = server.requests().pop().expect("a request");
        assert_eq!(header(&last, "t-id").as_deref(), Some(id), "{last}");
    }
    drop(clients);
    tokio::time::sleep(ARRIVAL).await;
    assert_eq!(server.requests().len(), UNHELD_REQUESTS + 2);
}

/// Guards against a queue that takes effect where the configuration has no workspaces.
#[test_case(false, UNHELD_REQUESTS + 1; "sent without workspaces")]
#[test_case(true, UNHELD_REQUESTS; "held with workspaces")]
#[actix_rt::test]
async fn requests_are_held_only_with_workspaces(has_workspaces: bool, received: usize) {
    let (deployment, server, _clients) =
        full_deployment(Duration::from_secs(50), has_workspaces).await;
    let _client = send(&deployment, "r4", "usual").await;
    tokio::time::sleep(ARRIVAL).await;
    wait_until(|| server.requests().len() == received).await;
}

/// Guards against streams of workspaces that the admission queue keeps.
#[actix_rt::test]
async fn a_stream_of_a_workspace_is_admitted() {
    let prefill = StubServer::start(|_, _| Script::complete(200, "", "handle h1")).await;
    let decode = StubServer::start(|_, _| events(0..3, true)).await;
    let listed = vec![
        prefill_server("p", prefill.address),
        decode_server("d", decode.address),
    ];
    let deployment = Deployment::start(listed).await;
    let table = deployment.gateway.table().expect("a table");
    let mut table = RouteTable::clone(&table);
    table.version = 2;
    table.workspaces = Some(workspaces());
    deployment.gateway.apply_table(table);
    let mut client = RawClient::connect(deployment.address).await;
    let headers = "connection: close\r\nt-key: usual\r\n";
    client.send(&request(Route::Stream, "r1", headers)).await;
    let answer = client.read_all().await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert!(answer.has_last_chunk(), "{answer:?}");
}
