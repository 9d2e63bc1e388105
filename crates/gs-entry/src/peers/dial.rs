//! Connecting side of links.

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
use super::links::{LinkContext, PendingCall, forward_suspicions, next_broadcast};
use super::socket::{PeerSocket, silence_error, socket_config};
use crate::control::ControlMessage;

/// Delay before the first reconnect.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between two reconnects.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// Maintains a link to an entry and reconnects with exponential backoff and jitter.
pub async fn maintain_link(
    name: EntryName,
    address: SocketAddr,
    context: LinkContext,
    mut calls: UnboundedReceiver<PendingCall>,
) {
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        match open_link(address, &context).await {
            Ok((socket, peer)) => {
                delay = MIN_RECONNECT_DELAY;
                let error = run_link(socket, &peer, &context, &mut calls).await;
                log::info!(target: "peers", peer:% = name; "Link ended: {error}.");
            }
            Err(error) => log::debug!(target: "peers", peer:% = name; "Link failed: {error}."),
        }
        // Queued calls fail now instead of being sent over the next connection.
        while calls.try_recv().is_ok() {}
        let jitter = rand::thread_rng().gen_range(0.5..1.0);
        sleep(delay.mul_f64(jitter)).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

async fn open_link(
    address: SocketAddr,
    context: &LinkContext,
) -> Result<(PeerSocket, PeerIdentity), PeerError> {
    let connect = |detail: String| PeerError::Connect { detail };
    let time_limit = context.credentials.timeout;
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
    let Ok(stream) = timeout(time_limit, connecting).await else {
        return Err(silence_error(time_limit));
    };
    let mut socket = PeerSocket::new(stream?);
    match context.credentials.connect(&mut socket).await {
        Ok(peer) => Ok((socket, peer)),
        Err(PeerError::Refused(refusal)) => {
            socket.close(refusal).await;
            Err(PeerError::Refused(refusal))
        }
        Err(error) => Err(error),
    }
}

/// State of an open link.
struct OpenLink<'a> {
    socket: PeerSocket,
    peer: &'a PeerIdentity,
    context: &'a LinkContext,
    heartbeat_count: u64,
    call_count: u64,
    pending_replies: BTreeMap<u64, oneshot::Sender<PeerReply>>,
    last_received: Instant,
}

async fn run_link(
    socket: PeerSocket,
    peer: &PeerIdentity,
    context: &LinkContext,
    calls: &mut UnboundedReceiver<PendingCall>,
) -> PeerError {
    let last_received = Instant::now();
    let pending_replies = BTreeMap::new();
    let mut link = OpenLink {
        socket,
        peer,
        context,
        heartbeat_count: 0,
        call_count: 0,
        pending_replies,
        last_received,
    };
    let mut heartbeat_timer = interval(context.heartbeat);
    let mut broadcasts = context.broadcasts.subscribe();
    loop {
        let step = tokio::select! {
            _ = heartbeat_timer.tick() => link.send_heartbeat().await,
            Some(call) = calls.recv() => link.send_call(call).await,
            frame = next_broadcast(&mut broadcasts) => link.send(&frame).await,
            frame = link.socket.receive() => frame.and_then(|frame| link.handle_frame(frame)),
        };
        if let Err(error) = step {
            return error;
        }
    }
}

impl OpenLink<'_> {
    /// Sends a heartbeat, or fails if nothing arrived from the peer within the silence limit.
    async fn send_heartbeat(&mut self) -> Result<(), PeerError> {
        if self.last_received.elapsed() > self.context.silence_limit {
            return Err(silence_error(self.context.silence_limit));
        }
        self.heartbeat_count += 1;
        let (number, state) = (self.heartbeat_count, self.context.state.get());
        self.send(&PeerFrame::Heartbeat { number, state }).await
    }

    async fn send_call(&mut self, pending_call: PendingCall) -> Result<(), PeerError> {
        self.call_count += 1;
        let number = self.call_count;
        self.pending_replies.insert(number, pending_call.reply);
        self.send(&PeerFrame::Call {
            number,
            call: pending_call.call,
        })
        .await
    }

    /// Sends a frame. A peer that does not read blocks the sender for at most the silence limit.
    async fn send(&mut self, frame: &PeerFrame) -> Result<(), PeerError> {
        let time_limit = self.context.silence_limit;
        timeout(time_limit, self.socket.send(frame))
            .await
            .unwrap_or_else(|_| Err(silence_error(time_limit)))
    }

    fn handle_frame(&mut self, frame: PeerFrame) -> Result<(), PeerError> {
        self.last_received = Instant::now();
        match frame {
            PeerFrame::HeartbeatAck { state, .. } => {
                let peer = self.peer.clone();
                self.context
                    .control
                    .do_send(ControlMessage::HeartbeatReceived { peer, state });
                Ok(())
            }
            PeerFrame::Reply { number, reply } => {
                if let Some(reply_sender) = self.pending_replies.remove(&number) {
                    // Sending fails if nothing waits for the reply any more.
                    let _ = reply_sender.send(reply);
                }
                Ok(())
            }
            PeerFrame::Suspicions(report) => {
                forward_suspicions(self.peer, report, self.context);
                Ok(())
            }
            PeerFrame::Refused(refusal) => Err(PeerError::RefusedByPeer(refusal)),
            _ => Err(PeerError::Refused(PeerRefusal::UnexpectedFrame)),
        }
    }
}
