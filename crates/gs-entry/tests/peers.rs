//! Links are only accepted from peers with the same protocol version and the shared key.

mod support;

use futures_util::{SinkExt, StreamExt};
use gs_protocol::ids::{EntryIdentity, Incarnation};
use gs_protocol::peer::{
    PEER_PROTOCOL_VERSION, PROOF_BYTES, PeerFrame, PeerIdentity, PeerRefusal, PeerState,
};
use gs_standin::harness::{DeploymentHarness, HarnessError};
use serde_json::json;
use test_case::test_case;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

type TestResult = Result<(), HarnessError>;

/// Fault in the handshake of a connecting peer.
#[derive(Clone, Copy, Debug)]
enum HandshakeFault {
    Nonsense,
    NoHello,
    OldVersion,
    OwnName,
    WrongProof,
}

async fn connect(harness: &DeploymentHarness) -> WebSocketStream<TcpStream> {
    let address = harness.entries[0]
        .process
        .peer_address
        .expect("an entry accepts links");
    let stream = TcpStream::connect(address).await.expect("connect");
    client_async(format!("ws://{address}/"), stream)
        .await
        .expect("upgrade")
        .0
}

fn encode(frame: &PeerFrame) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("a frame can be written");
    bytes
}

async fn receive(socket: &mut WebSocketStream<TcpStream>) -> Option<PeerFrame> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => ciborium::from_reader(&bytes[..]).ok(),
        _ => None,
    }
}

fn hello(entry: &str, version: u32) -> PeerFrame {
    let address = "127.0.0.1:9".parse().expect("address");
    let identity = EntryIdentity {
        entry: entry.into(),
        incarnation: Incarnation(1),
    };
    let peer = PeerIdentity {
        identity,
        data_centre: "north".into(),
        address,
        peer_address: address,
    };
    PeerFrame::Hello {
        version,
        peer,
        nonce: [7; PROOF_BYTES],
    }
}

/// First frame of a peer with the fault.
fn first_frame(fault: HandshakeFault) -> Vec<u8> {
    let frame = match fault {
        HandshakeFault::Nonsense => return b"nonsense".to_vec(),
        HandshakeFault::NoHello => PeerFrame::Heartbeat {
            number: 1,
            state: PeerState::default(),
        },
        HandshakeFault::OldVersion => hello("stranger", PEER_PROTOCOL_VERSION - 1),
        HandshakeFault::OwnName => hello("entry-0", PEER_PROTOCOL_VERSION),
        HandshakeFault::WrongProof => hello("stranger", PEER_PROTOCOL_VERSION),
    };
    encode(&frame)
}

#[test_case(HandshakeFault::Nonsense, PeerRefusal::UnexpectedFrame; "nonsense")]
#[test_case(HandshakeFault::NoHello, PeerRefusal::UnexpectedFrame; "a heartbeat before the hello")]
#[test_case(
    HandshakeFault::OldVersion,
    PeerRefusal::WrongVersion { found: PEER_PROTOCOL_VERSION - 1, expected: PEER_PROTOCOL_VERSION };
    "an older version"
)]
#[test_case(HandshakeFault::OwnName, PeerRefusal::OwnName; "the entry's own name")]
#[test_case(HandshakeFault::WrongProof, PeerRefusal::WrongProof; "a wrong proof")]
fn an_invalid_handshake_is_refused(fault: HandshakeFault, refusal: PeerRefusal) {
    let check = async {
        let harness = support::start(2, &json!({})).await?;
        let mut socket = connect(&harness).await;
        socket
            .send(Message::Binary(first_frame(fault).into()))
            .await
            .expect("send");
        let mut answer = receive(&mut socket).await;
        if let Some(PeerFrame::Challenge { .. }) = answer {
            let proof = encode(&PeerFrame::Proof {
                proof: [0; PROOF_BYTES],
            });
            socket
                .send(Message::Binary(proof.into()))
                .await
                .expect("send");
            answer = receive(&mut socket).await;
        }
        assert_eq!(answer, Some(PeerFrame::Refused(refusal)));
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the entry answers");
}
