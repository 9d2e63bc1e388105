//! Import of KV cache from a prefill engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::StatusCode;
use gs_protocol::engine::EngineReason;
use gs_protocol::ids::AttemptId;

use super::server::SharedEngine;
use super::timers::pause_until;
use super::transfer::{KvExport, TOKENS_HEADER};

/// Maximum body size of a transfer.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for connecting to another engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Builds the client for calls to other engines. Transfers have no time limit: an entry that stops
/// waiting cancels the attempt, which aborts the transfer.
pub fn build_client() -> Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

/// Pulls the KV cache of an attempt and returns its prompt.
pub async fn pull_kv(
    engine: &SharedEngine,
    client: &Client,
    address: SocketAddr,
    attempt: AttemptId,
) -> Result<String, EngineReason> {
    let request = client
        .get(format!("http://{address}/v1/kv/{attempt}"))
        .send();
    let Ok(mut response) = request.await else {
        return Err(EngineReason::TransferFailed);
    };
    if response.status() == StatusCode::NOT_FOUND {
        return Err(EngineReason::KvLost);
    }
    let tokens = response
        .headers()
        .get(TOKENS_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or(EngineReason::TransferFailed)?;
    let ready_at = engine.lock().reserve_link(Instant::now(), tokens);
    let Ok(export) = response.json::<KvExport>().limit(MAX_BODY_BYTES).await else {
        return Err(EngineReason::TransferFailed);
    };
    pause_until(ready_at).await;
    Ok(export.prompt)
}
