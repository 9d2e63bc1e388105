//! The connecting side of a link.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::ids::EntryName;
use gs_protocol::peer::{PeerFrame, PeerIdentity, PeerRefusal, PeerReply};
use rand::Rng;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{interval, sleep, timeout};
use tokio_tungstenite::client_async_with_config;

use super::PeerError;
use super::links::{PeerParts, PendingCall, next_notice, take_suspicions};
use super::socket::{PeerSocket, silent, socket_config};
use crate::control::ControlMessage;

/// The wait before the first new try to connect.
const FIRST_RECONNECT: Duration = Duration::from_millis(100);

/// The longest wait between two tries to connect.
const MAX_RECONNECT: Duration = Duration::from_secs(2);

/// Keeps a link open, connecting again whenever it ends.
pub async fn keep_link(
    name: EntryName,
    address: SocketAddr,
    parts: PeerParts,
    mut calls: UnboundedReceiver<PendingCall>,
) {
    let mut wait = FIRST_RECONNECT;
    loop {
        match open_link(address, &parts).await {
            Ok((socket, peer)) => {
                wait = FIRST_RECONNECT;
                let error = run_link(socket, &peer, &parts, &mut calls).await;
                log::info!(target: "peers", peer:% = name; "Link ended: {error}.");
            }
            Err(error) => log::debug!(target: "peers", peer:% = name; "Link failed: {error}."),
        }
        // Calls that waited for the link fail now rather than after the next connection.
        while calls.try_recv().is_ok() {}
        let jitter = rand::thread_rng().gen_range(0.5..1.0);
        sleep(wait.mul_f64(jitter)).await;
        wait = (wait * 2).min(MAX_RECONNECT);
    }
}

async fn open_link(
    address: SocketAddr,
    parts: &PeerParts,
) -> Result<(PeerSocket, PeerIdentity), PeerError> {
    let connect = |detail: String| PeerError::Connect { detail };
    let within = parts.credentials.timeout;
    let connecting = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| connect(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect(error.to_string()))?;
        let url = format!("ws://{address}/");
        let opened = client_async_with_config(url, stream, Some(socket_config())).await;
        opened
            .map(|(stream, _)| stream)
            .map_err(|error| connect(error.to_string()))
    };
    let Ok(stream) = timeout(within, connecting).await else {
        return Err(silent(within));
    };
    let mut socket = PeerSocket::new(stream?);
    match parts.credentials.connect(&mut socket).await {
        Ok(peer) => Ok((socket, peer)),
        Err(PeerError::Refused(refusal)) => {
            socket.close(refusal).await;
            Err(PeerError::Refused(refusal))
        }
        Err(error) => Err(error),
    }
}

/// The state of one open link.
struct OpenLink<'a> {
    socket: PeerSocket,
    peer: &'a PeerIdentity,
    parts: &'a PeerParts,
    heartbeats: u64,
    calls: u64,
    pending: BTreeMap<u64, oneshot::Sender<PeerReply>>,
    heard: Instant,
}

async fn run_link(
    socket: PeerSocket,
    peer: &PeerIdentity,
    parts: &PeerParts,
    calls: &mut UnboundedReceiver<PendingCall>,
) -> PeerError {
    let heard = Instant::now();
    let pending = BTreeMap::new();
    let mut link = OpenLink {
        socket,
        peer,
        parts,
        heartbeats: 0,
        calls: 0,
        pending,
        heard,
    };
    let mut beats = interval(parts.heartbeat);
    let mut notices = parts.notices.subscribe();
    loop {
        let step = tokio::select! {
            _ = beats.tick() => link.beat().await,
            Some(call) = calls.recv() => link.call(call).await,
            notice = next_notice(&mut notices) => link.send(&notice).await,
            frame = link.socket.receive() => frame.and_then(|frame| link.take(frame)),
        };
        if let Err(error) = step {
            return error;
        }
    }
}

impl OpenLink<'_> {
    /// Sends a heartbeat, unless the peer has been silent for too long.
    async fn beat(&mut self) -> Result<(), PeerError> {
        if self.heard.elapsed() > self.parts.silence {
            return Err(silent(self.parts.silence));
        }
        self.heartbeats += 1;
        let (number, state) = (self.heartbeats, self.parts.state.get());
        self.send(&PeerFrame::Heartbeat { number, state }).await
    }

    async fn call(&mut self, pending: PendingCall) -> Result<(), PeerError> {
        self.calls += 1;
        let number = self.calls;
        self.pending.insert(number, pending.answer);
        self.send(&PeerFrame::Call {
            number,
            call: pending.call,
        })
        .await
    }

    /// A peer that does not read holds up the sender no longer than its silence may last.
    async fn send(&mut self, frame: &PeerFrame) -> Result<(), PeerError> {
        let within = self.parts.silence;
        timeout(within, self.socket.send(frame))
            .await
            .unwrap_or_else(|_| Err(silent(within)))
    }

    fn take(&mut self, frame: PeerFrame) -> Result<(), PeerError> {
        self.heard = Instant::now();
        match frame {
            PeerFrame::HeartbeatAck { state, .. } => {
                let peer = self.peer.clone();
                self.parts
                    .control
                    .do_send(ControlMessage::PeerHeard { peer, state });
                Ok(())
            }
            PeerFrame::Reply { number, reply } => {
                if let Some(answer) = self.pending.remove(&number) {
                    // Whoever asked may have stopped waiting.
                    let _ = answer.send(reply);
                }
                Ok(())
            }
            PeerFrame::Suspicions(report) => {
                take_suspicions(self.peer, report, self.parts);
                Ok(())
            }
            PeerFrame::Refused(refusal) => Err(PeerError::RefusedByPeer(refusal)),
            _ => Err(PeerError::Refused(PeerRefusal::UnexpectedFrame)),
        }
    }
}
