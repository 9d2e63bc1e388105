//! Reads one streamed answer and records its text, its times and its end.

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
    /// The expected answer arrived completely.
    Complete,
    /// The text differs from the expected one, or the stream ended after the wrong number of
    /// tokens.
    Wrong,
    /// The stream ended with an explicit error.
    Broken,
    /// The connection closed without an end or error marker.
    Truncated,
    /// The request was refused; holds the reason.
    Refused(String),
    /// The client disconnected, as planned.
    Cancelled,
    /// The connection could not be established.
    Unreachable,
    /// The time limit of the client expired.
    TimedOut,
}

impl CallEnd {
    /// The label in reports.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Wrong => "wrong",
            Self::Broken => "broken",
            Self::Truncated => "cut",
            Self::Refused(_) => "refused",
            Self::Cancelled => "cancelled",
            Self::Unreachable => "unreachable",
            Self::TimedOut => "timed-out",
        }
    }
}

/// The end and the times of one streamed call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// How it ended.
    pub end: CallEnd,
    /// Time from the start of the call to its first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens; zero for tokens that arrived together.
    pub gaps: Vec<Duration>,
}

impl CallOutcome {
    /// A call that ended before its first token.
    pub fn without_tokens(end: CallEnd) -> Self {
        Self {
            end,
            first_token: None,
            gaps: Vec::new(),
        }
    }
}

impl From<SendRequestError> for CallOutcome {
    fn from(error: SendRequestError) -> Self {
        Self::without_tokens(match error {
            SendRequestError::Connect(_) => CallEnd::Unreachable,
            SendRequestError::Timeout => CallEnd::TimedOut,
            _ => CallEnd::Truncated,
        })
    }
}

/// The expected answer of a call and how its tokens are counted.
#[derive(Clone, Copy, Debug)]
pub struct StreamExpectation<'a> {
    /// The format of the events.
    pub format: StreamFormat,
    /// The seed of the expected text.
    pub seed: u64,
    /// The number of tokens of the complete answer.
    pub tokens: u32,
    /// The number of tokens after which the client disconnects, if it does.
    pub cancel_after: Option<u32>,
    /// The start from which times are measured.
    pub start: Instant,
    /// Counter for the tokens of all calls; if given, gaps are not recorded.
    pub counter: Option<&'a AtomicU64>,
}

/// Reads an answer until it ends or the client disconnects.
pub async fn read_stream<S>(
    mut answer: ClientResponse<S>,
    expected: StreamExpectation<'_>,
) -> CallOutcome
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut reader = StreamReader::new(expected);
    while let Some(Ok(bytes)) = answer.next().await {
        reader.lines.push(&bytes);
        if let Some(end) = reader.read_lines(Instant::now()) {
            return reader.into_outcome(end);
        }
    }
    reader.into_outcome(CallEnd::Truncated)
}

/// State of an answer while it is read.
struct StreamReader<'a> {
    expected: StreamExpectation<'a>,
    check: TextCheck,
    lines: LineBuffer,
    first_token: Option<Duration>,
    last: Instant,
    gaps: Vec<Duration>,
}

impl<'a> StreamReader<'a> {
    fn new(expected: StreamExpectation<'a>) -> Self {
        Self {
            expected,
            check: TextCheck::new(expected.seed),
            lines: LineBuffer::default(),
            first_token: None,
            last: expected.start,
            gaps: Vec::new(),
        }
    }

    /// Reads the complete lines; returns the end of the call once a line determines it.
    fn read_lines(&mut self, now: Instant) -> Option<CallEnd> {
        while let Some(line) = self.lines.next_line() {
            match parse_line(self.expected.format, &line) {
                StreamItem::Text(text) => self.record_text(&text, now),
                StreamItem::End if self.check.is_complete(self.expected.tokens) => {
                    return Some(CallEnd::Complete);
                }
                StreamItem::End => return Some(CallEnd::Wrong),
                StreamItem::Error => return Some(CallEnd::Broken),
                StreamItem::Other => {}
            }
            if self.check.is_wrong() {
                return Some(CallEnd::Wrong);
            }
            let cancel_after = self.expected.cancel_after;
            if cancel_after.is_some_and(|tokens| self.check.tokens() >= tokens) {
                return Some(CallEnd::Cancelled);
            }
        }
        None
    }

    fn record_text(&mut self, text: &str, now: Instant) {
        let before = self.check.tokens();
        self.check.append(text);
        let tokens = self.check.tokens() - before;
        if tokens == 0 {
            return;
        }
        if let Some(counter) = self.expected.counter {
            counter.fetch_add(u64::from(tokens), Ordering::Relaxed);
        }
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        match self.first_token {
            None => self.first_token = Some(gap),
            // Gaps are recorded only without a counter.
            Some(_) if self.expected.counter.is_none() => self.gaps.push(gap),
            Some(_) => {}
        }
        let arrived_together = (tokens - 1) as usize;
        if self.expected.counter.is_none() {
            self.gaps
                .extend(std::iter::repeat_n(Duration::ZERO, arrived_together));
        }
    }

    fn into_outcome(self, end: CallEnd) -> CallOutcome {
        CallOutcome {
            end,
            first_token: self.first_token,
            gaps: self.gaps,
        }
    }
}
