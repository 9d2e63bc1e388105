//! The HTTP protocol of plain services: any method and path, with JSON bodies.
//!
//! A request carries [`ATTEMPT_HEADER`] and, if the caller sent one, [`KEY_HEADER`]. A service that
//! did not run a request answers with status 503 and [`NOT_RUN_HEADER`]. An answer either has a
//! `Content-Length` or is JSON; otherwise truncation cannot be detected and the outcome counts as
//! unknown.

/// Request header: the attempt's identifier. The service echoes it in the answer.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Request header: the caller's idempotency key (IETF draft `Idempotency-Key`).
pub const KEY_HEADER: &str = "idempotency-key";

/// Response header: present in a 503 answer if the service did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
