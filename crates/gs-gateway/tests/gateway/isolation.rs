//! An entry that reaches no server while its peers do.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_control::forwarding::ListedServer;
use gs_protocol::ids::DataCentreName;
use test_case::test_case;

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, decode_server, events, header, keyed_table,
    plain_server, prefill_server, request, wait_until,
};

/// Time within which an entry must serve again.
const MAX_RECOVERY: Duration = Duration::from_secs(5);

/// Returns an address at which connections are refused.
async fn refusing_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a port");
    listener.local_addr().expect("an address")
}

/// Two entries that know each other: the first reaches no server, the second the given ones.
async fn partitioned_pair(sound: Vec<ListedServer>) -> [Deployment; 2] {
    let nowhere = refusing_address().await;
    let cut_off = sound.iter().cloned().map(|server| ListedServer {
        address: nowhere,
        ..server
    });
    let entries = [
        Deployment::start_named("cut-off", cut_off.collect()).await,
        Deployment::start_named("sound", sound).await,
    ];
    Deployment::join(&entries).await;
    wait_until(|| !entries[0].gateway.substitutes().is_empty()).await;
    entries
}

/// Sends requests until the entry has found out that it reaches no server.
async fn isolate(entry: &Deployment) {
    for number in 0..100 {
        if entry.gateway.is_isolated() {
            return;
        }
        let id = format!("lost-{number}");
        entry.send_request(Route::Safe, &id).await;
    }
    panic!("the entry still believes that it reaches servers");
}

#[test_case(Route::Safe; "a safe request")]
#[test_case(Route::Unsafe; "an unsafe request")]
#[test_case(Route::Resumable; "a stream")]
#[actix_rt::test]
async fn an_entry_cut_from_all_servers_serves_through_its_peers(route: Route) {
    let desk = StubServer::start(|_, _| Script::complete(200, "", "done")).await;
    let prefill = StubServer::start(|_, _| Script::complete(200, "", "handle h1")).await;
    let decode = StubServer::start(|_, _| events(0..3, true)).await;
    let entries = partitioned_pair(vec![
        plain_server("desk-1", desk.address),
        prefill_server("prefill-1", prefill.address),
        decode_server("decode-1", decode.address),
    ])
    .await;
    let started = Instant::now();
    let mut tries = 0;
    let answer = loop {
        tries += 1;
        let answer = entries[0].send_request(route, &format!("id-{tries}")).await;
        if answer.status() == 200 || started.elapsed() > MAX_RECOVERY {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!(answer.status(), 200, "{answer:?} after {tries} tries");
    match route {
        Route::Safe | Route::Unsafe => assert!(answer.0.contains("done"), "{answer:?}"),
        Route::Stream | Route::Resumable => {
            assert!(answer.0.contains("event 2"), "{answer:?}");
            assert!(answer.has_last_chunk(), "{answer:?}");
        }
    }
}

#[actix_rt::test]
async fn clients_are_directed_to_entries_that_reach_servers() {
    let desk = StubServer::start(|_, _| Script::complete(200, "", "done")).await;
    let entries = partitioned_pair(vec![plain_server("desk-1", desk.address)]).await;
    let north = DataCentreName::from("north");
    let addresses = |entry: &Deployment| -> Vec<SocketAddr> {
        let endpoints = entry.gateway.endpoints_for(&north).into_iter();
        endpoints.map(|endpoint| endpoint.address).collect()
    };
    assert_eq!(addresses(&entries[0]).len(), 2);
    isolate(&entries[0]).await;
    wait_until(|| {
        let sound = vec![entries[1].address];
        addresses(&entries[0]) == sound && addresses(&entries[1]) == sound
    })
    .await;
}

#[actix_rt::test]
async fn entries_that_all_reach_no_server_refuse_requests_at_once() {
    let nowhere = refusing_address().await;
    let entries = partitioned_pair(vec![plain_server("desk-1", nowhere)]).await;
    for entry in &entries {
        isolate(entry).await;
    }
    for number in 0..5 {
        let id = format!("id-{number}");
        let answer = entries[0].send_request(Route::Unsafe, &id);
        let answer = tokio::time::timeout(MAX_RECOVERY, answer).await;
        assert_eq!(answer.expect("an answer").status(), 503);
    }
    let north = DataCentreName::from("north");
    assert_eq!(entries[0].gateway.endpoints_for(&north).len(), 2);
}

#[actix_rt::test]
async fn an_unsafe_request_that_breaks_off_at_a_peer_runs_once() {
    let desk = StubServer::start(|_, _| Script::Reset(String::new())).await;
    let entries = partitioned_pair(vec![plain_server("desk-1", desk.address)]).await;
    isolate(&entries[0]).await;
    let runs = desk.requests().len();
    let answer = entries[0].send_request(Route::Unsafe, "once").await;
    assert_eq!(answer.status(), 502, "{answer:?}");
    assert_eq!(desk.requests().len(), runs + 1);
}

#[actix_rt::test]
async fn a_stream_that_breaks_off_at_a_peer_is_not_complete() {
    let prefill = StubServer::start(|_, _| Script::complete(200, "", "handle h1")).await;
    let decode = StubServer::start(|_, _| events(0..2, false)).await;
    let desk = StubServer::start(|_, _| Script::complete(200, "", "done")).await;
    let entries = partitioned_pair(vec![
        plain_server("desk-1", desk.address),
        prefill_server("prefill-1", prefill.address),
        decode_server("decode-1", decode.address),
    ])
    .await;
    isolate(&entries[0]).await;
    let answer = entries[0].send_request(Route::Stream, "broken").await;
    assert!(answer.0.contains("event 1"), "{answer:?}");
    assert!(!answer.has_last_chunk(), "{answer:?}");
}

#[actix_rt::test]
async fn a_server_stops_when_the_client_of_an_isolated_entry_leaves() {
    let desk = StubServer::start(|_, _| Script::Hold(String::new())).await;
    let entries = partitioned_pair(vec![plain_server("desk-1", desk.address)]).await;
    isolate(&entries[0]).await;
    let mut client = RawClient::connect(entries[0].address).await;
    client.send(&request(Route::Unsafe, "leaves", "")).await;
    wait_until(|| !desk.requests().is_empty()).await;
    assert!(!entries[1].gateway.is_idle());
    drop(client);
    wait_until(|| entries[1].gateway.is_idle() && entries[0].gateway.is_idle()).await;
}

#[actix_rt::test]
async fn the_time_that_a_request_has_left_shrinks_on_its_way_through_a_peer() {
    let desk = StubServer::start(|_, _| Script::complete(200, "", "done")).await;
    let entries = partitioned_pair(vec![plain_server("desk-1", desk.address)]).await;
    isolate(&entries[0]).await;
    let mut client = RawClient::connect(entries[0].address).await;
    let sent = request(
        Route::Unsafe,
        "timed",
        "t-deadline: 900\r\nconnection: close\r\n",
    );
    client.send(&sent).await;
    let answer = client.read_all().await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    let requests = desk.requests();
    let left = header(requests.last().expect("a request"), "t-left");
    let left: u64 = left.and_then(|left| left.parse().ok()).expect("a time");
    assert!(left < 900, "{left}");
}

/// The entry that is cut off has an older configuration, with a key that was removed since.
#[test_case("key-of-today", 200; "a key that the peer knows")]
#[test_case("key-of-old", 401; "a key that was removed")]
#[actix_rt::test]
async fn the_peer_alone_checks_keys(key: &'static str, status: u16) {
    let desk = StubServer::start(|_, _| Script::complete(200, "", "done")).await;
    let entries = partitioned_pair(vec![plain_server("desk-1", desk.address)]).await;
    isolate(&entries[0]).await;
    let [cut_off, sound] = &entries;
    cut_off.gateway.apply_table(keyed_table(2, &["key-of-old"]));
    sound.gateway.apply_table(keyed_table(3, &["key-of-today"]));
    let runs = desk.requests().len();
    let mut client = RawClient::connect(cut_off.address).await;
    let headers = format!("connection: close\r\nt-key: {key}\r\n");
    client.send(&request(Route::Safe, "keyed", &headers)).await;
    let answer = client.read_all().await;
    assert_eq!(answer.status(), status, "{answer:?}");
    let requests = desk.requests();
    assert_eq!(requests.len() - runs, usize::from(status == 200));
    for sent in &requests[runs..] {
        assert_eq!(header(sent, "t-workspace").as_deref(), Some("huka"));
        assert!(!sent.contains(key), "{sent}");
    }
}
