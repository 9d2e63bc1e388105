//! Clients that read slowly, and engines that cut off an answer which stays unread.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, decode_server, event, header, plain_server,
    request, wait_until,
};

/// Events of a stream, with as many bytes as an event may have in practice.
const EVENTS: u32 = 1_000;
const EVENT_BYTES: usize = 8_000;

/// Bytes that the sockets of the entry and of the test may hold of one stream, besides what the entry holds.
const SOCKET_BYTES: usize = 1_200_000;

/// Memory for answers of the tests' entries.
const ANSWER_BYTES: usize = 1_000_000;

fn long_event(number: u32) -> String {
    let filling = "x".repeat(EVENT_BYTES);
    event(number).replace("\n\n", &format!("\ndata: {filling}\n\n"))
}

/// An engine that streams as fast as it is read and cuts off a stream of which nothing is read for a while.
#[derive(Clone, Default)]
struct EagerEngine {
    written: Rc<Cell<usize>>,
    cuts: Rc<Cell<usize>>,
    starts: Rc<Cell<usize>>,
}

impl EagerEngine {
    async fn start(&self, patience: Duration) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let engine = self.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = engine.clone();
                actix_rt::spawn(async move { engine.serve(stream, patience).await });
            }
        });
        address
    }

    async fn serve(&self, mut stream: TcpStream, patience: Duration) {
        let sending = SockRef::from(&stream).set_send_buffer_size(16_384);
        sending.expect("a small buffer");
        let mut head = String::new();
        while !head.contains("\r\n\r\n") {
            let mut buffer = [0; 4_096];
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(read) => head += &String::from_utf8_lossy(&buffer[..read]),
            }
        }
        self.starts.set(self.starts.get() + 1);
        let id = header(&head, "t-id").unwrap_or_default();
        let after = header(&head, "t-after").and_then(|id| id.parse::<u32>().ok());
        let mut parts = vec![Script::chunked_head().replace("{id}", &id)];
        let numbers = after.map_or(0, |last| last + 1)..EVENTS;
        parts.extend(numbers.map(|number| Script::chunk(&long_event(number))));
        parts.push("0\r\n\r\n".to_owned());
        for part in parts {
            let writing = stream.write_all(part.as_bytes());
            let Ok(Ok(())) = tokio::time::timeout(patience, writing).await else {
                self.cuts.set(self.cuts.get() + 1);
                return;
            };
            self.written.set(self.written.get() + part.len());
        }
    }
}

/// Connects with a receive buffer that holds a few kilobytes.
async fn connect(entry: &Deployment) -> RawClient {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    RawClient(socket.connect(entry.address).await.expect("a connection"))
}

fn count_events(text: &str) -> u32 {
    text.matches("data: event ").count() as u32
}

const PATIENT: Duration = Duration::from_secs(60);

/// Guards against an entry that reads a whole answer for a client that reads nothing, and against a client that
/// delays the streams of others at the same engine.
#[actix_rt::test]
async fn a_client_that_does_not_read_delays_its_own_stream_only() {
    let engine = EagerEngine::default();
    let address = engine.start(PATIENT).await;
    let entry = Deployment::start(vec![decode_server("d0", address)]).await;
    let mut slow = connect(&entry).await;
    let close = "connection: close\r\n";
    slow.send(&request(Route::Stream, "r1", close)).await;
    wait_until(|| engine.written.get() > 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let written = engine.written.get();
    assert!(written < SOCKET_BYTES, "{written} bytes");
    let other = entry.send_request(Route::Stream, "r2").await;
    assert_eq!(count_events(&other.0), EVENTS);
    assert!(other.has_last_chunk());
    let answer = slow.read_all().await;
    assert_eq!(count_events(&answer.0), EVENTS);
    assert!(answer.has_last_chunk());
}

/// Guards against streams of clients that do not read and are kept, with their engines, past their time limit.
#[test_case(Route::Stream)]
#[test_case(Route::Resumable)]
#[actix_rt::test]
async fn an_unread_stream_ends_at_its_time_limit(route: Route) {
    let engine = EagerEngine::default();
    let address = engine.start(PATIENT).await;
    let entry = Deployment::start(vec![decode_server("d0", address)]).await;
    let mut slow = connect(&entry).await;
    slow.send(&request(route, "r1", "t-deadline: 600\r\n"))
        .await;
    wait_until(|| engine.written.get() > 0).await;
    wait_until(|| entry.gateway.is_idle()).await;
    drop(slow);
}

/// Guards against engines and contents that are suspected because a client did not read, so that others with the
/// same content are refused.
#[actix_rt::test]
async fn a_stream_that_was_cut_off_unread_is_not_held_against_its_content() {
    let engine = EagerEngine::default();
    let address = engine.start(Duration::from_millis(1_200)).await;
    let entry = Deployment::start(vec![decode_server("d0", address)]).await;
    let mut slow = Vec::new();
    for _ in 0..4 {
        let mut client = connect(&entry).await;
        client.send(&request(Route::Stream, "r1", "")).await;
        slow.push(client);
    }
    wait_until(|| engine.cuts.get() == slow.len()).await;
    for mut client in slow {
        let answer = client.read_all().await;
        assert!(!answer.has_last_chunk());
    }
    let other = entry.send_request(Route::Stream, "r2").await;
    assert_eq!(count_events(&other.0), EVENTS, "{}", &other.0[..200]);
}

/// Guards against a slow client that takes one engine after another, and loses a stream that can be resumed. The
/// engine that cut it off has not failed and may go on with it.
#[test_case(&["d0", "d1"]; "two engines")]
#[test_case(&["d0"]; "one engine")]
#[actix_rt::test]
async fn a_stream_that_was_cut_off_unread_is_resumed_when_its_client_reads(names: &[&str]) {
    let engine = EagerEngine::default();
    let address = engine.start(Duration::from_millis(1_200)).await;
    let listed = names.iter().map(|name| decode_server(name, address));
    let entry = Deployment::start(listed.collect()).await;
    let mut slow = connect(&entry).await;
    let close = "connection: close\r\n";
    slow.send(&request(Route::Resumable, "r1", close)).await;
    wait_until(|| engine.cuts.get() == 1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        engine.starts.get(),
        1,
        "resumed for a client that does not read"
    );
    let answer = slow.read_all().await;
    assert_eq!(count_events(&answer.0), EVENTS);
    assert!(answer.has_last_chunk());
    assert_eq!(engine.starts.get(), 2);
}

/// Guards against clients that read no answer and thereby use up the memory for the answers of others.
#[actix_rt::test]
async fn unread_answers_leave_room_for_others() {
    const CLIENTS: usize = 20;
    let part = "x".repeat(400_000);
    let server = StubServer::start(move |_, _| Script::complete(200, "", &part)).await;
    let entry = Deployment::start(vec![plain_server("s0", server.address)]).await;
    let mut slow = Vec::new();
    for number in 0..CLIENTS {
        let mut client = connect(&entry).await;
        let id = format!("r{number}");
        client.send(&request(Route::Unsafe, &id, "")).await;
        slow.push(client);
        wait_until(|| server.requests().len() == number + 1).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
        let kept = entry.gateway.kept_answer_bytes();
        assert!(kept <= ANSWER_BYTES, "{kept} bytes");
    }
    for number in 0..3 {
        let answer = entry
            .send_request(Route::Unsafe, &format!("n{number}"))
            .await;
        assert_eq!(answer.status(), 200, "{}", &answer.0[..100]);
        assert_eq!(answer.body().len(), 400_000);
    }
    drop(slow);
    wait_until(|| entry.gateway.kept_answer_bytes() == 0).await;
}
