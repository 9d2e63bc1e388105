//! Answers to clients and their bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

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
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates an answer of the gateway itself, as opposed to one from a server.
pub fn local_answer(status: StatusCode, text: &'static str) -> ClientAnswer {
    let mut answer = Response::new(AnswerBody::complete(text));
    *answer.status_mut() = status;
    answer
}
