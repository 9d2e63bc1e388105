//! Handlers of the object service, watch and VM list calls.

use std::time::{Duration, Instant};

use actix_web::http::header;
use actix_web::web::{Bytes, Data, Json, Path, Query};
use actix_web::{HttpRequest, HttpResponse};
use gs_platform::{PlatformError, WriteCondition};
use gs_protocol::ids::ObjectVersion;
use gs_protocol::platform::{ObjectList, WatchAnswer, WriteAnswer};
use gs_protocol::vm::VmRecord;
use serde::Deserialize;

use super::limits::CallKind;
use super::refusal::CallRefusal;
use super::state::PlatformState;

#[derive(Deserialize)]
pub(super) struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WatchQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    timeout_ms: u64,
}

/// `GET /objects/{key}`
pub(super) async fn read(
    state: Data<PlatformState>,
    key: Path<String>,
) -> Result<HttpResponse, CallRefusal> {
    state.admit(CallKind::Read).await?;
    let object = state.lock().store.read(&key);
    state.delay_answer().await;
    let object = object.ok_or(CallRefusal::NotFound)?;
    Ok(HttpResponse::Ok()
        .insert_header((header::ETAG, format!("\"{}\"", object.version)))
        .body(object.value))
}

/// `PUT /objects/{key}`
pub(super) async fn write(
    state: Data<PlatformState>,
    key: Path<String>,
    request: HttpRequest,
    value: Bytes,
) -> Result<Json<WriteAnswer>, CallRefusal> {
    state.admit(CallKind::Write).await?;
    let condition = parse_condition(&request)?;
    let written = state.lock().store.write(&key, value, condition);
    let version = written.map_err(|error| map_error(&error))?;
    finish_write(&state).await?;
    Ok(Json(WriteAnswer { version }))
}

/// `DELETE /objects/{key}`
pub(super) async fn remove(
    state: Data<PlatformState>,
    key: Path<String>,
    request: HttpRequest,
) -> Result<HttpResponse, CallRefusal> {
    state.admit(CallKind::Write).await?;
    let WriteCondition::Version(version) = parse_condition(&request)? else {
        return Err(CallRefusal::NoCondition);
    };
    let removed = remove_object(&state, &key, version);
    removed?;
    finish_write(&state).await?;
    Ok(HttpResponse::Ok().finish())
}

/// `GET /objects?prefix=`
pub(super) async fn list(
    state: Data<PlatformState>,
    query: Query<ListQuery>,
) -> Result<Json<ObjectList>, CallRefusal> {
    state.admit(CallKind::Read).await?;
    let list = state.lock().store.list(&query.prefix);
    state.delay_answer().await;
    Ok(Json(list))
}

/// `GET /watch?prefix=&after=&timeoutMs=`
pub(super) async fn watch(
    state: Data<PlatformState>,
    query: Query<WatchQuery>,
) -> Result<Json<WatchAnswer>, CallRefusal> {
    state.admit(CallKind::Watch).await?;
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.timeout_ms);
    let mut changed = state.subscribe();
    loop {
        state.check_outage().await?;
        let answer = state.lock().store.changes_after(&query.prefix, query.after);
        let change_or_timeout = tokio::time::timeout_at(deadline, changed.changed());
        if !answer.changes.is_empty() || change_or_timeout.await.is_err() {
            state.delay_answer().await;
            return Ok(Json(answer));
        }
    }
}

/// `GET /vms`
pub(super) async fn list_vms(
    state: Data<PlatformState>,
) -> Result<Json<Vec<VmRecord>>, CallRefusal> {
    state.admit(CallKind::Read).await?;
    let records = state.lock().vms.read(Instant::now());
    state.delay_answer().await;
    Ok(Json(records))
}

fn remove_object(
    state: &PlatformState,
    key: &str,
    version: ObjectVersion,
) -> Result<(), CallRefusal> {
    let mut inner = state.lock();
    if inner.store.read(key).is_none() {
        return Err(CallRefusal::NotFound);
    }
    let removed = inner.store.remove(key, version);
    removed.map_err(|error| map_error(&error))
}

/// Notifies watches of a write that took effect, then drops or delays its answer according to the
/// faults.
async fn finish_write(state: &PlatformState) -> Result<(), CallRefusal> {
    state.notify_change();
    let lost = state.lock().faults.consume_lost_answer();
    if lost {
        return Err(CallRefusal::Closed);
    }
    state.delay_answer().await;
    Ok(())
}

fn parse_condition(request: &HttpRequest) -> Result<WriteCondition, CallRefusal> {
    let headers = request.headers();
    if headers.contains_key(header::IF_NONE_MATCH) {
        return Ok(WriteCondition::Absent);
    }
    let version = headers
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim_matches('"').parse().ok())
        .ok_or(CallRefusal::NoCondition)?;
    Ok(WriteCondition::Version(ObjectVersion(version)))
}

fn map_error(error: &PlatformError) -> CallRefusal {
    match error {
        PlatformError::TooLarge { .. } => CallRefusal::TooLarge,
        _ => CallRefusal::Conflict,
    }
}
