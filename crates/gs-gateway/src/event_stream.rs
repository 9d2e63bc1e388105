//! Splits a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

use crate::wire::ResumePoint;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 65_536;

/// A complete event with its closing blank line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The event's bytes, unchanged.
    pub bytes: Bytes,
    /// The event's ID, if it has one.
    pub id: Option<ResumePoint>,
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct OversizedEvent;

/// Splits bytes into events and buffers an incomplete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes. Fails if the buffered bytes would exceed the size limit of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), OversizedEvent> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether no bytes of an incomplete event are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn event_end(&mut self) -> Option<usize> {
        let mut position = self.scanned;
        while position < self.buffer.len() {
            let rest = &self.buffer[position..];
            if rest.starts_with(b"\n\n") {
                return Some(position + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(position + 3);
            }
            position += 1;
        }
        // A separator may begin in the last two bytes.
        self.scanned = self.buffer.len().saturating_sub(2);
        None
    }
}

fn event_id(event: &[u8]) -> Option<ResumePoint> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(ResumePoint(text.trim().to_owned()))
}
