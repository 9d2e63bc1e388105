//! Streams of numbered events.

use std::time::Duration;

use super::server::Script;

/// Pause before each event.
pub const EVENT_PAUSE: Duration = Duration::from_millis(5);

pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

/// Sends one event per chunk, and the last chunk if the stream is complete.
pub fn events(numbers: std::ops::Range<u32>, is_complete: bool) -> Script {
    let mut chunks = vec![Script::chunked_head()];
    chunks.extend(numbers.map(|number| Script::chunk(&event(number))));
    if is_complete {
        chunks.push("0\r\n\r\n".to_owned());
    }
    Script::Chunks(chunks, EVENT_PAUSE)
}
