//! Parses streams of server-sent events.

use std::borrow::Cow;

use bytes::BytesMut;
use gs_protocol::engine::StreamEvent;
use serde::Deserialize;

/// The format of the events of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFormat {
    /// OpenAI-style completion chunks, as entries send them to callers.
    Completion,
    /// [`StreamEvent`]s, as engines send them to entries.
    Engine,
}

/// The content of one line of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem<'a> {
    /// Generated text.
    Text(Cow<'a, str>),
    /// The end marker of a complete stream.
    End,
    /// An error event, or data that cannot be parsed.
    Error,
    /// A line without text, end or error.
    Other,
}

/// A chunk of an OpenAI-style stream.
#[derive(Debug, Deserialize)]
struct CompletionChunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<CompletionChoice<'a>>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

/// A choice of a chunk: completions have `text`, chats have `delta`.
#[derive(Debug, Deserialize)]
struct CompletionChoice<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Option<ChatDelta<'a>>,
}

/// The text that a chunk of a chat adds.
#[derive(Debug, Deserialize)]
struct ChatDelta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

impl<'a> CompletionChoice<'a> {
    fn into_text(self) -> Option<Cow<'a, str>> {
        self.text.or_else(|| self.delta?.content)
    }
}

/// The data of the last event of a complete OpenAI-style stream.
const DONE: &[u8] = b"[DONE]";

/// Splits a byte stream into lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: BytesMut,
}

impl LineBuffer {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete line, without its line ending.
    pub fn next_line(&mut self) -> Option<BytesMut> {
        let end = self.bytes.iter().position(|&byte| byte == b'\n')?;
        let mut line = self.bytes.split_to(end + 1);
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Some(line)
    }
}

/// Parses one line of a stream.
pub fn parse_line(format: StreamFormat, line: &[u8]) -> StreamItem<'_> {
    if line == b"event: error" {
        return StreamItem::Error;
    }
    let Some(data) = line.strip_prefix(b"data: ") else {
        return StreamItem::Other;
    };
    match format {
        StreamFormat::Completion => parse_completion(data),
        StreamFormat::Engine => parse_engine(data),
    }
}

fn parse_completion(data: &[u8]) -> StreamItem<'_> {
    if data == DONE {
        return StreamItem::End;
    }
    let Ok(chunk) = serde_json::from_slice::<CompletionChunk<'_>>(data) else {
        return StreamItem::Error;
    };
    if chunk.error.is_some() {
        return StreamItem::Error;
    }
    let choice = chunk.choices.into_iter().next();
    let text = choice.and_then(CompletionChoice::into_text);
    text.map_or(StreamItem::Other, StreamItem::Text)
}

fn parse_engine(data: &[u8]) -> StreamItem<'_> {
    match serde_json::from_slice(data) {
        Ok(StreamEvent::Token { text, .. }) => StreamItem::Text(Cow::Owned(text)),
        Ok(StreamEvent::End { .. }) => StreamItem::End,
        Ok(StreamEvent::Failed { .. }) | Err(_) => StreamItem::Error,
    }
}
