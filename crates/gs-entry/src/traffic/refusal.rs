//! Refusals of requests, and their responses.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use gs_protocol::caller::REQUEST_HEADER;
use gs_protocol::ids::RequestId;
use gs_protocol::refusal::{PROBLEM_MEDIA_TYPE, ProblemBody, RefusalReason, RequestOutcome};

/// A refusal of a request, and whether the request may have run.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("{detail}")]
pub struct CallerRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub outcome: RequestOutcome,
    /// Human-readable explanation, one sentence.
    pub detail: String,
    /// Suggested delay before a retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl CallerRefusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: RequestOutcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: RequestOutcome::Unknown,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Returns the refusal with a suggested delay before a retry.
    pub fn with_retry_after(self, retry_after: Option<Duration>) -> Self {
        Self {
            retry_after,
            ..self
        }
    }

    /// Problem body of the refusal.
    pub fn body(&self, request: RequestId) -> ProblemBody {
        let mut body = ProblemBody::new(request, self.reason, self.outcome, self.detail.clone());
        body.retry_after_s = self.retry_after.map(whole_seconds);
        body
    }

    /// HTTP response of the refusal.
    pub fn response(&self, request: RequestId) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = HttpResponse::build(status);
        builder.content_type(PROBLEM_MEDIA_TYPE);
        builder.insert_header((REQUEST_HEADER, request.to_string()));
        if let Some(delay) = self.retry_after {
            builder.insert_header((RETRY_AFTER, whole_seconds(delay).to_string()));
        }
        builder.json(self.body(request))
    }
}

/// Rounds a delay up to seconds, because `Retry-After` has no smaller unit.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}
