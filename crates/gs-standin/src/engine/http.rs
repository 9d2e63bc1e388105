//! The engine's HTTP calls.

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
use super::server::EngineShared;
use super::timers::pause_until;
use super::transfer::TOKENS_HEADER;

/// Bytes of a request's body at most.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// How long a stalled transfer sleeps before it looks again.
const STALL_WAIT: std::time::Duration = std::time::Duration::from_millis(20);

/// Paths that no fault touches.
const CONTROL_PATHS: [&str; 2] = ["/control/", "/ready"];

/// A refusal as an HTTP answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("refused: {reason:?}")]
struct RefusedOrder {
    reason: EngineReason,
}

impl ResponseError for RefusedOrder {
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

impl From<EngineReason> for RefusedOrder {
    fn from(reason: EngineReason) -> Self {
        Self { reason }
    }
}

type EngineData = web::Data<EngineShared>;

type OrderAnswer = Result<HttpResponse, RefusedOrder>;

/// Adds the engine's calls to an application.
pub fn configure(config: &mut web::ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(BODY_LIMIT)
        .error_handler(|error, _| {
            let answer = RefusedOrder::from(EngineReason::BadRequest).error_response();
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
        .route("/v1/orders", web::post().to(order))
        .route("/v1/kv/{attempt}", web::get().to(export_kv))
        .route("/control/faults", web::get().to(read_faults))
        .route("/control/faults", web::post().to(set_faults))
        .route("/control/runs", web::get().to(read_runs));
}

/// Keeps silent or refuses, as the faults in force say.
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
    let shared = request.app_data::<EngineData>().cloned();
    let (silent, refuse_all) = shared.map_or((false, false), |shared| {
        let state = shared.lock();
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

async fn reserve(shared: EngineData, order: web::Json<ReserveRequest>) -> OrderAnswer {
    let answer = shared.lock().reserve(Instant::now(), &order)?;
    Ok(HttpResponse::Ok().json(answer))
}

async fn prefill(shared: EngineData, order: web::Json<PrefillRequest>) -> OrderAnswer {
    let (serial, receiver) = shared.lock().enqueue(Instant::now(), order.into_inner())?;
    shared.prefill_wake.notify_one();
    let guard = PrefillGuard::new(shared.into_inner(), serial);
    let outcome = receiver.await;
    guard.close();
    let answer = outcome.unwrap_or(Err(EngineReason::Cancelled))?;
    Ok(HttpResponse::Ok().json(answer))
}

async fn open_stream(
    shared: EngineData,
    client: web::Data<awc::Client>,
    order: web::Json<StreamRequest>,
) -> OrderAnswer {
    let order = order.into_inner();
    let (handle, registration) = AbortHandle::new_pair();
    let opened = shared.lock().open_stream(Instant::now(), &order, handle);
    let (serial, receiver) = opened?;
    let guard = StreamGuard::new(shared.clone().into_inner(), order.attempt, serial);
    let loader = load_stream(shared, client, order, serial);
    actix_rt::spawn(Abortable::new(loader, registration));
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(StreamBody::new(receiver, guard)))
}

/// Fetches or recomputes the KV cache of a stream, then lets the stream run.
async fn load_stream(
    shared: EngineData,
    client: web::Data<awc::Client>,
    order: StreamRequest,
    serial: u64,
) {
    let attempt = order.attempt;
    let loaded = match order.source {
        KvSource::Engine { address } => pull_kv(&shared, &client, address, attempt).await,
        KvSource::Recompute { prompt } => {
            let receiver = shared.lock().enqueue_resume(
                Instant::now(),
                attempt,
                order.owner,
                prompt.clone(),
                order.from_index,
            );
            shared.prefill_wake.notify_one();
            let outcome = receiver.await.unwrap_or(Err(EngineReason::Cancelled));
            outcome.map(|_| prompt)
        }
    };
    shared.lock().finish_load(attempt, serial, loaded);
    shared.batch_wake.notify_one();
}

async fn cancel(shared: EngineData, order: web::Json<CancelRequest>) -> HttpResponse {
    if shared.lock().take_dropped_cancel() {
        std::future::pending::<()>().await;
    }
    shared.lock().cancel(order.attempt);
    shared.prefill_wake.notify_one();
    HttpResponse::Ok().finish()
}

async fn list_held(shared: EngineData) -> HttpResponse {
    let held = shared.lock().held(Instant::now());
    HttpResponse::Ok().json(held)
}

async fn read_load(shared: EngineData) -> HttpResponse {
    let state = shared.lock();
    match state.history.read(Instant::now()) {
        Some(report) => HttpResponse::Ok().json(report),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// The query of the call for cache events.
#[derive(Clone, Copy, Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn read_events(shared: EngineData, query: web::Query<EventsQuery>) -> HttpResponse {
    let events = shared.lock().cache_log.read(Instant::now(), query.after);
    HttpResponse::Ok().json(events)
}

async fn order(shared: EngineData, order: web::Json<EngineOrder>) -> OrderAnswer {
    shared.lock().order(order.into_inner())?;
    Ok(HttpResponse::Ok().finish())
}

async fn export_kv(shared: EngineData, attempt: web::Path<AttemptId>) -> HttpResponse {
    let attempt = attempt.into_inner();
    let grant = match shared.lock().begin_export(Instant::now(), attempt) {
        Ok(grant) => grant,
        Err(reason) => return HttpResponse::NotFound().json(EngineRefusal { reason }),
    };
    let guard = ExportGuard::new(shared.clone().into_inner(), attempt);
    let tokens = grant.tokens.to_string();
    let body = async move {
        pause_until(grant.ready_at).await;
        while shared.lock().faults.stall_transfers {
            tokio::time::sleep(STALL_WAIT).await;
        }
        if !guard.close() {
            return Err(Error::from(InternalError::new(StreamCut, StatusCode::GONE)));
        }
        let body = serde_json::to_vec(&grant.export)?;
        Ok(bytes::Bytes::from(body))
    };
    HttpResponse::Ok()
        .content_type("application/json")
        .insert_header((TOKENS_HEADER, tokens))
        .streaming(stream::once(Box::pin(body)))
}

async fn read_faults(shared: EngineData) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().faults)
}

async fn set_faults(shared: EngineData, update: web::Json<FaultUpdate>) -> HttpResponse {
    let mut state = shared.lock();
    state.faults.apply(&update);
    if let Some(leaving) = update.leaving {
        state.leaving = leaving;
    }
    HttpResponse::Ok().json(&state.faults)
}

async fn read_runs(shared: EngineData) -> HttpResponse {
    let state = shared.lock();
    HttpResponse::Ok().json(state.runs.read(state.boot))
}
