//! Refused calls as typed problem details.

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
    /// No known token was given.
    #[error("the call needs an operator's bearer token")]
    Unauthorized,
    /// The operator lacks the right.
    #[error("the operator lacks the right \"{right}\" in environment \"{environment}\"")]
    Forbidden {
        /// The right.
        right: &'static str,
        /// The environment.
        environment: String,
    },
    /// There is nothing of that name.
    #[error("{kind} \"{name}\" does not exist")]
    NotFound {
        /// What kind of thing was asked for.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: usize,
    },
    /// The document has mistakes.
    #[error("the document has {} mistakes", .0.mistakes().len())]
    InvalidDocument(MistakeList),
    /// Another operation took the sequence number.
    #[error(
        "operator \"{}\" had sequence number {} accepted before; sequence number {} is in force",
        .0.winner.operator, .0.winner.sequence, .0.head.sequence
    )]
    Overtaken(Box<OvertakenDetail>),
    /// The expected sequence number has not been reached.
    #[error("sequence number {expected} has not been reached; {found} is in force")]
    NotReached {
        /// What the operator expected.
        expected: SequenceNumber,
        /// What is in force.
        found: SequenceNumber,
    },
    /// The operation's identity was used for something else.
    #[error("the operation's identity was used before, for sequence number {}", .0.sequence)]
    OperationReused(Box<HeadRecord>),
    /// The document was not accepted in trial.
    #[error("document \"{digest}\" has not been accepted in environment \"{trial}\"")]
    NotProven {
        /// The document.
        digest: String,
        /// The environment that must have accepted it.
        trial: String,
    },
    /// The platform's service did not answer as needed.
    #[error("{detail}")]
    PlatformUnavailable {
        /// What happened.
        detail: String,
        /// Whether the call can have had an effect.
        outcome: RequestOutcome,
    },
}

/// Who was first, and what changed.
#[derive(Clone, Debug)]
pub struct OvertakenDetail {
    /// The head that took the sequence number.
    pub winner: HeadRecord,
    /// The head in force.
    pub head: HeadRecord,
    /// From the document that the operator had seen to the one in force.
    pub changes: Vec<ChangeRecord>,
}

impl AdminRefusal {
    /// The reason as the API names it.
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

    /// The body of the answer.
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

/// Mistakes as the API gives them.
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
    /// A failure of a call that only reads.
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
