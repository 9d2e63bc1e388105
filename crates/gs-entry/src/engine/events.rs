//! Reads the server-sent events of a stream.

use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use gs_protocol::engine::StreamEvent;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LinesCodec};

use super::EngineFailure;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 65_536;

/// Prefix of a line that carries an event.
const DATA_PREFIX: &str = "data: ";

/// Response body of an open stream.
pub type EventBody = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// Reader of the events of an open stream. Dropping it closes the connection.
pub struct EventReader {
    body: EventBody,
    buffer: BytesMut,
    codec: LinesCodec,
}

impl EventReader {
    /// Creates a reader of a response body.
    pub fn new(body: EventBody) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            codec: LinesCodec::new_with_max_length(MAX_LINE_BYTES),
        }
    }

    /// Waits for at least one event and fills `events` with all complete ones. Fails if no event
    /// arrives within `silence_limit`; bytes that complete no event do not extend it.
    pub async fn next_events(
        &mut self,
        silence_limit: Duration,
        events: &mut Vec<StreamEvent>,
    ) -> Result<(), EngineFailure> {
        events.clear();
        let Ok(read) = timeout(silence_limit, self.read_until_event(events)).await else {
            let waited_ms = u64::try_from(silence_limit.as_millis()).unwrap_or(u64::MAX);
            return Err(EngineFailure::Silent { waited_ms });
        };
        read
    }

    async fn read_until_event(
        &mut self,
        events: &mut Vec<StreamEvent>,
    ) -> Result<(), EngineFailure> {
        while events.is_empty() {
            let Some(chunk) = self.body.next().await else {
                return Err(EngineFailure::Broken {
                    detail: "the stream ended early".to_owned(),
                });
            };
            let chunk = chunk.map_err(|error| EngineFailure::Broken {
                detail: error.to_string(),
            })?;
            self.buffer.extend_from_slice(&chunk);
            self.decode_lines(events)?;
        }
        Ok(())
    }

    fn decode_lines(&mut self, events: &mut Vec<StreamEvent>) -> Result<(), EngineFailure> {
        let malformed = |detail: String| EngineFailure::Malformed { detail };
        while let Some(line) = self
            .codec
            .decode(&mut self.buffer)
            .map_err(|error| malformed(error.to_string()))?
        {
            let Some(data) = line.strip_prefix(DATA_PREFIX) else {
                continue;
            };
            let event = serde_json::from_str(data).map_err(|error| malformed(error.to_string()))?;
            events.push(event);
        }
        Ok(())
    }
}
