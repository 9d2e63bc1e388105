//! Refusals as callers see them: problem details (RFC 9457) with an outcome.

use serde::{Deserialize, Serialize};

use crate::ids::RequestId;

/// The media type of a refusal's body.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// What a refusal says of the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// Nothing that a backend server could run was sent to one, or the server said that it did not run. A
    /// reservation of a slot alone runs nothing.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The body, a header or the prompt is malformed.
    BadRequest,
    /// No known token was given.
    Unauthorized,
    /// The caller may not use this model or service.
    Forbidden,
    /// The document names no such model.
    UnknownModel,
    /// The document names no such service or route.
    UnknownRoute,
    /// The body is larger than the limit.
    TooLarge,
    /// The prompt or the output is longer than the model's limit.
    PromptTooLong,
    /// A non-idempotent route was called without a key.
    KeyRequired,
    /// The key is not a UUIDv7 or lies beyond the allowed clock skew.
    KeyInvalid,
    /// The key is older than the retention.
    KeyExpired,
    /// The key was used before with a different body.
    KeyReused,
    /// An earlier try under the key has not ended, or its end is not known.
    KeyPending,
    /// The caller's queue is full.
    QueueFull,
    /// The first-token target cannot be met.
    TooLate,
    /// No backend server can take the request.
    NoServer,
    /// The platform's service did not answer in time.
    PlatformUnavailable,
    /// No document is in force yet.
    NoDocument,
    /// The entry is shutting down.
    ShuttingDown,
    /// Requests like this one crashed backend servers.
    Quarantined,
    /// The backend server failed while the request ran.
    ServerFailed,
    /// The request ran out of its own deadline.
    DeadlinePassed,
}

impl RefusalReason {
    /// The HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired | Self::KeyInvalid => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::UnknownModel | Self::UnknownRoute => 404,
            Self::KeyPending => 409,
            Self::TooLarge | Self::PromptTooLong => 413,
            Self::KeyExpired | Self::KeyReused | Self::Quarantined => 422,
            Self::QueueFull => 429,
            Self::TooLate | Self::NoServer | Self::PlatformUnavailable => 503,
            Self::NoDocument | Self::ShuttingDown => 503,
            Self::ServerFailed => 502,
            Self::DeadlinePassed => 504,
        }
    }

    /// The reason as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::UnknownModel => "unknown-model",
            Self::UnknownRoute => "unknown-route",
            Self::TooLarge => "too-large",
            Self::PromptTooLong => "prompt-too-long",
            Self::KeyRequired => "key-required",
            Self::KeyInvalid => "key-invalid",
            Self::KeyExpired => "key-expired",
            Self::KeyReused => "key-reused",
            Self::KeyPending => "key-pending",
            Self::QueueFull => "queue-full",
            Self::TooLate => "too-late",
            Self::NoServer => "no-server",
            Self::PlatformUnavailable => "platform-unavailable",
            Self::NoDocument => "no-document",
            Self::ShuttingDown => "shutting-down",
            Self::Quarantined => "quarantined",
            Self::ServerFailed => "server-failed",
            Self::DeadlinePassed => "deadline-passed",
        }
    }
}

/// The JSON body of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ProblemBody {
    /// `urn:geraniumstage:refusal:` and the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// One sentence for people.
    pub detail: String,
    /// The reason.
    pub reason: RefusalReason,
    /// What is said of the request.
    pub outcome: RequestOutcome,
    /// The refused request.
    pub request: RequestId,
    /// Seconds after which another try is worth it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl ProblemBody {
    /// The body of a refusal without a retry time.
    pub fn new(
        request: RequestId,
        reason: RefusalReason,
        outcome: RequestOutcome,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            kind: format!("urn:geraniumstage:refusal:{}", reason.label()),
            status: reason.status(),
            detail: detail.into(),
            reason,
            outcome,
            request,
            retry_after_s: None,
        }
    }
}
