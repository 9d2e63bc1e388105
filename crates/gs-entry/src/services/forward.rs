//! Forwards calls to the servers of a kind.

use std::time::Instant;

use actix_web::web::Data;
use gs_protocol::ids::AttemptId;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use rand::seq::SliceRandom;

use super::call::{ServiceAnswer, ServiceCall};
use super::client::{ServiceClient, ServiceFailure};
use crate::control::{ListUsableServers, ServerEndpoint};
use crate::traffic::{CallerRefusal, TrafficState};

/// Forwards an idempotent call to one server after another until one answers.
pub async fn forward_idempotent(
    call: &ServiceCall,
    state: &Data<TrafficState>,
) -> Result<ServiceAnswer, CallerRefusal> {
    let client = ServiceClient::new(state.pool.clone());
    let servers = list_usable_servers(call, state).await;
    let server_count = u32::try_from(servers.len()).unwrap_or(u32::MAX).max(1);
    let mut refusal = no_server_refusal(call);
    for server in servers {
        let time_left = call.deadline.saturating_duration_since(Instant::now());
        // Leaves time for another server if this one does not answer.
        let time_limit = time_left / server_count.min(2);
        if time_limit.is_zero() {
            break;
        }
        match client
            .send(server.address, call, AttemptId::generate(), time_limit)
            .await
        {
            Ok(answer) => return Ok(answer),
            // Once a server may have run the call, the outcome stays unknown whatever others
            // report.
            Err(_) if refusal.outcome == RequestOutcome::Unknown => {}
            Err(failure) => refusal = failure_refusal(&failure),
        }
    }
    Err(refusal)
}

/// Converts a failure to a refusal with the matching outcome.
pub fn failure_refusal(failure: &ServiceFailure) -> CallerRefusal {
    let detail = failure.to_string();
    match failure {
        ServiceFailure::NotRun { .. } => CallerRefusal::not_run(RefusalReason::NoServer, detail),
        ServiceFailure::Unknown { .. } => {
            CallerRefusal::unknown(RefusalReason::ServerFailed, detail)
        }
    }
}

/// Refusal of a call for which no server is usable.
pub fn no_server_refusal(call: &ServiceCall) -> CallerRefusal {
    let detail = format!("no server of kind \"{}\" accepts new work", call.kind);
    CallerRefusal::not_run(RefusalReason::NoServer, detail)
}

/// Lists the usable servers of the call's kind, in random order.
pub async fn list_usable_servers(
    call: &ServiceCall,
    state: &Data<TrafficState>,
) -> Vec<ServerEndpoint> {
    let query = ListUsableServers {
        kind: call.kind.clone(),
    };
    // Sending fails only if the control thread has stopped because the process is shutting down.
    let mut servers = state.control.send(query).await.unwrap_or_default();
    servers.shuffle(&mut rand::thread_rng());
    servers
}
