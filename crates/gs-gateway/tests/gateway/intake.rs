//! Servers whose memory the bodies of requests use up.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::support::{Deployment, RawClient, Route, header, plain_server, request};

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
