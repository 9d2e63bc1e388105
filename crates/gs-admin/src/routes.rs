//! Routes of the API.

use actix_web::web::{self, JsonConfig, QueryConfig, ServiceConfig, get, post};
use actix_web::{HttpRequest, HttpResponse};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::refusal::AdminRefusal;
use crate::{accept, drain, view};

/// Maximum size of a JSON body, in bytes; documents have a limit of their own in the settings.
const MAX_JSON_BYTES: usize = 65_536;

/// The media type of `GET /metrics`.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Registers all routes. Malformed bodies and queries and unknown routes are answered with typed
/// refusals.
pub fn configure_routes(config: &mut ServiceConfig) {
    let json = JsonConfig::default()
        .limit(MAX_JSON_BYTES)
        .error_handler(|error, _| bad_request(&error));
    let query = QueryConfig::default().error_handler(|error, _| bad_request(&error));
    config
        .app_data(json)
        .app_data(query)
        .route("/admin/v1/check", post().to(accept::check))
        .route("/admin/v1/try", post().to(accept::try_document))
        .route("/admin/v1/promote", post().to(accept::promote))
        .route("/admin/v1/rollback", post().to(accept::roll_back))
        .route("/admin/v1/head", get().to(view::head))
        .route("/admin/v1/documents/{digest}", get().to(view::document))
        .route("/admin/v1/history", get().to(view::history))
        .route("/admin/v1/status", get().to(view::status))
        .route("/admin/v1/drain", post().to(drain::drain))
        .route("/ready", get().to(ready))
        .route("/metrics", get().to(read_metrics))
        .default_service(web::to(unknown_call));
}

fn bad_request(error: &dyn std::error::Error) -> actix_web::Error {
    let detail = error.to_string();
    AdminRefusal::BadRequest { detail }.into()
}

async fn ready() -> HttpResponse {
    HttpResponse::Ok().finish()
}

async fn read_metrics(metrics: web::Data<PrometheusHandle>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type(METRICS_MEDIA_TYPE)
        .body(metrics.render())
}

async fn unknown_call(request: HttpRequest) -> Result<HttpResponse, AdminRefusal> {
    Err(AdminRefusal::NotFound {
        kind: "call",
        name: format!("{} {}", request.method(), request.path()),
    })
}
