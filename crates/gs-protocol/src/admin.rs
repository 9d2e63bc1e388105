//! The administration API.
//!
//! Every call but `GET /ready` and `GET /metrics` needs an operator's bearer token and the right named here.
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
//! Anything else is answered with an [`AdminProblem`]. An operation that is repeated with the same identity and
//! the same expected sequence number has no further effect and gets the same answer.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{OperationId, SequenceNumber, ServerName};
use crate::objects::{DrainRecord, HeadRecord, StatusRecord};
use crate::refusal::RequestOutcome;

/// The prefix of a problem's `type`.
pub const PROBLEM_TYPE_PREFIX: &str = "urn:geraniumstage:admin:";

/// One mistake in a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MistakeRecord {
    /// The line, from 1.
    pub line: u64,
    /// The column, from 1.
    pub column: u64,
    /// The path of the field.
    pub path: String,
    /// What was found and what is allowed.
    pub message: String,
}

/// What a check of a document found.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CheckReport {
    /// The digest of the bytes.
    pub digest: String,
    /// All mistakes; none if the document may be tried.
    pub mistakes: Vec<MistakeRecord>,
}

/// One field that differs between two documents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ChangeRecord {
    /// The path of the field.
    pub path: String,
    /// The value before; none if the field is new.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub old: Option<Value>,
    /// The value after; none if the field is gone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub new: Option<Value>,
}

/// The query of `POST /admin/v1/try`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct TryQuery {
    /// The operation, which a repeat carries again.
    pub operation: OperationId,
    /// The sequence number of trial's head that the operator has seen; 0 for none.
    pub expected: SequenceNumber,
}

/// Accepts into production a document that was proven in trial.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PromoteRequest {
    /// The digest of the document.
    pub digest: String,
    /// The operation, which a repeat carries again.
    pub operation: OperationId,
    /// The sequence number of production's head that the operator has seen; 0 for none.
    pub expected: SequenceNumber,
}

/// Accepts the document of an earlier sequence number again, under a new one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RollBackRequest {
    /// The environment; production if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub environment: Option<String>,
    /// The sequence number whose document comes back.
    pub sequence: SequenceNumber,
    /// The operation, which a repeat carries again.
    pub operation: OperationId,
    /// The sequence number of the head that the operator has seen.
    pub expected: SequenceNumber,
}

/// What an operation had accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AcceptAnswer {
    /// What was accepted.
    pub head: HeadRecord,
    /// Whether it had been accepted before, by an earlier call of the same operation.
    pub repeated: bool,
}

/// What is in force in an environment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HeadView {
    /// The environment.
    pub environment: String,
    /// The head; none before the first document.
    pub head: Option<HeadRecord>,
}

/// Since when one entry has applied a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct InForceRecord {
    /// The entry.
    pub entry: String,
    /// Milliseconds since 1970.
    pub since_ms: u64,
}

/// One document in an environment's history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HistoryEntry {
    /// What was accepted, by whom and when.
    pub head: HeadRecord,
    /// Since when each entry has applied it, as far as entries still report.
    pub in_force: Vec<InForceRecord>,
}

/// A part of an environment's history, latest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HistoryView {
    /// The environment.
    pub environment: String,
    /// The documents.
    pub entries: Vec<HistoryEntry>,
    /// The sequence number to give as `before` for the part that follows; none at the end.
    pub next_before: Option<SequenceNumber>,
}

/// What one entry reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryStatus {
    /// The entry.
    pub entry: String,
    /// Its report; none if it has made none.
    pub report: Option<StatusRecord>,
    /// Whether the platform's list names the entry.
    pub listed: bool,
}

/// One server that operators have taken out of use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DrainEntry {
    /// The server.
    pub server: ServerName,
    /// Who did it and when.
    pub record: DrainRecord,
}

/// How far an environment is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusView {
    /// The environment.
    pub environment: String,
    /// The head; none before the first document.
    pub head: Option<HeadRecord>,
    /// Milliseconds since 1970 from which the head has been in force at every listed entry; none if it is not yet.
    pub in_force_since_ms: Option<u64>,
    /// The entries, by name.
    pub entries: Vec<EntryStatus>,
    /// Servers out of use, by name.
    pub drains: Vec<DrainEntry>,
}

/// Takes a server out of use, or puts it back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct DrainRequest {
    /// The environment; production if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub environment: Option<String>,
    /// The server.
    pub server: ServerName,
    /// True to take it out of use.
    pub on: bool,
}

/// What holds after a drain call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DrainAnswer {
    /// The server.
    pub server: ServerName,
    /// Whether it is out of use.
    pub on: bool,
}

/// Why an administration call was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminReason {
    /// The call is malformed.
    BadRequest,
    /// No known token was given.
    Unauthorized,
    /// The operator lacks the right.
    Forbidden,
    /// There is no such environment, document, sequence number or path.
    NotFound,
    /// The body is larger than the limit.
    TooLarge,
    /// The document has mistakes.
    InvalidDocument,
    /// Another operation took the sequence number.
    Overtaken,
    /// The operation's identity was used before for something else.
    OperationReused,
    /// The document has not been accepted in trial.
    NotProven,
    /// The platform's service did not answer as needed.
    PlatformUnavailable,
}

impl AdminReason {
    /// The HTTP status.
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

    /// The reason as a metric label.
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
    /// `urn:geraniumstage:admin:` and the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// One sentence for people.
    pub detail: String,
    /// The reason.
    pub reason: AdminReason,
    /// Whether this call can have had an effect. It says nothing of earlier calls of the same operation.
    pub outcome: RequestOutcome,
    /// If overtaken: what took the sequence number, and by whom.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<HeadRecord>,
    /// If overtaken: what is in force now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<HeadRecord>,
    /// If overtaken: what differs between the document that the operator had seen and the one in force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ChangeRecord>,
    /// All mistakes of an invalid document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mistakes: Vec<MistakeRecord>,
}

impl AdminProblem {
    /// The body of a refusal of a call that had no effect.
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
