//! Sends streamed completions through an entry.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use awc::{Client, ClientResponse};
use bytes::Bytes;
use futures_util::Stream;
use gs_protocol::caller::CompletionRequest;
use gs_protocol::prefix::derive_seed;
use gs_protocol::refusal::ProblemBody;

use super::exchange::{CallEnd, CallOutcome, StreamExpectation, read_stream};
use super::sse::StreamFormat;

/// Delay after which a client that cancels before the first token disconnects.
const EARLY_CANCEL_DELAY: Duration = Duration::from_millis(20);

/// Time limit for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(300);

/// A completion to request.
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
    /// The number of tokens after which the client disconnects, if it does.
    pub cancel_after: Option<u32>,
    /// The start from which times are measured.
    pub start: Instant,
    /// Counter for the tokens of all calls; `None` if the gaps between tokens are measured.
    pub counter: Option<&'a AtomicU64>,
}

impl<'a> CompletionCall<'a> {
    /// The expected answer, in a given format.
    pub fn expected(&self, format: StreamFormat) -> StreamExpectation<'a> {
        StreamExpectation {
            format,
            seed: derive_seed(self.prompt),
            tokens: self.output_tokens,
            cancel_after: self.cancel_after,
            start: self.start,
            counter: self.counter,
        }
    }
}

/// Requests a completion from an entry and reads the answer, or disconnects as planned.
pub async fn call_entry(
    client: &Client,
    entry: SocketAddr,
    call: &CompletionCall<'_>,
) -> CallOutcome {
    let exchange = exchange(client, entry, call);
    if call.cancel_after == Some(0) {
        let early = tokio::time::timeout(EARLY_CANCEL_DELAY, exchange).await;
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
            read_stream(answer, call.expected(StreamFormat::Completion)).await
        }
        Ok(answer) => CallOutcome::without_tokens(CallEnd::Refused(read_reason(answer).await)),
        Err(error) => error.into(),
    }
}

/// Reads the reason of a refusal as a label, or `status-` and the status if the body cannot be
/// parsed.
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
