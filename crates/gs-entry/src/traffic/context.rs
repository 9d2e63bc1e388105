//! Who sends a request, and under which document it is served.

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
use crate::telemetry::{self, CallerMeters};

/// The scheme of the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// One authenticated request. Keeps the document that it was admitted under.
#[derive(Clone)]
pub struct RequestContext {
    /// The request.
    pub request: RequestId,
    /// When it came.
    pub arrived: Instant,
    /// Who sent it.
    pub caller: CallerName,
    /// The document that it was admitted under.
    pub document: Arc<AppliedDocument>,
    /// What is measured of it.
    pub meters: CallerMeters,
}

impl RequestContext {
    /// Takes in a new request; one whose caller is not known gets its counted refusal.
    pub fn admit(http: &HttpRequest, state: &TrafficState) -> Result<Self, Box<HttpResponse>> {
        let request = RequestId::generate();
        Self::authenticate(http, state, request).map_err(|refusal| {
            telemetry::count_refusal(None, refusal.reason);
            Box::new(refusal.response(request))
        })
    }

    /// Finds the caller by the bearer token.
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
            let detail = "the bearer token belongs to no caller";
            return Err(CallerRefusal::not_run(RefusalReason::Unauthorized, detail));
        };
        let meters = CallerMeters::new(name, entry.rank);
        let caller = name.clone();
        Ok(Self {
            request,
            arrived: Instant::now(),
            caller,
            document,
            meters,
        })
    }

    /// What the document says of the caller.
    pub fn entry(&self) -> Option<&CallerEntry> {
        self.document.document.callers.get(&self.caller)
    }

    /// Adds the headers that name the request and the document.
    pub fn stamp(&self, builder: &mut HttpResponseBuilder) {
        builder.insert_header((REQUEST_HEADER, self.request.to_string()));
        builder.insert_header((SEQUENCE_HEADER, self.document.sequence.to_string()));
        builder.insert_header((DIGEST_HEADER, self.document.digest.as_str()));
    }

    /// Logs and counts a refusal of this request.
    pub fn note_refusal(&self, refusal: &CallerRefusal) {
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
