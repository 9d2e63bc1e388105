//! HTTP handlers of the service.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::error::InternalError;
use actix_web::http::StatusCode;
use actix_web::{Error, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use gs_protocol::service::{ATTEMPT_HEADER, KEY_HEADER, NOT_RUN_HEADER};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::faults::{FaultSwitches, FaultUpdate};
use super::runs::ServiceLog;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Response to a request that ran.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceAnswer {
    /// Name of the service that ran the request.
    pub service: String,
    /// Number of the run at this service, starting from 1.
    pub run: u64,
    /// Request path without the query.
    pub path: String,
    /// Attempt identity from the request headers.
    pub attempt: Option<String>,
    /// Idempotency key from the request headers.
    pub key: Option<String>,
    /// Request body, if it was JSON.
    pub echo: Option<Box<RawValue>>,
}

/// A fault deliberately closed the connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the connection was closed without an answer")]
struct AnswerDropped;

/// Service settings and state shared by the worker threads.
#[derive(Debug)]
pub struct SharedService {
    name: String,
    run_time: Duration,
    state: Mutex<ServiceState>,
}

/// Log of runs and active faults.
#[derive(Debug, Default)]
struct ServiceState {
    log: ServiceLog,
    faults: FaultSwitches,
}

impl SharedService {
    /// Creates a service that has run nothing. `run_time` is the duration of each run.
    pub fn new(name: String, run_time: Duration) -> Self {
        Self {
            name,
            run_time,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registers the control routes; all other requests run as service calls.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/ready", web::get().to(HttpResponse::Ok))
        .route("/control/faults", web::post().to(set_faults))
        .route("/control/faults", web::get().to(read_faults))
        .route("/control/runs", web::get().to(read_runs))
        .default_service(web::route().to(run_request));
}

async fn run_request(
    service: web::Data<SharedService>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let faults = service.lock().faults;
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if faults.refuse {
        return drop_connection();
    }
    if faults.not_run {
        return HttpResponse::ServiceUnavailable()
            .insert_header((NOT_RUN_HEADER, "true"))
            .finish();
    }
    let answer = record_run(&service, &request, &body);
    let time = service.run_time + Duration::from_millis(faults.slow_ms);
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    if consume_dropped_answer(&service) {
        return drop_connection();
    }
    let mut response = HttpResponse::Ok();
    if let Some(attempt) = &answer.attempt {
        response.insert_header((ATTEMPT_HEADER, attempt.as_str()));
    }
    response.json(answer)
}

fn record_run(service: &SharedService, request: &HttpRequest, body: &[u8]) -> ServiceAnswer {
    let attempt = read_header(request, ATTEMPT_HEADER);
    let key = read_header(request, KEY_HEADER);
    let path = request.path().to_owned();
    let run = service
        .lock()
        .log
        .record(&path, key.as_deref(), attempt.as_deref());
    ServiceAnswer {
        service: service.name.clone(),
        run,
        path,
        attempt,
        key,
        echo: serde_json::from_slice(body).ok(),
    }
}

fn read_header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn consume_dropped_answer(service: &SharedService) -> bool {
    let mut state = service.lock();
    let remaining = &mut state.faults.drop_answer_after_run;
    let dropped = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    dropped
}

/// Builds a response whose body fails at once, which makes the server close the connection.
fn drop_connection() -> HttpResponse {
    let error = InternalError::new(AnswerDropped, StatusCode::INTERNAL_SERVER_ERROR);
    let body = stream::once(async { Err::<Bytes, Error>(error.into()) });
    HttpResponse::Ok().streaming(Box::pin(body))
}

async fn set_faults(
    service: web::Data<SharedService>,
    update: web::Json<FaultUpdate>,
) -> HttpResponse {
    let mut state = service.lock();
    state.faults.apply(*update);
    HttpResponse::Ok().json(state.faults)
}

async fn read_faults(service: web::Data<SharedService>) -> HttpResponse {
    HttpResponse::Ok().json(service.lock().faults)
}

async fn read_runs(service: web::Data<SharedService>) -> HttpResponse {
    HttpResponse::Ok().json(service.lock().log.snapshot())
}
