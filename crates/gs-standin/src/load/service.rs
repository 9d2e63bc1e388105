//! Calls of plain services through entries, with retries at other entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::SendRequestError;
use awc::{Client, ClientRequest};
use gs_protocol::refusal::{ProblemBody, RequestOutcome};
use gs_protocol::service::KEY_HEADER;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::entries::EntryPool;
use super::mix::{ServiceMethod, ServiceMix};

/// How long a client waits before it tries again.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// How long a client waits for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How a call ended, as its client knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceEnd {
    /// It ran, and the answer is the caller's own.
    Done,
    /// The answer is not the caller's own.
    Wrong,
    /// It did not run, for a reason.
    NotRun(String),
    /// It may have run, for a reason.
    Unknown(String),
}

/// What came of one call.
#[derive(Clone, Debug)]
pub struct ServiceOutcome {
    /// How it ended.
    pub end: ServiceEnd,
    /// The idempotency key.
    pub key: Option<Uuid>,
    /// From the start of the call to its answer.
    pub time: Duration,
    /// Tries after the first one.
    pub retries: u32,
}

/// The body that is sent and echoed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct CallBody {
    call: u64,
}

/// The part of a service's answer that is checked.
#[derive(Debug, Deserialize)]
struct EchoAnswer {
    path: String,
    echo: Option<CallBody>,
}

impl EchoAnswer {
    fn is_of(&self, call: ServiceCall<'_>) -> bool {
        match call.service.method {
            ServiceMethod::Get => self.path.ends_with(&format!("/{}", call.seed)),
            ServiceMethod::Post => self.echo == Some(CallBody { call: call.seed }),
        }
    }
}

/// One call, with all its tries.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// The service's description.
    pub service: &'a ServiceMix,
    /// Determines the body.
    pub seed: u64,
    /// When the call began.
    pub start: Instant,
}

/// Calls a service until the call is settled or its tries are used up.
pub async fn call_service(
    client: &Client,
    pool: &EntryPool,
    random: &mut Pcg64Mcg,
    call: ServiceCall<'_>,
) -> ServiceOutcome {
    let key = call.service.keyed.then(Uuid::now_v7);
    let mut last = None;
    let mut retries = 0;
    let mut maybe_run = false;
    let end = loop {
        let Some(entry) = pool.choose(random, last) else {
            break ServiceEnd::NotRun("no-entry".to_owned());
        };
        last = Some(entry);
        let tried = tokio::time::timeout(ANSWER_TIMEOUT, try_call(client, entry, call, key)).await;
        let end = tried.unwrap_or(ServiceEnd::Unknown("timed-out".to_owned()));
        maybe_run |= matches!(end, ServiceEnd::Unknown(_));
        let safe = key.is_some() || matches!(end, ServiceEnd::NotRun(_));
        let settled = matches!(end, ServiceEnd::Done | ServiceEnd::Wrong);
        if settled || !safe || retries + 1 >= call.service.tries {
            break end;
        }
        retries += 1;
        tokio::time::sleep(RETRY_WAIT).await;
    };
    ServiceOutcome {
        end: settle(end, maybe_run),
        key,
        time: call.start.elapsed(),
        retries,
    }
}

/// A try that did not run says nothing of an earlier one whose end is not known.
fn settle(end: ServiceEnd, maybe_run: bool) -> ServiceEnd {
    match end {
        ServiceEnd::NotRun(reason) if maybe_run => ServiceEnd::Unknown(reason),
        end => end,
    }
}

async fn try_call(
    client: &Client,
    entry: SocketAddr,
    call: ServiceCall<'_>,
    key: Option<Uuid>,
) -> ServiceEnd {
    let body = CallBody { call: call.seed };
    let request = build_request(client, entry, call, key);
    let sent = match call.service.method {
        ServiceMethod::Get => request.send().await,
        ServiceMethod::Post => request.send_json(&body).await,
    };
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(SendRequestError::Connect(_)) => return ServiceEnd::NotRun("unreachable".to_owned()),
        Err(_) => return ServiceEnd::Unknown("cut".to_owned()),
    };
    let status = answer.status();
    let Ok(bytes) = answer.body().await else {
        return ServiceEnd::Unknown("cut".to_owned());
    };
    if status.is_success() {
        // The client ends a body that was cut between two chunks without an error.
        return match serde_json::from_slice::<EchoAnswer>(&bytes) {
            Ok(answer) if answer.is_of(call) => ServiceEnd::Done,
            Ok(_) => ServiceEnd::Wrong,
            Err(_) => ServiceEnd::Unknown("malformed".to_owned()),
        };
    }
    read_problem(status.as_u16(), &bytes)
}

fn build_request(
    client: &Client,
    entry: SocketAddr,
    call: ServiceCall<'_>,
    key: Option<Uuid>,
) -> ClientRequest {
    let service = call.service;
    let url = format!("http://{entry}{}", service.path);
    let request = match service.method {
        ServiceMethod::Get => client.get(format!("{url}/{}", call.seed)),
        ServiceMethod::Post => client.post(url),
    };
    let request = request.bearer_auth(&service.token);
    match key {
        Some(key) => request.insert_header((KEY_HEADER, key.to_string())),
        None => request,
    }
}

fn read_problem(status: u16, bytes: &[u8]) -> ServiceEnd {
    let Ok(problem) = serde_json::from_slice::<ProblemBody>(bytes) else {
        return ServiceEnd::Unknown(format!("status-{status}"));
    };
    let reason = problem.reason.label().to_owned();
    match problem.outcome {
        RequestOutcome::NotRun => ServiceEnd::NotRun(reason),
        RequestOutcome::Unknown => ServiceEnd::Unknown(reason),
    }
}
