//! Error answers to callers: problem details (RFC 9457) with a reason and an outcome.

use serde::{Deserialize, Serialize};

use crate::ids::RequestId;

/// The media type of a [`ProblemBody`].
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// No work was sent to a backend server, or the server reported that it did not run it.
    /// Reserving a slot does not count as work.
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
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The caller may not use this model or service.
    Forbidden,
    /// The document declares no such model.
    UnknownModel,
    /// The document declares no such service or route.
    UnknownRoute,
    /// The body did not arrive in time.
    RequestTimeout,
    /// The body is larger than the limit.
    TooLarge,
    /// The prompt or the requested output exceeds the model's limit.
    PromptTooLong,
    /// A non-idempotent route was called without an idempotency key.
    KeyRequired,
    /// The key is not a UUIDv7, or its time is further in the future than the allowed clock skew.
    KeyInvalid,
    /// The key is older than the retention period.
    KeyExpired,
    /// The key was used before for a different request.
    KeyReused,
    /// An earlier attempt with the key has not ended, or its outcome is unknown.
    KeyPending,
    /// The caller's queue is full.
    QueueFull,
    /// The first-token target cannot be met.
    TooLate,
    /// No backend server can accept the request.
    NoServer,
    /// The platform's object store did not answer in time.
    PlatformUnavailable,
    /// No document is in force yet.
    NoDocument,
    /// The entry is shutting down.
    ShuttingDown,
    /// The request is quarantined because requests with its fingerprint crashed backend servers.
    Quarantined,
    /// The backend server failed while it ran the request.
    ServerFailed,
    /// The request's deadline passed.
    DeadlinePassed,
}

impl RefusalReason {
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired | Self::KeyInvalid => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::UnknownModel | Self::UnknownRoute => 404,
            Self::RequestTimeout => 408,
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

    /// Returns the reason as a metric label, equal to its serialized form.
    pub fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::UnknownModel => "unknown-model",
            Self::UnknownRoute => "unknown-route",
            Self::RequestTimeout => "request-timeout",
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

/// The JSON body of a refusal, with media type [`PROBLEM_MEDIA_TYPE`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ProblemBody {
    /// The problem type: `urn:geraniumstage:refusal:` followed by the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// A human-readable explanation, one sentence.
    pub detail: String,
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub outcome: RequestOutcome,
    /// The identifier of the refused request.
    pub request: RequestId,
    /// Time after which the caller should retry, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl ProblemBody {
    /// Creates the body of a refusal without a retry time.
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
