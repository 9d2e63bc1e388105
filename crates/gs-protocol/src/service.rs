//! The plain services' HTTP protocol: any method and path, JSON bodies.
//!
//! A request carries [`ATTEMPT_HEADER`] and, where the caller gave one, [`KEY_HEADER`]. A service that
//! did not run a request says so with status 503 and [`NOT_RUN_HEADER`]. An answer has a `Content-Length`, or is
//! JSON: the end of any other cannot be checked, and its outcome counts as unknown.

/// The attempt that the request is, echoed in the answer.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// The caller's idempotency key (IETF draft `Idempotency-Key`).
pub const KEY_HEADER: &str = "idempotency-key";

/// Present in a 503 answer if the service did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
