//! HTTP handlers of the engine.

use std::time::Instant;

use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::error::InternalError;
use actix_web::http::StatusCode;
use actix_web::middleware::Next;
use actix_web::{Error, HttpResponse, ResponseError, web};
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream;
use gs_protocol::engine::{
    CancelRequest, EngineOrder, EngineReason, EngineRefusal, KvSource, PrefillRequest,
    ReserveRequest, StreamRequest,
};
use gs_protocol::ids::AttemptId;
use serde::Deserialize;

use super::batch::StreamCut;
use super::faults::FaultUpdate;
use super::guard::{ExportGuard, PrefillGuard, StreamBody, StreamGuard};
use super::import::pull_kv;
use super::server::SharedEngine;
use super::timers::pause_until;
use super::transfer::TOKENS_HEADER;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// How often a stalled transfer checks whether the fault has been switched off.
const STALL_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

/// Path prefixes exempt from faults.
const CONTROL_PATHS: [&str; 2] = ["/control/", "/ready"];

/// Refusal of an order, sent as an HTTP error response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("order refused: {reason:?}")]
struct OrderRefusal {
    reason: EngineReason,
}

impl ResponseError for OrderRefusal {
    fn status_code(&self) -> StatusCode {
        match self.reason {
            EngineReason::BadRequest => StatusCode::BAD_REQUEST,
            EngineReason::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::CONFLICT,
        }
    }

    fn error_response(&self) -> HttpResponse<BoxBody> {
        HttpResponse::build(self.status_code()).json(EngineRefusal {
            reason: self.reason,
        })
    }
}

impl From<EngineReason> for OrderRefusal {
    fn from(reason: EngineReason) -> Self {
        Self { reason }
    }
}

type EngineData = web::Data<SharedEngine>;

type OrderResult = Result<HttpResponse, OrderRefusal>;

/// Registers the engine's routes.
pub fn configure(config: &mut web::ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(MAX_BODY_BYTES)
        .error_handler(|error, _| {
            let answer = OrderRefusal::from(EngineReason::BadRequest).error_response();
            InternalError::from_response(error, answer).into()
        });
    config
        .app_data(json)
        .app_data(web::Data::new(super::import::build_client()))
        .route("/ready", web::get().to(HttpResponse::Ok))
        .route("/v1/reservations", web::post().to(reserve))
        .route("/v1/prefills", web::post().to(prefill))
        .route("/v1/streams", web::post().to(open_stream))
        .route("/v1/cancels", web::post().to(cancel))
        .route("/v1/held", web::get().to(list_held))
        .route("/v1/load", web::get().to(read_load))
        .route("/v1/cache-events", web::get().to(read_events))
        .route("/v1/orders", web::post().to(apply_order))
        .route("/v1/kv/{attempt}", web::get().to(export_kv))
        .route("/control/faults", web::get().to(read_faults))
        .route("/control/faults", web::post().to(set_faults))
        .route("/control/runs", web::get().to(read_runs));
}

/// Middleware that applies the `silent` and `refuse_all` faults.
pub async fn apply_faults(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let path = request.path();
    if CONTROL_PATHS
        .iter()
        .any(|control| path.starts_with(control))
    {
        return Ok(next.call(request).await?.map_into_boxed_body());
    }
    let engine = request.app_data::<EngineData>().cloned();
    let (silent, refuse_all) = engine.map_or((false, false), |engine| {
        let state = engine.lock();
        (state.faults.silent, state.faults.refuse_all)
    });
    if silent {
        std::future::pending::<()>().await;
    }
    let new_work = matches!(path, "/v1/reservations" | "/v1/prefills" | "/v1/streams");
    if refuse_all && new_work {
        let refusal = EngineRefusal {
            reason: EngineReason::Full,
        };
        let answer = HttpResponse::ServiceUnavailable().json(refusal);
        return Ok(request.into_response(answer).map_into_boxed_body());
    }
    Ok(next.call(request).await?.map_into_boxed_body())
}

async fn reserve(engine: EngineData, order: web::Json<ReserveRequest>) -> OrderResult {
    let answer = engine.lock().reserve(Instant::now(), &order)?;
    Ok(HttpResponse::Ok().json(answer))
}

async fn prefill(engine: EngineData, order: web::Json<PrefillRequest>) -> OrderResult {
    let (serial, receiver) = engine
        .lock()
        .enqueue_prefill(Instant::now(), order.into_inner())?;
    engine.prefill_wake.notify_one();
    let guard = PrefillGuard::new(engine.into_inner(), serial);
    let outcome = receiver.await;
    guard.disarm();
    let answer = outcome.unwrap_or(Err(EngineReason::Cancelled))?;
    Ok(HttpResponse::Ok().json(answer))
}

async fn open_stream(
    engine: EngineData,
    client: web::Data<awc::Client>,
    order: web::Json<StreamRequest>,
) -> OrderResult {
    let order = order.into_inner();
    let (handle, registration) = AbortHandle::new_pair();
    let opened = engine.lock().open_stream(Instant::now(), &order, handle);
    let (serial, receiver) = opened?;
    let guard = StreamGuard::new(engine.clone().into_inner(), order.attempt, serial);
    let loader = load_kv_cache(engine, client, order, serial);
    actix_rt::spawn(Abortable::new(loader, registration));
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(StreamBody::new(receiver, guard)))
}

/// Pulls or recomputes the KV cache of a stream, then starts or fails the stream.
async fn load_kv_cache(
    engine: EngineData,
    client: web::Data<awc::Client>,
    order: StreamRequest,
    serial: u64,
) {
    let attempt = order.attempt;
    let loaded = match order.source {
        KvSource::Engine { address } => pull_kv(&engine, &client, address, attempt).await,
        KvSource::Recompute { prompt } => {
            let receiver = engine.lock().enqueue_resume(
                Instant::now(),
                attempt,
                order.owner,
                prompt.clone(),
                order.from_index,
            );
            engine.prefill_wake.notify_one();
            let outcome = receiver.await.unwrap_or(Err(EngineReason::Cancelled));
            outcome.map(|_| prompt)
        }
    };
    engine.lock().finish_kv_load(attempt, serial, loaded);
    engine.batch_wake.notify_one();
}

async fn cancel(engine: EngineData, order: web::Json<CancelRequest>) -> HttpResponse {
    if engine.lock().consume_dropped_cancel() {
        std::future::pending::<()>().await;
    }
    engine.lock().cancel(order.attempt);
    engine.prefill_wake.notify_one();
    HttpResponse::Ok().finish()
}

async fn list_held(engine: EngineData) -> HttpResponse {
    let held = engine.lock().list_held(Instant::now());
    HttpResponse::Ok().json(held)
}

async fn read_load(engine: EngineData) -> HttpResponse {
    let state = engine.lock();
    match state.load_history.read(Instant::now()) {
        Some(report) => HttpResponse::Ok().json(report),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Query parameters of `GET /v1/cache-events`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn read_events(engine: EngineData, query: web::Query<EventsQuery>) -> HttpResponse {
    let events = engine.lock().cache_log.read(Instant::now(), query.after);
    HttpResponse::Ok().json(events)
}

async fn apply_order(engine: EngineData, order: web::Json<EngineOrder>) -> OrderResult {
    engine.lock().apply_order(order.into_inner())?;
    Ok(HttpResponse::Ok().finish())
}

async fn export_kv(engine: EngineData, attempt: web::Path<AttemptId>) -> HttpResponse {
    let attempt = attempt.into_inner();
    let scheduled = match engine.lock().begin_export(Instant::now(), attempt) {
        Ok(scheduled) => scheduled,
        Err(reason) => return HttpResponse::NotFound().json(EngineRefusal { reason }),
    };
    let guard = ExportGuard::new(engine.clone().into_inner(), attempt);
    let tokens = scheduled.tokens.to_string();
    let body = async move {
        pause_until(scheduled.ready_at).await;
        while engine.lock().faults.stall_transfers {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        if !guard.finish() {
            return Err(Error::from(InternalError::new(StreamCut, StatusCode::GONE)));
        }
        let body = serde_json::to_vec(&scheduled.export)?;
        Ok(bytes::Bytes::from(body))
    };
    HttpResponse::Ok()
        .content_type("application/json")
        .insert_header((TOKENS_HEADER, tokens))
        .streaming(stream::once(Box::pin(body)))
}

async fn read_faults(engine: EngineData) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().faults)
}

async fn set_faults(engine: EngineData, update: web::Json<FaultUpdate>) -> HttpResponse {
    let mut state = engine.lock();
    state.faults.apply(&update);
    if let Some(leaving) = update.leaving {
        state.leaving = leaving;
    }
    HttpResponse::Ok().json(&state.faults)
}

async fn read_runs(engine: EngineData) -> HttpResponse {
    let state = engine.lock();
    HttpResponse::Ok().json(state.runs.snapshot(state.boot))
}
