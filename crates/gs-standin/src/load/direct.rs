//! Sends streamed completions directly to a pair of engines, with the same sequence of calls as an
//! entry.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use gs_protocol::engine::{
    EnginePriority, EngineRefusal, KvSource, PrefillRequest, ReserveRequest, StreamRequest,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, Incarnation};
use gs_protocol::prefix::{count_tokens, derive_seed};
use serde::Serialize;

use super::completion::CompletionCall;
use super::exchange::{CallEnd, CallOutcome, read_stream};
use super::sse::StreamFormat;

/// Lifetime of a reservation.
const RESERVATION_TTL: Duration = Duration::from_secs(10);

/// A prefill engine and a decode engine.
#[derive(Clone, Copy, Debug)]
pub struct EnginePair {
    /// The prefill engine.
    pub prefill: SocketAddr,
    /// The decode engine.
    pub decode: SocketAddr,
}

/// An answer of an engine with an unread body.
type EngineAnswer = awc::ClientResponse;

/// Makes a reservation on the decode engine, prefills on the prefill engine and reads the stream.
pub async fn call_engines(
    client: &Client,
    pair: EnginePair,
    call: &CompletionCall<'_>,
) -> CallOutcome {
    match open_stream(client, pair, call).await {
        Ok(answer) => read_stream(answer, call.expected(StreamFormat::Engine)).await,
        Err(outcome) => outcome,
    }
}

async fn open_stream(
    client: &Client,
    pair: EnginePair,
    call: &CompletionCall<'_>,
) -> Result<EngineAnswer, CallOutcome> {
    let attempt = AttemptId::generate();
    let owner = EntryIdentity {
        entry: "load".into(),
        incarnation: Incarnation(1),
    };
    let reserve = ReserveRequest {
        attempt,
        owner: owner.clone(),
        model: call.model.into(),
        tokens: count_tokens(call.prompt) + call.output_tokens,
        ttl: RESERVATION_TTL,
    };
    drain_answer(send(client, pair.decode, "/v1/reservations", &reserve).await?).await?;
    let prefill = PrefillRequest {
        attempt,
        owner: owner.clone(),
        model: call.model.into(),
        priority: EnginePriority::Urgent,
        prompt: call.prompt.to_owned(),
    };
    drain_answer(send(client, pair.prefill, "/v1/prefills", &prefill).await?).await?;
    let stream = StreamRequest {
        attempt,
        owner,
        model: call.model.into(),
        source: KvSource::Engine {
            address: pair.prefill,
        },
        max_tokens: call.output_tokens,
        from_index: 0,
        seed: derive_seed(call.prompt),
    };
    send(client, pair.decode, "/v1/streams", &stream).await
}

async fn send(
    client: &Client,
    address: SocketAddr,
    path: &str,
    order: &impl Serialize,
) -> Result<EngineAnswer, CallOutcome> {
    let request = client.post(format!("http://{address}{path}"));
    let sent: Result<EngineAnswer, SendRequestError> = request.send_json(order).await;
    let mut answer = sent?;
    if answer.status().is_success() {
        return Ok(answer);
    }
    let refusal = answer.json::<EngineRefusal>().await;
    let reason = refusal.map_or("malformed".to_owned(), |refusal| {
        format!("engine-{:?}", refusal.reason).to_lowercase()
    });
    Err(CallOutcome::without_tokens(CallEnd::Refused(reason)))
}

/// Reads an answer to its end, so that its connection can be reused.
async fn drain_answer(mut answer: EngineAnswer) -> Result<(), CallOutcome> {
    match answer.body().await {
        Ok(_) => Ok(()),
        Err(_) => Err(CallOutcome::without_tokens(CallEnd::Truncated)),
    }
}
