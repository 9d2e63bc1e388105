//! Logs and counts every refused call.

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, HttpMessage};
use gs_protocol::admin::AdminReason;

use crate::access::CallOperator;
use crate::refusal::AdminRefusal;
use crate::telemetry;

/// Middleware that logs and counts calls that are answered with an error status.
pub async fn audit_refusals(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let response = next.call(request).await?;
    if response.status().is_client_error() || response.status().is_server_error() {
        log_refusal(&response);
    }
    Ok(response)
}

/// Logs and counts a refusal. An error that is not an [`AdminRefusal`] counts as a malformed call.
fn log_refusal<B>(response: &ServiceResponse<B>) {
    let request = response.request();
    let route = request.match_pattern().unwrap_or_else(|| "none".to_owned());
    let error = response.response().error();
    let refusal = error.and_then(|error| error.as_error::<AdminRefusal>());
    let reason = refusal.map_or(AdminReason::BadRequest, AdminRefusal::reason);
    let extensions = request.extensions();
    let operator = extensions.get::<CallOperator>();
    let operator = operator.map_or("unknown", |operator| operator.0.as_str());
    let peer = request.peer_addr().map(|peer| peer.to_string());
    log::warn!(
        target: "admin",
        route:% = route,
        reason = reason.label(),
        operator,
        peer = peer.as_deref().unwrap_or("unknown");
        "Call refused."
    );
    telemetry::count_refusal(route, reason);
}
