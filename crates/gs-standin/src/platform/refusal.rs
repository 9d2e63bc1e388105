//! Refusals of calls and their HTTP error responses.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use bytes::Bytes;
use thiserror::Error;

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum CallRefusal {
    /// The call exceeds the rate limit.
    #[error("rate limit exceeded")]
    OverRate,
    /// An outage of kind `refuse` is on.
    #[error("service unavailable")]
    OutOfService,
    /// No object has this key.
    #[error("object not found")]
    NotFound,
    /// The condition does not match the object's current version.
    #[error("the object version does not match the condition")]
    Conflict,
    /// The value exceeds the size limit.
    #[error("the value exceeds the size limit")]
    TooLarge,
    /// A write without a valid condition header.
    #[error("a write requires an If-Match or If-None-Match header")]
    NoCondition,
    /// A fault closes the connection without an answer.
    #[error("connection closed without an answer")]
    Closed,
}

impl ResponseError for CallRefusal {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::OutOfService | Self::Closed => StatusCode::SERVICE_UNAVAILABLE,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Conflict => StatusCode::PRECONDITION_FAILED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoCondition => StatusCode::PRECONDITION_REQUIRED,
        }
    }

    fn error_response(&self) -> HttpResponse {
        if *self == Self::Closed {
            return HttpResponse::new(self.status_code()).set_body(BoxBody::new(FailingBody));
        }
        HttpResponse::build(self.status_code()).body(self.to_string())
    }
}

/// A body that fails before the response head has been sent, which makes the server close the
/// connection.
struct FailingBody;

impl MessageBody for FailingBody {
    type Error = CallRefusal;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(Some(Err(CallRefusal::Closed)))
    }
}
