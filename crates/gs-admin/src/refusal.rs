//! Refusals of calls, which are answered as problem details with a typed reason.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use gs_document::MistakeList;
use gs_platform::PlatformError;
use gs_protocol::admin::{AdminProblem, AdminReason, ChangeRecord, MistakeRecord};
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::HeadRecord;
use gs_protocol::refusal::{PROBLEM_MEDIA_TYPE, RequestOutcome};
use thiserror::Error;

/// Why a call is refused.
#[derive(Clone, Debug, Error)]
pub enum AdminRefusal {
    /// The call is malformed.
    #[error("the call is malformed: {detail}")]
    BadRequest {
        /// What is wrong.
        detail: String,
    },
    /// The call has no bearer token, or one that belongs to no operator.
    #[error("the call requires the bearer token of an operator")]
    Unauthorized,
    /// The operator does not have the required right.
    #[error("the operator lacks the right \"{right}\" in environment \"{environment}\"")]
    Forbidden {
        /// The required right.
        right: &'static str,
        /// The environment in which it is required.
        environment: String,
    },
    /// The named object, call or environment does not exist.
    #[error("{kind} \"{name}\" does not exist")]
    NotFound {
        /// The kind of what was requested, such as "document".
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The document has mistakes.
    #[error("the document has {} mistakes", .0.mistakes().len())]
    InvalidDocument(MistakeList),
    /// Another operation took the sequence number.
    #[error(
        "operator \"{}\" has already taken sequence number {}; sequence number {} is in force",
        .0.winner.operator, .0.winner.sequence, .0.head.sequence
    )]
    Overtaken(Box<OvertakenDetail>),
    /// The expected sequence number has not been reached.
    #[error("sequence number {expected} has not been reached; {found} is in force")]
    NotReached {
        /// The sequence number that the operator expected.
        expected: SequenceNumber,
        /// The sequence number in force; 0 for none.
        found: SequenceNumber,
    },
    /// The operation's identity was already used for a different change.
    #[error("the operation's identity was already used for sequence number {}", .0.sequence)]
    OperationReused(Box<HeadRecord>),
    /// The document has not been accepted in the trial environment.
    #[error("document \"{digest}\" has not been accepted in environment \"{trial}\"")]
    NotProven {
        /// The digest of the document.
        digest: String,
        /// The trial environment, which must accept a document before production does.
        trial: String,
    },
    /// A call to the platform's service failed.
    #[error("{detail}")]
    PlatformUnavailable {
        /// The cause of the failure.
        detail: String,
        /// Whether the refused call may have taken effect.
        outcome: RequestOutcome,
    },
}

/// What an operator learns about the operations that overtook the refused one.
#[derive(Clone, Debug)]
pub struct OvertakenDetail {
    /// The head that took the sequence number.
    pub winner: HeadRecord,
    /// The head in force.
    pub head: HeadRecord,
    /// The fields that differ between the document that the operator expected and the one in force.
    pub changes: Vec<ChangeRecord>,
}

impl AdminRefusal {
    /// Returns the reason code of the API.
    pub fn reason(&self) -> AdminReason {
        match self {
            Self::BadRequest { .. } => AdminReason::BadRequest,
            Self::Unauthorized => AdminReason::Unauthorized,
            Self::Forbidden { .. } => AdminReason::Forbidden,
            Self::NotFound { .. } => AdminReason::NotFound,
            Self::TooLarge { .. } => AdminReason::TooLarge,
            Self::InvalidDocument(_) => AdminReason::InvalidDocument,
            Self::Overtaken(_) | Self::NotReached { .. } => AdminReason::Overtaken,
            Self::OperationReused(_) => AdminReason::OperationReused,
            Self::NotProven { .. } => AdminReason::NotProven,
            Self::PlatformUnavailable { .. } => AdminReason::PlatformUnavailable,
        }
    }

    /// Returns the problem details for the body of the answer.
    pub fn problem(&self) -> AdminProblem {
        let mut problem = AdminProblem::new(self.reason(), self.to_string());
        match self {
            Self::PlatformUnavailable { outcome, .. } => problem.outcome = *outcome,
            Self::InvalidDocument(mistakes) => problem.mistakes = mistake_records(mistakes),
            Self::OperationReused(head) => problem.winner = Some(head.as_ref().clone()),
            Self::Overtaken(detail) => {
                problem.winner = Some(detail.winner.clone());
                problem.head = Some(detail.head.clone());
                problem.changes.clone_from(&detail.changes);
            }
            _ => {}
        }
        problem
    }
}

/// Converts mistakes to the records of the API.
pub fn mistake_records(mistakes: &MistakeList) -> Vec<MistakeRecord> {
    mistakes
        .mistakes()
        .iter()
        .map(|mistake| MistakeRecord {
            line: mistake.line as u64,
            column: mistake.column as u64,
            path: mistake.path.to_string(),
            message: mistake.kind.to_string(),
        })
        .collect()
}

impl From<PlatformError> for AdminRefusal {
    /// Maps a failure during a read-only call, which cannot have taken effect.
    fn from(error: PlatformError) -> Self {
        Self::PlatformUnavailable {
            detail: error.to_string(),
            outcome: RequestOutcome::NotRun,
        }
    }
}

impl ResponseError for AdminRefusal {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.reason().status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        HttpResponse::build(self.status_code())
            .content_type(PROBLEM_MEDIA_TYPE)
            .json(self.problem())
    }
}
