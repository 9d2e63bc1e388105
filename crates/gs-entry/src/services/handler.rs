//! Handler of `/services/{service}/{path}`: validates a call, forwards it and returns the answer.

use std::time::Instant;

use actix_web::http::StatusCode;
use actix_web::http::header::CONTENT_TYPE;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use gs_protocol::ids::{IdempotencyKey, ServiceName};
use gs_protocol::refusal::RefusalReason;
use gs_protocol::service::KEY_HEADER;
use uuid::Uuid;

use super::call::{ServiceAnswer, ServiceCall};
use super::claimed::forward_claimed;
use super::forward::forward_idempotent;
use super::routes::find_route;
use crate::traffic::{CallerRefusal, RequestContext, TrafficState, read_body};

/// Prefix of the path before the service's name.
const SERVICES_PREFIX: &str = "/services/";

/// UUID version of idempotency keys.
const KEY_VERSION: usize = 7;

/// Handles a call to a service.
pub async fn call_service(
    http: HttpRequest,
    payload: Payload,
    state: Data<TrafficState>,
) -> HttpResponse {
    let context = match RequestContext::admit(&http, &state) {
        Ok(context) => context,
        Err(response) => return *response,
    };
    let target = CallTarget::parse(http.uri().path());
    let forwarded = tokio::select! {
        biased;
        forwarded = forward_call(&http, &target, &context, payload, &state) => forwarded,
        () = state.shutdown.final_answers_due() => {
            let detail = "the entry exits while the call may be running";
            Err(CallerRefusal::unknown(RefusalReason::ServerFailed, detail))
        }
    };
    match forwarded {
        Ok(answer) => build_response(&context, answer),
        Err(refusal) => {
            context.record_refusal(&refusal);
            refusal.response(context.request)
        }
    }
}

/// Service and path that a call names.
struct CallTarget {
    service: ServiceName,
    path: String,
}

impl CallTarget {
    /// Splits the path of a request. The path stays encoded, because a server could interpret a
    /// decoded path differently.
    fn parse(path: &str) -> Self {
        let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or(path);
        let end = rest.find('/').unwrap_or(rest.len());
        let (service, path) = rest.split_at(end);
        Self {
            service: ServiceName::new(service),
            path: path.to_owned(),
        }
    }
}

async fn forward_call(
    http: &HttpRequest,
    target: &CallTarget,
    context: &RequestContext,
    payload: Payload,
    state: &Data<TrafficState>,
) -> Result<ServiceAnswer, CallerRefusal> {
    let mut call = check_call(http, target, context)?;
    let (limits, timeouts) = (&state.settings.limits, &state.settings.timeouts);
    call.body = read_body(payload, limits.max_body_bytes, timeouts.caller_read).await?;
    let time_left = call.deadline.saturating_duration_since(Instant::now());
    state.shutdown.admit(time_left)?;
    if call.idempotent {
        return forward_idempotent(&call, state).await;
    }
    forward_claimed(call, state).await
}

fn check_call(
    http: &HttpRequest,
    target: &CallTarget,
    context: &RequestContext,
) -> Result<ServiceCall, CallerRefusal> {
    let name = &target.service;
    let unknown = |detail| CallerRefusal::not_run(RefusalReason::UnknownRoute, detail);
    let Some(service) = context.document.document.services.get(name) else {
        return Err(unknown(format!(
            "service \"{name}\" does not exist in the document in force"
        )));
    };
    if !context
        .caller_entry()
        .is_some_and(|caller| caller.services.contains(name))
    {
        let detail = format!(
            "caller \"{}\" may not use service \"{name}\"",
            context.caller
        );
        return Err(CallerRefusal::not_run(RefusalReason::Forbidden, detail));
    }
    let method = http.method().clone();
    let Some(route) = find_route(service, method.as_str(), &target.path) else {
        let path = &target.path;
        return Err(unknown(format!(
            "service \"{name}\" has no route {method} {path}"
        )));
    };
    let key = read_key(http)?;
    if !route.idempotent && key.is_none() {
        let detail = format!("{method} {} needs an Idempotency-Key", route.path);
        return Err(CallerRefusal::not_run(RefusalReason::KeyRequired, detail));
    }
    let query = http.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    let content_type = http
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    Ok(ServiceCall {
        request: context.request,
        caller: context.caller.clone(),
        kind: service.server_kind.clone(),
        method,
        path: format!("{}{separator}{query}", target.path),
        content_type: content_type.map(str::to_owned),
        body: bytes::Bytes::new(),
        key,
        idempotent: route.idempotent,
        deadline: Instant::now() + route.deadline,
    })
}

/// Parses the idempotency key: a UUIDv7, with or without the quotes of a structured header string.
fn read_key(http: &HttpRequest) -> Result<Option<IdempotencyKey>, CallerRefusal> {
    let Some(value) = http.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    match Uuid::try_parse(text) {
        Ok(uuid) if uuid.get_version_num() == KEY_VERSION => Ok(Some(IdempotencyKey(uuid))),
        _ => {
            let detail = format!("Idempotency-Key \"{text}\" is not a UUIDv7");
            Err(CallerRefusal::not_run(RefusalReason::KeyInvalid, detail))
        }
    }
}

fn build_response(context: &RequestContext, answer: ServiceAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    context.add_headers(&mut builder);
    if let Some(content_type) = &answer.content_type {
        builder.content_type(content_type.as_str());
    }
    builder.body(answer.body)
}
