//! `GET /ready` and `GET /metrics`.

use actix_web::web::Data;
use actix_web::{HttpResponse, Responder};

use super::TrafficState;
use crate::telemetry;

/// Answers 200 once a document is in force and the entry is not leaving, and 503 otherwise.
pub async fn ready(state: Data<TrafficState>) -> impl Responder {
    if state.document().is_some() && !state.is_leaving() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Answers with all metrics in Prometheus text form.
pub async fn metrics() -> impl Responder {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(telemetry::render())
}
