//! An entry that reaches no server while its peers do.

use std::net::SocketAddr;
use std::time::Duration;

use test_case::test_case;

use super::support::{
    Deployment, Route, Script, StubServer, decode_server, events, plain_server, prefill_server,
};

/// Time within which an entry must serve again.
const MAX_RECOVERY: Duration = Duration::from_secs(5);

/// Returns an address at which connections are refused.
async fn refusing_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a port");
    listener.local_addr().expect("an address")
}

#[test_case(Route::Safe; "a safe request")]
#[test_case(Route::Unsafe; "an unsafe request")]
#[test_case(Route::Resumable; "a stream")]
#[actix_rt::test]
async fn an_entry_cut_from_all_servers_serves_through_its_peers(route: Route) {
    let desk = StubServer::start(|_, _| Script::complete(200, "", "done")).await;
    let prefill = StubServer::start(|_, _| Script::complete(200, "", "handle h1")).await;
    let decode = StubServer::start(|_, _| events(0..3, true)).await;
    let nowhere = refusing_address().await;
    let listed = |desk: SocketAddr, prefill: SocketAddr, decode: SocketAddr| {
        vec![
            plain_server("desk-1", desk),
            prefill_server("prefill-1", prefill),
            decode_server("decode-1", decode),
        ]
    };
    let cut_off = listed(nowhere, nowhere, nowhere);
    let sound = listed(desk.address, prefill.address, decode.address);
    let entries = [
        Deployment::start_named("cut-off", cut_off).await,
        Deployment::start_named("sound", sound).await,
    ];
    Deployment::join(&entries).await;
    let started = std::time::Instant::now();
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
