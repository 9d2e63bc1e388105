//! Handlers of `GET /ready` and `GET /metrics`.

use actix_web::web::Data;
use actix_web::{HttpResponse, Responder};

use super::TrafficState;
use crate::telemetry;

/// Returns 200 if a document is in force and the entry is not leaving, and 503 otherwise.
pub async fn ready(state: Data<TrafficState>) -> impl Responder {
    if state.document().is_some() && !state.is_leaving() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Returns all metrics in the Prometheus text format.
pub async fn metrics() -> impl Responder {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(telemetry::render())
}
