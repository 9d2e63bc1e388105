//! Authentication of requests, and the document that applies to each.

use std::sync::Arc;
use std::time::Instant;

use actix_web::http::header::AUTHORIZATION;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use gs_document::document::CallerEntry;
use gs_protocol::caller::{DIGEST_HEADER, REQUEST_HEADER, SEQUENCE_HEADER};
use gs_protocol::ids::{CallerName, RequestId};
use gs_protocol::refusal::RefusalReason;

use super::{CallerRefusal, TrafficState};
use crate::documents::AppliedDocument;
use crate::telemetry::{self, CallerMetrics};

/// Scheme of the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// An authenticated request. The document that was in force at its arrival applies until its end.
#[derive(Clone)]
pub struct RequestContext {
    /// Identifier of the request.
    pub request: RequestId,
    /// Time of its arrival.
    pub arrived_at: Instant,
    /// Caller that sent it.
    pub caller: CallerName,
    /// Document that was in force at its arrival.
    pub document: Arc<AppliedDocument>,
    /// Metrics of the caller.
    pub metrics: CallerMetrics,
}

impl RequestContext {
    /// Authenticates a new request. On failure, counts the refusal and returns its response.
    pub fn admit(http: &HttpRequest, state: &TrafficState) -> Result<Self, Box<HttpResponse>> {
        let request = RequestId::generate();
        Self::authenticate(http, state, request).map_err(|refusal| {
            telemetry::count_refusal(None, refusal.reason);
            Box::new(refusal.response(request))
        })
    }

    /// Identifies the caller by the bearer token.
    fn authenticate(
        http: &HttpRequest,
        state: &TrafficState,
        request: RequestId,
    ) -> Result<Self, CallerRefusal> {
        check_headers(http, state.settings.limits.max_header_bytes)?;
        let Some(document) = state.document() else {
            let detail = "no document is in force at this entry yet";
            return Err(CallerRefusal::not_run(RefusalReason::NoDocument, detail));
        };
        let token = read_token(http)?;
        let digest = gs_document::digest_token(token);
        let Some((name, entry)) = document.find_caller(&digest) else {
            let detail = "the bearer token does not belong to any caller";
            return Err(CallerRefusal::not_run(RefusalReason::Unauthorized, detail));
        };
        let metrics = CallerMetrics::new(name, entry.rank);
        let caller = name.clone();
        Ok(Self {
            request,
            arrived_at: Instant::now(),
            caller,
            document,
            metrics,
        })
    }

    /// Entry of the caller in the document.
    pub fn caller_entry(&self) -> Option<&CallerEntry> {
        self.document.document.callers.get(&self.caller)
    }

    /// Adds the headers that identify the request and the document.
    pub fn add_headers(&self, builder: &mut HttpResponseBuilder) {
        builder.insert_header((REQUEST_HEADER, self.request.to_string()));
        builder.insert_header((SEQUENCE_HEADER, self.document.sequence.to_string()));
        builder.insert_header((DIGEST_HEADER, self.document.digest.as_str()));
    }

    /// Logs and counts a refusal of this request.
    pub fn record_refusal(&self, refusal: &CallerRefusal) {
        let (request, caller) = (self.request, self.caller.as_str());
        let reason = refusal.reason.label();
        log::info!(target: "traffic", request:%, caller, reason; "Request was refused.");
        telemetry::count_refusal(Some(&self.caller), refusal.reason);
    }
}

fn read_token(http: &HttpRequest) -> Result<&str, CallerRefusal> {
    let header = http.headers().get(AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix(BEARER_PREFIX));
    token.ok_or_else(|| {
        let detail = "the request has no bearer token";
        CallerRefusal::not_run(RefusalReason::Unauthorized, detail)
    })
}

fn check_headers(http: &HttpRequest, limit: usize) -> Result<(), CallerRefusal> {
    let bytes: usize = http
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes <= limit {
        return Ok(());
    }
    let detail = format!("the headers have {bytes} bytes; {limit} are allowed");
    Err(CallerRefusal::not_run(RefusalReason::TooLarge, detail))
}
