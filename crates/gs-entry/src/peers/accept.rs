//! The accepting side of links.

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
use super::links::{PeerParts, next_notice, take_suspicions};
use super::socket::{PeerSocket, silent, socket_config};
use crate::control::{AnswerPeer, ControlActor, ControlMessage};

/// The wait after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Takes links for as long as the process runs.
pub async fn accept_peers(listener: TcpListener, parts: PeerParts) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_link(stream, parts.clone()));
            }
            Err(error) => {
                log::warn!(target: "peers", "Link was not accepted: {error}.");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, parts: PeerParts) {
    match open_link(stream, &parts).await {
        Ok((socket, peer)) => {
            let error = run_link(socket, &peer, &parts).await;
            log::debug!(target: "peers", peer:% = peer.identity; "Accepted link ended: {error}.");
        }
        Err(error) => log::warn!(target: "peers", "Link was refused: {error}."),
    }
}

async fn open_link(
    stream: TcpStream,
    parts: &PeerParts,
) -> Result<(PeerSocket, PeerIdentity), PeerError> {
    let connect = |detail: String| PeerError::Connect { detail };
    let within = parts.credentials.timeout;
    stream
        .set_nodelay(true)
        .map_err(|error| connect(error.to_string()))?;
    let opening = accept_async_with_config(stream, Some(socket_config()));
    let Ok(opened) = timeout(within, opening).await else {
        return Err(silent(within));
    };
    let mut socket = PeerSocket::new(opened.map_err(|error| connect(error.to_string()))?);
    match parts.credentials.accept(&mut socket).await {
        Ok(peer) => Ok((socket, peer)),
        Err(PeerError::Refused(refusal)) => {
            socket.close(refusal).await;
            Err(PeerError::Refused(refusal))
        }
        Err(error) => Err(error),
    }
}

/// Answers that are being made, each with the number of its call.
type PendingAnswers = FuturesUnordered<LocalBoxFuture<'static, Result<PeerFrame, PeerError>>>;

async fn run_link(mut socket: PeerSocket, peer: &PeerIdentity, parts: &PeerParts) -> PeerError {
    let mut answers = PendingAnswers::new();
    let mut notices = parts.notices.subscribe();
    loop {
        let step = tokio::select! {
            received = socket.receive_within(parts.silence) => match received {
                Ok(frame) => take(&mut socket, frame, peer, parts, &answers).await,
                Err(error) => Err(error),
            },
            notice = next_notice(&mut notices) => send(&mut socket, &notice, parts).await,
            Some(answer) = answers.next() => match answer {
                Ok(frame) => send(&mut socket, &frame, parts).await,
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

async fn take(
    socket: &mut PeerSocket,
    frame: PeerFrame,
    peer: &PeerIdentity,
    parts: &PeerParts,
    answers: &PendingAnswers,
) -> Result<(), PeerError> {
    match frame {
        PeerFrame::Heartbeat { number, state } => {
            let peer = peer.clone();
            parts
                .control
                .do_send(ControlMessage::PeerHeard { peer, state });
            let state = parts.state.get();
            send(socket, &PeerFrame::HeartbeatAck { number, state }, parts).await
        }
        PeerFrame::Call { number, call } => {
            let asked = parts.control.send(AnswerPeer {
                from: peer.identity.clone(),
                call,
            });
            answers.push(answer(number, asked).boxed_local());
            Ok(())
        }
        PeerFrame::Suspicions(report) => {
            take_suspicions(peer, report, parts);
            Ok(())
        }
        PeerFrame::Refused(refusal) => Err(PeerError::RefusedByPeer(refusal)),
        _ => Err(PeerError::Refused(PeerRefusal::UnexpectedFrame)),
    }
}

async fn answer(
    number: u64,
    asked: Request<ControlActor, AnswerPeer>,
) -> Result<PeerFrame, PeerError> {
    let Ok(Some(reply)) = asked.await else {
        return Err(PeerError::Broken {
            detail: "the entry is ending".to_owned(),
        });
    };
    Ok(PeerFrame::Reply { number, reply })
}

async fn send(
    socket: &mut PeerSocket,
    frame: &PeerFrame,
    parts: &PeerParts,
) -> Result<(), PeerError> {
    let within = parts.silence;
    timeout(within, socket.send(frame))
        .await
        .unwrap_or_else(|_| Err(silent(within)))
}
