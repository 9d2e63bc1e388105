//! Refusals and how they are sent.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use gs_protocol::caller::REQUEST_HEADER;
use gs_protocol::ids::RequestId;
use gs_protocol::refusal::{PROBLEM_MEDIA_TYPE, ProblemBody, RefusalReason, RequestOutcome};

/// Why a request is refused and what is known of it.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("{detail}")]
pub struct CallerRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// What is said of the request.
    pub outcome: RequestOutcome,
    /// One sentence for people.
    pub detail: String,
    /// When another try is worth it.
    pub retry_after: Option<Duration>,
}

impl CallerRefusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: RequestOutcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: RequestOutcome::Unknown,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The same refusal with a time for another try.
    pub fn with_retry_after(self, retry_after: Option<Duration>) -> Self {
        Self {
            retry_after,
            ..self
        }
    }

    /// The body of the refusal.
    pub fn body(&self, request: RequestId) -> ProblemBody {
        let mut body = ProblemBody::new(request, self.reason, self.outcome, self.detail.clone());
        body.retry_after_s = self.retry_after.map(whole_seconds);
        body
    }

    /// The whole response.
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

/// Seconds, rounded up, as `Retry-After` has no smaller unit.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}
