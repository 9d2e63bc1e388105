//! Calls that do not get what they ask for.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use bytes::Bytes;
use thiserror::Error;

/// Why a call is not answered as asked.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum CallRefusal {
    /// The call is over the rate.
    #[error("over the rate")]
    OverRate,
    /// The service is out of service.
    #[error("out of service")]
    OutOfService,
    /// There is no such object.
    #[error("no such object")]
    NotFound,
    /// The object has another version.
    #[error("another version")]
    Conflict,
    /// The value is too large.
    #[error("value too large")]
    TooLarge,
    /// The call gives no condition, or a malformed one.
    #[error("a write needs If-Match or If-None-Match")]
    NoCondition,
    /// The connection is closed without an answer.
    #[error("closed without an answer")]
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
            return HttpResponse::new(self.status_code()).set_body(BoxBody::new(BrokenBody));
        }
        HttpResponse::build(self.status_code()).body(self.to_string())
    }
}

/// A body that fails before the head of the response has been sent, which closes the connection.
struct BrokenBody;

impl MessageBody for BrokenBody {
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
