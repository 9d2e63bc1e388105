//! A checked call of a service, and its answer.

use std::time::Instant;

use actix_web::http::Method;
use bytes::Bytes;
use gs_protocol::ids::{CallerName, IdempotencyKey, RequestId, ServerKindName};

/// A call that may be passed on.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The request.
    pub request: RequestId,
    /// Who sent it.
    pub caller: CallerName,
    /// The kind of servers that run the service.
    pub kind: ServerKindName,
    /// The method.
    pub method: Method,
    /// The path below the service's name, with the query.
    pub path: String,
    /// The body's media type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// Whether a repeat is harmless.
    pub idempotent: bool,
    /// When the caller must be answered.
    pub deadline: Instant,
}

/// What a service answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body's media type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}
