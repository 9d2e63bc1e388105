//! One streamed exchange: what came, when, and how it ended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use awc::ClientResponse;
use awc::error::{PayloadError, SendRequestError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};

use super::check::TextCheck;
use super::sse::{LineBuffer, StreamFormat, StreamItem, parse_line};

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The whole answer came, and it is the caller's own.
    Whole,
    /// Text came that is not the caller's own, or an end at the wrong place.
    Wrong,
    /// The answer was given up and said so.
    Broken,
    /// The answer stopped without a word.
    Cut,
    /// The request was refused, for a reason.
    Refused(String),
    /// The client went away, as planned.
    Cancelled,
    /// No connection could be made.
    Unreachable,
    /// The client waited for too long.
    TimedOut,
}

impl CallEnd {
    /// The end as a label.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Wrong => "wrong",
            Self::Broken => "broken",
            Self::Cut => "cut",
            Self::Refused(_) => "refused",
            Self::Cancelled => "cancelled",
            Self::Unreachable => "unreachable",
            Self::TimedOut => "timed-out",
        }
    }
}

/// What came of one streamed call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// How it ended.
    pub end: CallEnd,
    /// From the start of the call to its first token.
    pub first: Option<Duration>,
    /// Between one token and the next.
    pub gaps: Vec<Duration>,
}

impl CallOutcome {
    /// A call that ended before its first token.
    pub fn without_tokens(end: CallEnd) -> Self {
        Self {
            end,
            first: None,
            gaps: Vec::new(),
        }
    }
}

impl From<SendRequestError> for CallOutcome {
    fn from(error: SendRequestError) -> Self {
        Self::without_tokens(match error {
            SendRequestError::Connect(_) => CallEnd::Unreachable,
            SendRequestError::Timeout => CallEnd::TimedOut,
            _ => CallEnd::Cut,
        })
    }
}

/// What a call asks for.
#[derive(Clone, Copy, Debug)]
pub struct StreamWant<'a> {
    /// The kind of events.
    pub format: StreamFormat,
    /// The seed of the expected text.
    pub seed: u64,
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// The client goes away after this many tokens.
    pub cancel_after: Option<u32>,
    /// When the call began.
    pub start: Instant,
    /// Counts the tokens of all calls.
    pub counter: Option<&'a AtomicU64>,
}

/// Reads an answer to its end.
pub async fn read_stream<S>(mut answer: ClientResponse<S>, want: StreamWant<'_>) -> CallOutcome
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut reader = StreamReader::new(want);
    while let Some(Ok(bytes)) = answer.next().await {
        reader.lines.push(&bytes);
        if let Some(end) = reader.read_lines(Instant::now()) {
            return reader.close(end);
        }
    }
    reader.close(CallEnd::Cut)
}

/// The state of an answer that is being read.
struct StreamReader<'a> {
    want: StreamWant<'a>,
    check: TextCheck,
    lines: LineBuffer,
    first: Option<Duration>,
    last: Instant,
    gaps: Vec<Duration>,
}

impl<'a> StreamReader<'a> {
    fn new(want: StreamWant<'a>) -> Self {
        Self {
            want,
            check: TextCheck::new(want.seed),
            lines: LineBuffer::default(),
            first: None,
            last: want.start,
            gaps: Vec::new(),
        }
    }

    /// Reads the lines that are whole; returns the end of the call if one of them says it.
    fn read_lines(&mut self, now: Instant) -> Option<CallEnd> {
        while let Some(line) = self.lines.next_line() {
            match parse_line(self.want.format, &line) {
                StreamItem::Text(text) => self.take_text(&text, now),
                StreamItem::End if self.check.is_whole(self.want.tokens) => {
                    return Some(CallEnd::Whole);
                }
                StreamItem::End => return Some(CallEnd::Wrong),
                StreamItem::Error => return Some(CallEnd::Broken),
                StreamItem::Other => {}
            }
            if self.check.is_wrong() {
                return Some(CallEnd::Wrong);
            }
            let cancel_after = self.want.cancel_after;
            if cancel_after.is_some_and(|tokens| self.check.tokens() >= tokens) {
                return Some(CallEnd::Cancelled);
            }
        }
        None
    }

    fn take_text(&mut self, text: &str, now: Instant) {
        let before = self.check.tokens();
        self.check.feed(text);
        let tokens = self.check.tokens() - before;
        if tokens == 0 {
            return;
        }
        if let Some(counter) = self.want.counter {
            counter.fetch_add(u64::from(tokens), Ordering::Relaxed);
        }
        let waited = now.saturating_duration_since(self.last);
        self.last = now;
        match self.first {
            None => self.first = Some(waited),
            // Without a counter, every gap is measured.
            Some(_) if self.want.counter.is_none() => self.gaps.push(waited),
            Some(_) => {}
        }
        let joined = (tokens - 1) as usize;
        if self.want.counter.is_none() {
            self.gaps
                .extend(std::iter::repeat_n(Duration::ZERO, joined));
        }
    }

    fn close(self, end: CallEnd) -> CallOutcome {
        CallOutcome {
            end,
            first: self.first,
            gaps: self.gaps,
        }
    }
}
