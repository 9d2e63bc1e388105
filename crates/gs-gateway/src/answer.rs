//! Answers to clients and their bodies.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Sleep;

use crate::connection::ServerConnection;

/// A server's answer ended before it was complete.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("the answer ended before it was complete")]
pub struct IncompleteAnswer;

/// An answer to a client.
pub type ClientAnswer = Response<AnswerBody>;

/// Body of an answer to a client.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body.
    Complete(Option<Bytes>),
    /// Chunks that arrive over time. An error closes the connection, so that the client can tell that the
    /// answer is incomplete.
    Stream(mpsc::UnboundedReceiver<Result<Bytes, IncompleteAnswer>>),
    /// The body of a peer's answer, as it arrives.
    Passed(Box<PassedBody>),
}

/// Body of an answer that another entry gives. It ends as incomplete if the connection fails or its time is over.
#[derive(Debug)]
pub struct PassedBody {
    body: Incoming,
    time_limit: Pin<Box<Sleep>>,
    _connection: ServerConnection,
}

impl PassedBody {
    /// Wraps a body that must be complete within `limit`.
    pub(crate) fn new(body: Incoming, connection: ServerConnection, limit: Duration) -> Self {
        Self {
            body,
            time_limit: Box::pin(tokio::time::sleep(limit)),
            _connection: connection,
        }
    }

    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            return Poll::Ready(frame.map(|frame| frame.map_err(|_| IncompleteAnswer)));
        }
        let is_over = self.time_limit.as_mut().poll(context).is_ready();
        match is_over {
            true => Poll::Ready(Some(Err(IncompleteAnswer))),
            false => Poll::Pending,
        }
    }
}

impl AnswerBody {
    /// Creates a body from all of its bytes.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        match &mut *self {
            Self::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(receiver) => receiver
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Passed(body) => body.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
            Self::Passed(passed) => passed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_) => SizeHint::default(),
            Self::Passed(passed) => passed.body.size_hint(),
        }
    }
}

/// Creates an answer of the gateway itself, as opposed to one from a server.
pub fn local_answer(status: StatusCode, text: &'static str) -> ClientAnswer {
    let mut answer = Response::new(AnswerBody::complete(text));
    *answer.status_mut() = status;
    answer
}
