//! Streamed completions through an entry.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use awc::{Client, ClientResponse};
use bytes::Bytes;
use futures_util::Stream;
use gs_protocol::caller::CompletionRequest;
use gs_protocol::prefix::derive_seed;
use gs_protocol::refusal::ProblemBody;

use super::exchange::{CallEnd, CallOutcome, StreamWant, read_stream};
use super::sse::StreamFormat;

/// How long a client that goes away before the first token stays.
const EARLY_CANCEL: Duration = Duration::from_millis(20);

/// How long a client waits for the end of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(300);

/// One completion to ask for.
#[derive(Clone, Copy, Debug)]
pub struct CompletionCall<'a> {
    /// The caller's bearer token.
    pub token: &'a str,
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// The client goes away after this many tokens.
    pub cancel_after: Option<u32>,
    /// When the call began.
    pub start: Instant,
    /// Counts the tokens of all calls; none if gaps are measured.
    pub counter: Option<&'a AtomicU64>,
}

impl<'a> CompletionCall<'a> {
    /// What the answer has to be.
    pub fn want(&self, format: StreamFormat) -> StreamWant<'a> {
        StreamWant {
            format,
            seed: derive_seed(self.prompt),
            tokens: self.output_tokens,
            cancel_after: self.cancel_after,
            start: self.start,
            counter: self.counter,
        }
    }
}

/// Asks an entry for a completion and reads its answer, or goes away as planned.
pub async fn call_entry(
    client: &Client,
    entry: SocketAddr,
    call: &CompletionCall<'_>,
) -> CallOutcome {
    let exchange = exchange(client, entry, call);
    if call.cancel_after == Some(0) {
        let early = tokio::time::timeout(EARLY_CANCEL, exchange).await;
        return early.unwrap_or(CallOutcome::without_tokens(CallEnd::Cancelled));
    }
    let outcome = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    outcome.unwrap_or(CallOutcome::without_tokens(CallEnd::TimedOut))
}

async fn exchange(client: &Client, entry: SocketAddr, call: &CompletionCall<'_>) -> CallOutcome {
    let body = CompletionRequest {
        model: call.model.to_owned(),
        prompt: call.prompt.to_owned(),
        max_tokens: Some(call.output_tokens),
        stream: true,
        seed: None,
    };
    let request = client
        .post(format!("http://{entry}/v1/completions"))
        .bearer_auth(call.token);
    match request.send_json(&body).await {
        Ok(answer) if answer.status().is_success() => {
            read_stream(answer, call.want(StreamFormat::Completion)).await
        }
        Ok(answer) => CallOutcome::without_tokens(CallEnd::Refused(read_reason(answer).await)),
        Err(error) => error.into(),
    }
}

/// The reason of a refusal as a label.
pub async fn read_reason<S>(mut answer: ClientResponse<S>) -> String
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let status = answer.status().as_u16();
    let problem = match answer.body().await {
        Ok(body) => serde_json::from_slice::<ProblemBody>(&body).ok(),
        Err(_) => None,
    };
    problem.map_or(format!("status-{status}"), |problem| {
        problem.reason.label().to_owned()
    })
}
