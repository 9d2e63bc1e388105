//! Passes calls on to the servers of a kind.

use std::time::Instant;

use actix_web::web::Data;
use gs_protocol::ids::AttemptId;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use rand::seq::SliceRandom;

use super::call::{ServiceAnswer, ServiceCall};
use super::client::{ServiceClient, ServiceFailure};
use crate::control::{ReadSnapshot, ServerEndpoint};
use crate::traffic::{CallerRefusal, TrafficState};

/// Passes an idempotent call on, to one server after the other until one answers.
pub async fn forward_idempotent(
    call: &ServiceCall,
    state: &Data<TrafficState>,
) -> Result<ServiceAnswer, CallerRefusal> {
    let client = ServiceClient::new(state.pool.clone());
    let servers = usable_servers(call, state).await;
    let parts = u32::try_from(servers.len()).unwrap_or(u32::MAX).max(1);
    let mut refusal = no_server(call);
    for server in servers {
        let left = call.deadline.saturating_duration_since(Instant::now());
        // Leaves time for the other servers if this one is silent.
        let within = left / parts.min(2);
        if within.is_zero() {
            break;
        }
        match client
            .send(server.address, call, AttemptId::generate(), within)
            .await
        {
            Ok(answer) => return Ok(answer),
            // What one server may have run stays unknown, whatever the next ones say.
            Err(_) if refusal.outcome == RequestOutcome::Unknown => {}
            Err(failure) => refusal = failure_refusal(&failure),
        }
    }
    Err(refusal)
}

/// The refusal that tells a failure honestly.
pub fn failure_refusal(failure: &ServiceFailure) -> CallerRefusal {
    let detail = failure.to_string();
    match failure {
        ServiceFailure::NotRun { .. } => CallerRefusal::not_run(RefusalReason::NoServer, detail),
        ServiceFailure::Unknown { .. } => {
            CallerRefusal::unknown(RefusalReason::ServerFailed, detail)
        }
    }
}

/// The refusal of a call that no server takes.
pub fn no_server(call: &ServiceCall) -> CallerRefusal {
    let detail = format!("no server of kind \"{}\" takes new work", call.kind);
    CallerRefusal::not_run(RefusalReason::NoServer, detail)
}

/// The servers of the call's kind, in random order.
pub async fn usable_servers(call: &ServiceCall, state: &Data<TrafficState>) -> Vec<ServerEndpoint> {
    let snapshot = ReadSnapshot {
        kind: call.kind.clone(),
    };
    // A control thread that has ended means that the process is ending.
    let mut servers = state.control.send(snapshot).await.unwrap_or_default();
    servers.shuffle(&mut rand::thread_rng());
    servers
}
