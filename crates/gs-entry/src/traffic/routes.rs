//! Routes of the caller API.

use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use gs_protocol::ids::RequestId;
use gs_protocol::refusal::RefusalReason;

use super::{CallerRefusal, entries, health};
use crate::completion::CompletionKind;
use crate::{completion, services, telemetry};

/// Registers all routes.
pub fn configure_routes(config: &mut ServiceConfig) {
    config
        .route("/ready", web::get().to(health::ready))
        .route("/metrics", web::get().to(health::metrics))
        .route("/v1/entries", web::get().to(entries::list_entries))
        .route(
            CompletionKind::Text.path(),
            web::post().to(completion::complete_text),
        )
        .route(
            CompletionKind::Chat.path(),
            web::post().to(completion::complete_chat),
        )
        .route(
            "/services/{service}/{path:.*}",
            web::to(services::call_service),
        )
        .default_service(web::to(refuse_unknown));
}

async fn refuse_unknown(http: HttpRequest) -> HttpResponse {
    let detail = format!("route {} {} does not exist", http.method(), http.path());
    let refusal = CallerRefusal::not_run(RefusalReason::UnknownRoute, detail);
    telemetry::count_refusal(None, refusal.reason);
    refusal.response(RequestId::generate())
}
