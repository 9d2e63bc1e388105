//! Encodes and decodes frames on a WebSocket connection.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gs_protocol::peer::{MAX_PEER_FRAME_BYTES, PeerFrame, PeerRefusal};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::PeerError;
use crate::telemetry;

/// Size limits of a connection.
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_PEER_FRAME_BYTES))
        .max_frame_size(Some(MAX_PEER_FRAME_BYTES))
}

/// A WebSocket connection that carries peer frames.
pub struct PeerSocket {
    stream: WebSocketStream<TcpStream>,
}

impl PeerSocket {
    /// Wraps an open connection.
    pub fn new(stream: WebSocketStream<TcpStream>) -> Self {
        Self { stream }
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &PeerFrame) -> Result<(), PeerError> {
        let broken = |detail: String| PeerError::Broken { detail };
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).map_err(|error| broken(error.to_string()))?;
        telemetry::count_sent_frame(bytes.len());
        let message = Message::Binary(bytes.into());
        self.stream
            .send(message)
            .await
            .map_err(|error| broken(error.to_string()))
    }

    /// Waits for a frame. Cancel safe: a cancelled call loses no frame.
    pub async fn receive(&mut self) -> Result<PeerFrame, PeerError> {
        loop {
            let Some(message) = self.stream.next().await else {
                return Err(PeerError::Broken {
                    detail: "the peer closed the link".to_owned(),
                });
            };
            let message = message.map_err(|error| PeerError::Broken {
                detail: error.to_string(),
            })?;
            match message {
                Message::Binary(bytes) => {
                    telemetry::count_received_frame(bytes.len());
                    return decode(&bytes);
                }
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Close(_) | Message::Frame(_) | Message::Text(_) => {
                    return Err(PeerError::Refused(PeerRefusal::UnexpectedFrame));
                }
            }
        }
    }

    /// Waits for a frame with a time limit.
    pub async fn receive_within(&mut self, time_limit: Duration) -> Result<PeerFrame, PeerError> {
        match timeout(time_limit, self.receive()).await {
            Ok(received) => received,
            Err(_) => Err(silence_error(time_limit)),
        }
    }

    /// Sends the reason of the refusal to the peer and closes the link.
    pub async fn close(mut self, refusal: PeerRefusal) {
        // The peer may have disconnected.
        let _ = self.send(&PeerFrame::Refused(refusal)).await;
        let _ = self.stream.close(None).await;
    }
}

/// Creates the error for a peer that exceeded a time limit.
pub fn silence_error(waited: Duration) -> PeerError {
    PeerError::Silent {
        waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
    }
}

fn decode(bytes: &[u8]) -> Result<PeerFrame, PeerError> {
    ciborium::from_reader(bytes).map_err(|_| PeerError::Refused(PeerRefusal::UnexpectedFrame))
}
