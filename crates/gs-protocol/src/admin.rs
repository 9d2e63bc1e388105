//! The HTTP protocol of the administration API.
//!
//! Every call except `GET /ready` and `GET /metrics` requires an operator's bearer token and the
//! listed right.
//!
//! | call | right | body | answer |
//! |---|---|---|---|
//! | `POST /admin/v1/check` | any | the document's bytes | 200 [`CheckReport`] |
//! | `POST /admin/v1/try?operation=&expected=` | try | the document's bytes | 200 [`AcceptAnswer`] |
//! | `POST /admin/v1/promote` | promote | [`PromoteRequest`] | 200 [`AcceptAnswer`] |
//! | `POST /admin/v1/rollback` | promote, or try for trial | [`RollBackRequest`] | 200 [`AcceptAnswer`] |
//! | `GET /admin/v1/head?environment=` | read | | 200 [`HeadView`] |
//! | `GET /admin/v1/documents/{digest}` | read | | 200 with the document's bytes |
//! | `GET /admin/v1/history?environment=&before=&limit=` | read | | 200 [`HistoryView`] |
//! | `GET /admin/v1/status?environment=` | read | | 200 [`StatusView`] |
//! | `POST /admin/v1/drain` | drain | [`DrainRequest`] | 200 [`DrainAnswer`] |
//!
//! A refused call is answered with an [`AdminProblem`]. Operations are idempotent: a retry with the
//! same operation identifier and the same expected sequence number has no further effect and gets
//! the same answer.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{OperationId, SequenceNumber, ServerName};
use crate::objects::{DrainRecord, HeadRecord, StatusRecord};
use crate::refusal::RequestOutcome;

/// The prefix of the `type` of an [`AdminProblem`].
pub const PROBLEM_TYPE_PREFIX: &str = "urn:geraniumstage:admin:";

/// One mistake in a document, at its place in the text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MistakeRecord {
    /// The line, from 1.
    pub line: u64,
    /// The column, from 1.
    pub column: u64,
    /// The path of the field, such as `callers.desk.models[1]`.
    pub path: String,
    /// A human-readable message with the value found and the values allowed.
    pub message: String,
}

/// The result of checking a document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CheckReport {
    /// The digest of the document's bytes.
    pub digest: String,
    /// All mistakes; empty if the document is valid.
    pub mistakes: Vec<MistakeRecord>,
}

/// One field that differs between two documents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ChangeRecord {
    /// The path of the field, such as `callers.desk.models[1]`.
    pub path: String,
    /// The old value; `None` if the field was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub old: Option<Value>,
    /// The new value; `None` if the field was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub new: Option<Value>,
}

/// The query of `POST /admin/v1/try`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct TryQuery {
    /// The operation's identifier; retries of the operation carry the same one.
    pub operation: OperationId,
    /// The expected sequence number of the trial environment's head; 0 if there is none.
    pub expected: SequenceNumber,
}

/// The body of `POST /admin/v1/promote`: accepts into production a document that was accepted in
/// trial.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PromoteRequest {
    /// The document's digest.
    pub digest: String,
    /// The operation's identifier; retries of the operation carry the same one.
    pub operation: OperationId,
    /// The expected sequence number of the production environment's head; 0 if there is none.
    pub expected: SequenceNumber,
}

/// The body of `POST /admin/v1/rollback`: accepts an earlier document again under a new sequence
/// number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RollBackRequest {
    /// The environment; production if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub environment: Option<String>,
    /// The sequence number of the document to restore.
    pub sequence: SequenceNumber,
    /// The operation's identifier; retries of the operation carry the same one.
    pub operation: OperationId,
    /// The expected sequence number of the head.
    pub expected: SequenceNumber,
}

/// The answer to an operation that accepted a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AcceptAnswer {
    /// The head that the operation wrote.
    pub head: HeadRecord,
    /// Whether an earlier call of the same operation had already written it.
    pub repeated: bool,
}

/// The answer to `GET /admin/v1/head`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HeadView {
    /// The environment.
    pub environment: String,
    /// The head; `None` before the first document is accepted.
    pub head: Option<HeadRecord>,
}

/// The time from which one entry has applied a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct InForceRecord {
    /// The entry's name.
    pub entry: String,
    /// The time from which the entry has applied the document, in milliseconds since 1970.
    pub since_ms: u64,
}

/// One document in an environment's history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HistoryEntry {
    /// The head: the document, the operator and the time of acceptance.
    pub head: HeadRecord,
    /// The entries that still report having applied the document.
    pub in_force: Vec<InForceRecord>,
}

/// One page of an environment's history, latest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HistoryView {
    /// The environment.
    pub environment: String,
    /// The documents of the page, latest first.
    pub entries: Vec<HistoryEntry>,
    /// The sequence number to pass as `before` for the next page; `None` on the last page.
    pub next_before: Option<SequenceNumber>,
}

/// The status of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryStatus {
    /// The entry's name.
    pub entry: String,
    /// The entry's latest report; `None` if it has not reported.
    pub report: Option<StatusRecord>,
    /// Whether the entry is in the platform's list of VMs.
    pub listed: bool,
}

/// One drained server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DrainEntry {
    /// The server's name.
    pub server: ServerName,
    /// The operator who drained it, and the time.
    pub record: DrainRecord,
}

/// The answer to `GET /admin/v1/status`: how far a document has been rolled out in an environment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusView {
    /// The environment.
    pub environment: String,
    /// The head; `None` before the first document is accepted.
    pub head: Option<HeadRecord>,
    /// The time from which every listed entry has applied the head, in milliseconds since 1970;
    /// `None` until all of them have.
    pub in_force_since_ms: Option<u64>,
    /// The entries, sorted by name.
    pub entries: Vec<EntryStatus>,
    /// The drained servers, sorted by name.
    pub drains: Vec<DrainEntry>,
}

/// The body of `POST /admin/v1/drain`: drains a server or returns it to use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct DrainRequest {
    /// The environment; production if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub environment: Option<String>,
    /// The server's name.
    pub server: ServerName,
    /// True to drain the server, false to return it to use.
    pub on: bool,
}

/// The state of a server after a drain call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DrainAnswer {
    /// The server's name.
    pub server: ServerName,
    /// Whether the server is drained.
    pub on: bool,
}

/// The reason for refusing an administration call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminReason {
    /// The call is malformed.
    BadRequest,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The operator lacks the required right.
    Forbidden,
    /// There is no such environment, document, sequence number or path.
    NotFound,
    /// The body is larger than the limit.
    TooLarge,
    /// The document has mistakes.
    InvalidDocument,
    /// Another operation used the sequence number first.
    Overtaken,
    /// The operation's identifier was used before for a different operation.
    OperationReused,
    /// The document has not been accepted in trial.
    NotProven,
    /// The platform's object store failed, refused the call or did not answer in time.
    PlatformUnavailable,
}

impl AdminReason {
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Overtaken | Self::OperationReused => 409,
            Self::TooLarge => 413,
            Self::InvalidDocument | Self::NotProven => 422,
            Self::PlatformUnavailable => 503,
        }
    }

    /// Returns the reason as a metric label, equal to its serialized form.
    pub fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not-found",
            Self::TooLarge => "too-large",
            Self::InvalidDocument => "invalid-document",
            Self::Overtaken => "overtaken",
            Self::OperationReused => "operation-reused",
            Self::NotProven => "not-proven",
            Self::PlatformUnavailable => "platform-unavailable",
        }
    }
}

/// The JSON body of a refused administration call (RFC 9457).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AdminProblem {
    /// The problem type: `urn:geraniumstage:admin:` followed by the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// A human-readable explanation, one sentence.
    pub detail: String,
    /// The reason for the refusal.
    pub reason: AdminReason,
    /// Whether this call may have had an effect. Earlier calls of the same operation are not
    /// considered.
    pub outcome: RequestOutcome,
    /// If overtaken: the head that used the sequence number first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<HeadRecord>,
    /// If overtaken: the current head.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<HeadRecord>,
    /// If overtaken: the differences between the document that the operator expected and the one in
    /// force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ChangeRecord>,
    /// If the document is invalid: all its mistakes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mistakes: Vec<MistakeRecord>,
}

impl AdminProblem {
    /// Creates the body of a refusal for a call that had no effect.
    pub fn new(reason: AdminReason, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("{PROBLEM_TYPE_PREFIX}{}", reason.label()),
            status: reason.status(),
            detail: detail.into(),
            reason,
            outcome: RequestOutcome::NotRun,
            winner: None,
            head: None,
            changes: Vec::new(),
            mistakes: Vec::new(),
        }
    }
}
