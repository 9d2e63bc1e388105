//! Accepting side of links.

use std::time::Duration;

use actix::dev::Request;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use gs_protocol::peer::{PeerFrame, PeerIdentity, PeerRefusal};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::accept_async_with_config;

use super::PeerError;
use super::links::{LinkContext, forward_suspicions, next_broadcast};
use super::socket::{PeerSocket, silence_error, socket_config};
use crate::control::{ControlActor, ControlMessage, HandlePeerCall};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts links for as long as the process runs.
pub async fn accept_peers(listener: TcpListener, context: LinkContext) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_link(stream, context.clone()));
            }
            Err(error) => {
                log::warn!(target: "peers", "Connection could not be accepted: {error}.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, context: LinkContext) {
    match open_link(stream, &context).await {
        Ok((socket, peer)) => {
            let error = run_link(socket, &peer, &context).await;
            log::debug!(target: "peers", peer:% = peer.identity; "Accepted link ended: {error}.");
        }
        Err(error) => log::warn!(target: "peers", "Link was refused: {error}."),
    }
}

async fn open_link(
    stream: TcpStream,
    context: &LinkContext,
) -> Result<(PeerSocket, PeerIdentity), PeerError> {
    let connect = |detail: String| PeerError::Connect { detail };
    let time_limit = context.credentials.timeout;
    stream
        .set_nodelay(true)
        .map_err(|error| connect(error.to_string()))?;
    let opening = accept_async_with_config(stream, Some(socket_config()));
    let Ok(opened) = timeout(time_limit, opening).await else {
        return Err(silence_error(time_limit));
    };
    let mut socket = PeerSocket::new(opened.map_err(|error| connect(error.to_string()))?);
    match context.credentials.accept(&mut socket).await {
        Ok(peer) => Ok((socket, peer)),
        Err(PeerError::Refused(refusal)) => {
            socket.close(refusal).await;
            Err(PeerError::Refused(refusal))
        }
        Err(error) => Err(error),
    }
}

/// Replies in progress; each becomes a frame with the number of its call.
type PendingReplies = FuturesUnordered<LocalBoxFuture<'static, Result<PeerFrame, PeerError>>>;

async fn run_link(mut socket: PeerSocket, peer: &PeerIdentity, context: &LinkContext) -> PeerError {
    let mut replies = PendingReplies::new();
    let mut broadcasts = context.broadcasts.subscribe();
    loop {
        let step = tokio::select! {
            received = socket.receive_within(context.silence_limit) => match received {
                Ok(frame) => handle_frame(&mut socket, frame, peer, context, &replies).await,
                Err(error) => Err(error),
            },
            frame = next_broadcast(&mut broadcasts) => send(&mut socket, &frame, context).await,
            Some(reply) = replies.next() => match reply {
                Ok(frame) => send(&mut socket, &frame, context).await,
                Err(error) => Err(error),
            },
        };
        match step {
            Ok(()) => {}
            Err(PeerError::Refused(refusal)) => {
                socket.close(refusal).await;
                return PeerError::Refused(refusal);
            }
            Err(error) => return error,
        }
    }
}

async fn handle_frame(
    socket: &mut PeerSocket,
    frame: PeerFrame,
    peer: &PeerIdentity,
    context: &LinkContext,
    replies: &PendingReplies,
) -> Result<(), PeerError> {
    match frame {
        PeerFrame::Heartbeat { number, state } => {
            let peer = peer.clone();
            context
                .control
                .do_send(ControlMessage::HeartbeatReceived { peer, state });
            let state = context.state.get();
            send(socket, &PeerFrame::HeartbeatAck { number, state }, context).await
        }
        PeerFrame::Call { number, call } => {
            let pending_reply = context.control.send(HandlePeerCall {
                from: peer.identity.clone(),
                call,
            });
            replies.push(await_reply(number, pending_reply).boxed_local());
            Ok(())
        }
        PeerFrame::Suspicions(report) => {
            forward_suspicions(peer, report, context);
            Ok(())
        }
        PeerFrame::Refused(refusal) => Err(PeerError::RefusedByPeer(refusal)),
        _ => Err(PeerError::Refused(PeerRefusal::UnexpectedFrame)),
    }
}

async fn await_reply(
    number: u64,
    pending_reply: Request<ControlActor, HandlePeerCall>,
) -> Result<PeerFrame, PeerError> {
    let Ok(Some(reply)) = pending_reply.await else {
        return Err(PeerError::Broken {
            detail: "the entry is shutting down".to_owned(),
        });
    };
    Ok(PeerFrame::Reply { number, reply })
}

async fn send(
    socket: &mut PeerSocket,
    frame: &PeerFrame,
    context: &LinkContext,
) -> Result<(), PeerError> {
    let time_limit = context.silence_limit;
    timeout(time_limit, socket.send(frame))
        .await
        .unwrap_or_else(|_| Err(silence_error(time_limit)))
}
