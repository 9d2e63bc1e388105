//! Pulls KV cache from a prefill engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::StatusCode;
use gs_protocol::engine::EngineReason;
use gs_protocol::ids::AttemptId;

use super::server::EngineShared;
use super::timers::pause_until;
use super::transfer::{KvExport, TOKENS_HEADER};

/// Bytes of a transfer's body at most.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// How long connecting to another engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The client for calls to other engines. Transfers have no time limit: who waits cancels them.
pub fn build_client() -> Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

/// Pulls the KV cache of an attempt; returns the prompt that it is of.
pub async fn pull_kv(
    shared: &EngineShared,
    client: &Client,
    address: SocketAddr,
    attempt: AttemptId,
) -> Result<String, EngineReason> {
    let call = client
        .get(format!("http://{address}/v1/kv/{attempt}"))
        .send();
    let Ok(mut answer) = call.await else {
        return Err(EngineReason::TransferFailed);
    };
    if answer.status() == StatusCode::NOT_FOUND {
        return Err(EngineReason::KvLost);
    }
    let tokens = answer
        .headers()
        .get(TOKENS_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or(EngineReason::TransferFailed)?;
    let ready_at = shared.lock().book_link(Instant::now(), tokens);
    let Ok(export) = answer.json::<KvExport>().limit(BODY_LIMIT).await else {
        return Err(EngineReason::TransferFailed);
    };
    pause_until(ready_at).await;
    Ok(export.prompt)
}
