//! Servers whose memory the bodies of requests use up.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use gs_control::forwarding::{CostUnit, KeyDigest, WorkspaceSpec, WorkspaceTable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, header, plain_server, request, wait_until,
};

const BODY_BYTES: usize = 1_000_000;

/// Requests with long bodies that come in at the same time.
const REQUESTS: usize = 20;

/// The first bound of a server, and what answers add to it.
const BOUND_BYTES: usize = 8_388_608 * 5 / 4;

/// A server that counts the bodies that it holds.
#[derive(Clone, Default)]
struct HoldingServer {
    held: Rc<Cell<usize>>,
    most_held: Rc<Cell<usize>>,
}

impl HoldingServer {
    async fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        let mut buffer = vec![0; 65_536];
        let mut held = 0;
        let id = loop {
            let Ok(read @ 1..) = stream.read(&mut buffer).await else {
                break None;
            };
            held += read;
            self.held.set(self.held.get() + read);
            self.most_held
                .set(self.most_held.get().max(self.held.get()));
            bytes.extend_from_slice(&buffer[..read]);
            if bytes.len() >= BODY_BYTES {
                let head = String::from_utf8_lossy(&bytes[..400]).into_owned();
                break header(&head, "t-id");
            }
        };
        tokio::time::sleep(Duration::from_millis(100)).await;
        self.held.set(self.held.get() - held);
        let id = id.unwrap_or_default();
        let answer = format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\ncontent-length: 5\r\n\r\nwhole");
        // The entry may have given up the request.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Guards against servers that crash because they are sent as much as clients send to the entry.
#[actix_rt::test]
async fn a_server_is_sent_a_bounded_number_of_bytes_at_once() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = HoldingServer::default();
    let shared = server.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server = shared.clone();
            actix_rt::spawn(async move { server.serve(stream).await });
        }
    });
    let entry = Deployment::start_keeping(100_000_000, vec![plain_server("s0", address)]).await;
    let body = "x".repeat(BODY_BYTES);
    let send = |number: usize| {
        let length = format!("content-length: {BODY_BYTES}\r\n\r\n{body}");
        let text = request(
            Route::Unsafe,
            &format!("r{number}"),
            "connection: close\r\n",
        );
        let text = text.replace("content-length: 4\r\n\r\nbody", &length);
        let address = entry.address;
        async move {
            let mut client = RawClient::connect(address).await;
            client.send(&text).await;
            client.read_all().await
        }
    };
    let answers = join_all((0..REQUESTS).map(send)).await;
    let most_held = server.most_held.get();
    assert!(most_held <= BOUND_BYTES, "{most_held} bytes");
    let served = answers.iter().filter(|answer| answer.status() == 200);
    assert!(served.count() >= BOUND_BYTES / BODY_BYTES / 2);
    // What was not sent is said to be not run.
    let statuses = answers.iter().map(|answer| answer.status());
    assert!(
        statuses.clone().all(|status| [200, 503].contains(&status)),
        "{:?}",
        statuses.collect::<Vec<_>>()
    );
}

/// Guards against bodies that are sent after their key was removed while they were held back.
#[actix_rt::test]
async fn a_body_that_is_held_back_is_not_sent_without_its_key() {
    let server = StubServer::start(|_, _| Script::Hold(String::new())).await;
    let listed = vec![plain_server("s0", server.address)];
    let entry = Deployment::start_keeping(100_000_000, listed).await;
    let huka = |key: &[u8]| {
        let workspace = WorkspaceSpec {
            name: "huka".to_owned(),
            rank: None,
            unit: CostUnit::Requests,
            quota: None,
        };
        let mut table = WorkspaceTable::new();
        table.insert(workspace, [KeyDigest::new(key)]);
        Some(table)
    };
    entry.apply_workspaces(2, huka(b"k1"), &[]);
    let body = "x".repeat(4_000_000);
    let mut clients = Vec::new();
    for number in 0..3 {
        let text = request(Route::Unsafe, &format!("r{number}"), "t-key: k1\r\n");
        let length = "content-length: 4000000\r\n\r\n";
        let text = text.replace("content-length: 4\r\n\r\nbody", &format!("{length}{body}"));
        let mut client = RawClient::connect(entry.address).await;
        client.send(&text).await;
        clients.push(client);
        wait_until(|| server.requests().len() == (number + 1).min(2)).await;
    }
    // The third request waits for at most half of its latency target, 400 ms.
    tokio::time::sleep(Duration::from_millis(100)).await;
    entry.apply_workspaces(3, huka(b"k2"), &[]);
    // Frees the room that the third request waits for.
    clients.remove(0);
    let answer = clients[1].read_until("\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(server.requests().len(), 2);
}
