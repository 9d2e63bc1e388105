//! A validated call to a service, and the service's answer.

use std::time::Instant;

use actix_web::http::Method;
use bytes::Bytes;
use gs_protocol::ids::{CallerName, IdempotencyKey, RequestId, ServerKindName};

/// A validated call to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifier of the request.
    pub request: RequestId,
    /// Caller that sent it.
    pub caller: CallerName,
    /// Kind of the servers that run the service.
    pub kind: ServerKindName,
    /// HTTP method.
    pub method: Method,
    /// Path after the service's name, with the query.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Complete body.
    pub body: Bytes,
    /// Idempotency key of the caller.
    pub key: Option<IdempotencyKey>,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// Deadline for the answer to the caller.
    pub deadline: Instant,
}

/// Answer of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Complete body.
    pub body: Bytes,
}
