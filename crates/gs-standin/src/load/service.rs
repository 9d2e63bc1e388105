//! Calls plain services through entries, with retries at other entries.

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

/// Delay before a retry.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Time limit of one try.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The end of a call as its client observes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceEnd {
    /// The call ran and has the expected answer.
    Done,
    /// The answer belongs to another call.
    Wrong,
    /// The call did not run; holds the reason.
    NotRun(String),
    /// The call may have run; holds the reason.
    Unknown(String),
}

/// The end and the time of one call.
#[derive(Clone, Debug)]
pub struct ServiceOutcome {
    /// How it ended.
    pub end: ServiceEnd,
    /// The idempotency key.
    pub key: Option<Uuid>,
    /// Time from the start of the call to the end of its last try.
    pub time: Duration,
    /// Tries after the first one.
    pub retries: u32,
}

/// The body of a call, which the service echoes.
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
    fn matches_call(&self, call: ServiceCall<'_>) -> bool {
        match call.service.method {
            ServiceMethod::Get => self.path.ends_with(&format!("/{}", call.seed)),
            ServiceMethod::Post => self.echo == Some(CallBody { call: call.seed }),
        }
    }
}

/// A call to make, with all its tries.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// The service and how it is called.
    pub service: &'a ServiceMix,
    /// Seed of the call, which is sent in the path or body.
    pub seed: u64,
    /// The start from which the time is measured.
    pub start: Instant,
}

/// Calls a service until the call has an answer or no tries are left. Calls without an idempotency
/// key are retried only if they did not run.
pub async fn call_service(
    client: &Client,
    pool: &EntryPool,
    random: &mut Pcg64Mcg,
    call: ServiceCall<'_>,
) -> ServiceOutcome {
    let key = call.service.keyed.then(Uuid::now_v7);
    let mut last = None;
    let mut retries = 0;
    let mut may_have_run = false;
    let end = loop {
        let Some(entry) = pool.choose(random, last) else {
            break ServiceEnd::NotRun("no-entry".to_owned());
        };
        last = Some(entry);
        let attempt =
            tokio::time::timeout(ANSWER_TIMEOUT, try_call(client, entry, call, key)).await;
        let end = attempt.unwrap_or(ServiceEnd::Unknown("timed-out".to_owned()));
        may_have_run |= matches!(end, ServiceEnd::Unknown(_));
        let retry_safe = key.is_some() || matches!(end, ServiceEnd::NotRun(_));
        let answered = matches!(end, ServiceEnd::Done | ServiceEnd::Wrong);
        if answered || !retry_safe || retries + 1 >= call.service.tries {
            break end;
        }
        retries += 1;
        tokio::time::sleep(RETRY_WAIT).await;
    };
    ServiceOutcome {
        end: resolve_end(end, may_have_run),
        key,
        time: call.start.elapsed(),
        retries,
    }
}

/// Turns `NotRun` into `Unknown` if an earlier try may have run.
fn resolve_end(end: ServiceEnd, may_have_run: bool) -> ServiceEnd {
    match end {
        ServiceEnd::NotRun(reason) if may_have_run => ServiceEnd::Unknown(reason),
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
        // The client reports no error for a body that was truncated between two chunks.
        return match serde_json::from_slice::<EchoAnswer>(&bytes) {
            Ok(answer) if answer.matches_call(call) => ServiceEnd::Done,
            Ok(_) => ServiceEnd::Wrong,
            Err(_) => ServiceEnd::Unknown("malformed".to_owned()),
        };
    }
    parse_problem(status.as_u16(), &bytes)
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

fn parse_problem(status: u16, bytes: &[u8]) -> ServiceEnd {
    let Ok(problem) = serde_json::from_slice::<ProblemBody>(bytes) else {
        return ServiceEnd::Unknown(format!("status-{status}"));
    };
    let reason = problem.reason.label().to_owned();
    match problem.outcome {
        RequestOutcome::NotRun => ServiceEnd::NotRun(reason),
        RequestOutcome::Unknown => ServiceEnd::Unknown(reason),
    }
}
