//! Tests of the relay between a client and a service.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use gs_standin::relay::RelayStatus;
use serde_json::json;
use support::{get, post, set_faults, start_relay, start_service, wait_until};
use test_case::test_case;

/// How long a test waits for data that must not arrive.
const SILENCE_WAIT: Duration = Duration::from_millis(300);

/// Requests `/ready` over an open connection; returns the first byte of the response.
fn request_ready(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"GET /ready HTTP/1.1\r\nhost: relay\r\n\r\n")?;
    let mut answer = [0; 512];
    match stream.read(&mut answer)? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        _ => Ok(answer[0]),
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connect");
    let timeout = Some(Duration::from_secs(20));
    stream.set_read_timeout(timeout).expect("timeout");
    stream
}

#[test_case(&[]; "without delay")]
#[test_case(&["--delay-ms", "3", "--jitter-ms", "2", "--stall-share", "0.2"]; "with random delays")]
#[actix_rt::test]
async fn data_is_forwarded(arguments: &[&str]) {
    let (relay, control) = start_relay(start_service(), arguments);
    let mut stream = connect(relay);
    for _ in 0..3 {
        assert_eq!(request_ready(&mut stream).expect("answer"), b'H');
    }
    let status: RelayStatus = get(control, "/control/status").await;
    assert_eq!((status.connections, status.accepted), (1, 1));
}

#[actix_rt::test]
async fn silenced_connection_stays_silent_while_new_ones_work() {
    let (relay, control) = start_relay(start_service(), &[]);
    let mut old = connect(relay);
    request_ready(&mut old).expect("answer");
    post(control, "/control/silence", &json!({})).await;
    let silent = |status: &RelayStatus| status.silent == 1;
    wait_until(control, "/control/status", silent).await;
    assert_eq!(request_ready(&mut connect(relay)).expect("answer"), b'H');
    old.set_read_timeout(Some(SILENCE_WAIT)).expect("timeout");
    let error = request_ready(&mut old).expect_err("silence");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
}

#[actix_rt::test]
async fn cut_closes_connections_and_new_ones_can_be_refused() {
    let (relay, control) = start_relay(start_service(), &[]);
    let mut old = connect(relay);
    request_ready(&mut old).expect("answer");
    set_faults(control, json!({ "newConnections": "close" })).await;
    post(control, "/control/cut", &json!({})).await;
    assert!(matches!(old.read(&mut [0; 1]), Ok(0) | Err(_)));
    assert!(request_ready(&mut connect(relay)).is_err());
}
