//! Answers that a server begins before it has read the request, and answers without a valid status.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, decode_server, plain_server, prefill_server,
    request,
};

const BODY_BYTES: usize = 600_000;

/// Bytes of a request that a server's kernel takes while the server does not read.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// How often a race between the parts of an exchange is run.
const ROUNDS: u64 = 40;

/// How a server that has not read the request ends the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EarlyEnd {
    /// It resets the connection, with nothing more to read.
    Reset,
    /// It closes the connection with the rest of the request unread, which resets it too.
    CloseUnread,
}

/// Reads the head of a request, answers at once without a length, and ends the connection after a pause.
async fn answer_early(mut stream: TcpStream, end: EarlyEnd, pause: Duration) {
    let mut seen = Vec::new();
    while !seen.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => seen.push(byte),
            Err(_) => return,
        }
    }
    let seen = String::from_utf8_lossy(&seen).into_owned();
    let id = seen.lines().find_map(|line| line.strip_prefix("t-id: "));
    let id = id.unwrap_or_default();
    let answer = format!("HTTP/1.1 200 OK\r\nt-id: {id}\r\n\r\na part of the ans");
    let _ = stream.write_all(answer.as_bytes()).await;
    tokio::time::sleep(pause).await;
    if end == EarlyEnd::Reset {
        let lingering = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        lingering.expect("a socket with a linger option");
    }
}

async fn start_early_server(end: EarlyEnd) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    let bound = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    bound.expect("a socket with a buffer size");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            let pause = Duration::from_millis(number % 10);
            number += 1;
            actix_rt::spawn(answer_early(stream, end, pause));
        }
    });
    address
}

#[test_case(Route::Safe, EarlyEnd::Reset; "a safe request, reset")]
#[test_case(Route::Safe, EarlyEnd::CloseUnread; "a safe request, closed unread")]
#[test_case(Route::Unsafe, EarlyEnd::Reset; "an unsafe request, reset")]
#[test_case(Route::Unsafe, EarlyEnd::CloseUnread; "an unsafe request, closed unread")]
#[actix_rt::test]
async fn a_part_of_an_answer_that_was_reset_during_the_upload_is_not_complete(
    route: Route,
    end: EarlyEnd,
) {
    let address = start_early_server(end).await;
    let entry = Deployment::start(vec![plain_server("s0", address)]).await;
    let body = "x".repeat(BODY_BYTES);
    for round in 0..ROUNDS {
        let sent = request(route, &format!("r{round}"), "connection: close\r\n").replace(
            "content-length: 4\r\n\r\nbody",
            &format!("content-length: {BODY_BYTES}\r\n\r\n{body}"),
        );
        let mut client = RawClient::connect(entry.address).await;
        client.send(&sent).await;
        let answer = client.read_all().await;
        assert_ne!(answer.status(), 200, "round {round}: {answer:?}");
    }
}

fn with_status(status: &str) -> Script {
    Script::Send(format!(
        "HTTP/1.1 {status} X\r\nt-id: {{id}}\r\ncontent-length: 4\r\n\r\ntext"
    ))
}

#[test_case(Route::Safe, "000"; "a safe request, 000")]
#[test_case(Route::Unsafe, "000"; "an unsafe request, 000")]
#[test_case(Route::Stream, "000"; "a stream, 000")]
#[test_case(Route::Unsafe, "099"; "an unsafe request, 099")]
#[test_case(Route::Unsafe, "0"; "an unsafe request, one digit")]
#[actix_rt::test]
async fn an_answer_without_a_valid_status_is_no_answer(route: Route, status: &'static str) {
    let server = StubServer::start(move |_, _| with_status(status)).await;
    let prefill = StubServer::start(|_, _| Script::complete(200, "", "handle h1")).await;
    let entry = Deployment::start(vec![
        plain_server("s0", server.address),
        prefill_server("p0", prefill.address),
        decode_server("d0", server.address),
    ])
    .await;
    let answer = entry.send_request(route, "r1").await;
    assert_eq!(answer.status(), 502, "{answer:?}");
    assert!(!answer.0.contains("text"), "{answer:?}");
}
