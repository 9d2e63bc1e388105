//! Forwards requests that are not streamed: safe ones, which may be retried, and unsafe ones, which run at
//! most once.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gs_control::forwarding::{
    AttemptFailure, AttemptHistory, FinalAnswer, NextStep, RequestCaller, RequestSpan, RouteKind,
    RouteRule, ServerLoad, limit_wait, next_step,
};
use gs_control::quarantine::RequestContents;
use gs_protocol::ids::{ServerName, ServiceName};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};

use crate::answer::{AnswerBody, ClientAnswer, local_answer};
use crate::capacity::ExchangeTimer;
use crate::connection::CallError;
use crate::crashes::ServerRun;
use crate::gateway::Gateway;
use crate::quotas::QuotaGuard;
use crate::reservation::{KeptBytes, Reservation};
use crate::scheduling::{TakenServer, take_server};
use crate::wire::{AnswerClass, ForwardOptions, RequestMetadata, ServerTask};

/// Timeout for connecting to a server.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time before the client's deadline at which the final answer is sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Maximum number of servers tried for one request, including those that rejected it without running it.
const MAX_SERVER_ATTEMPTS: u32 = 4;

/// Fraction of the latency target after which a safe request is sent to another server.
const FAILOVER_FRACTION: f64 = 0.75;

/// Part of the latency target that a request may wait for a server's limit.
const LIMIT_WAIT_FRACTION: f64 = 0.5;

/// Minimum wait for a server's limit.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(1);

/// Retry delay given to a refused client when there is no estimate of free capacity.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A client's request with its complete body and its route.
#[derive(Debug)]
pub(crate) struct ForwardJob {
    pub metadata: RequestMetadata,
    pub method: hyper::Method,
    pub path: hyper::Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub rule: Arc<RouteRule>,
    /// Whose request it is.
    pub caller: RequestCaller,
    /// Its cost in the quota of its workspace.
    pub quota: QuotaGuard,
    pub service: ServiceName,
    pub arrived: Instant,
    /// What is suspected if the request crashes a server.
    pub contents: RequestContents,
    /// Accounts for the buffered body until the job is dropped.
    pub _kept_bytes: KeptBytes,
}

impl ForwardJob {
    /// Returns the content hashes for logs, separated by commas.
    pub fn contents_text(&self) -> String {
        let contents = self.contents.by_specificity();
        let contents: Vec<String> = contents.map(|content| content.to_string()).collect();
        contents.join(",")
    }

    /// Returns its priority: that of its workspace, or else that of its route. 0 is the most urgent.
    pub fn rank(&self) -> u8 {
        let workspace = self.caller.workspace();
        let rank = workspace.and_then(|workspace| workspace.rank);
        rank.unwrap_or(self.rule.rank)
    }

    /// Returns the name of its workspace for logs; empty if it belongs to none.
    pub fn workspace_name(&self) -> &str {
        let workspace = self.caller.workspace();
        workspace.map_or("", |workspace| &workspace.name)
    }

    /// Returns the time from its arrival within which the request must have its final answer.
    fn time_limit(&self) -> Duration {
        self.rule.time_limit(self.metadata.deadline)
    }

    /// Returns the time at which the final answer must be sent.
    pub fn answer_due(&self) -> Instant {
        self.arrived + self.time_limit().saturating_sub(ANSWER_MARGIN)
    }

    /// Returns the time at which the exchange ends, even if a stream is not complete then.
    pub fn ends_at(&self) -> Instant {
        self.arrived + self.time_limit()
    }

    /// Returns how long the request may still last.
    pub fn remaining_span(&self, gateway: &Gateway) -> RequestSpan {
        let waited = self.arrived.elapsed();
        let time_left = self.time_limit().saturating_sub(waited);
        match self.rule.kind {
            RouteKind::Safe | RouteKind::Unsafe => RequestSpan::Limited(time_left),
            RouteKind::Streaming { .. } => {
                let expected = gateway.longest_stream(&self.service);
                let expected = expected.map(|longest| longest.saturating_sub(waited));
                RequestSpan::of_stream(time_left, expected)
            }
        }
    }

    /// Returns the refusal of a request that would not end before the process exits; `None` if the
    /// request may be sent to a server.
    pub fn shutdown_refusal(&self, gateway: &Gateway) -> Option<ClientAnswer> {
        let span = self.remaining_span(gateway);
        if gateway.admits_span(span) {
            return None;
        }
        log::info!(target: "request", id:% = self.metadata.request_id, phase:? = gateway.shutdown_phase(), span:?; "refused: this entry is shutting down");
        Some(self.refusal_answer(gateway, Duration::ZERO))
    }

    /// Builds the request to a server.
    pub fn build_server_request(
        &self,
        gateway: &Gateway,
        options: &ForwardOptions<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = gateway.wire.server_headers(&self.headers, options);
        request
    }

    /// Builds the answer to a request that has not run.
    pub fn refusal_answer(&self, gateway: &Gateway, after: Duration) -> ClientAnswer {
        self.quota.record_not_run();
        let mut answer = local_answer(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
        let (name, value) = gateway.wire.retry_after(after);
        answer.headers_mut().insert(name, value);
        answer
    }

    /// Builds the answer to a request that may have run.
    pub fn unknown_outcome_answer(&self) -> ClientAnswer {
        let status = match Instant::now() >= self.answer_due() {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::BAD_GATEWAY,
        };
        local_answer(status, "the request may have run\n")
    }
}

/// A server's error answer that may be forwarded to the client.
type FailureAnswer = Option<ClientAnswer>;

/// Result of one attempt at a server.
enum AttemptOutcome {
    Answered(ClientAnswer),
    Failed(AttemptFailure, FailureAnswer),
}

impl AttemptOutcome {
    /// Whether the server ran the request and answered, with success or not.
    fn is_servers_answer(&self) -> bool {
        match self {
            Self::Answered(_) => true,
            Self::Failed(failure, _) => *failure == AttemptFailure::ServerError,
        }
    }
}

/// Forwards a plain request, retrying at other servers, and returns the answer for the client.
pub(crate) async fn forward_plain(gateway: &Rc<Gateway>, job: &ForwardJob) -> ClientAnswer {
    gateway.credit_budget(&job.service);
    let mut history = AttemptHistory::default();
    let mut tried: Vec<ServerName> = Vec::new();
    let mut failure_answer: FailureAnswer = None;
    loop {
        if let Some(retry_after) = gateway.start_refusal(job) {
            return match history.runs {
                0 => job.refusal_answer(gateway, retry_after),
                _ => final_answer(gateway, job, failure_answer, FinalAnswer::Unknown),
            };
        }
        let (server, reservation) = match take_server(gateway, job, &tried, history.runs > 0).await
        {
            TakenServer::Server(server, reservation) => (server, reservation),
            TakenServer::Refused(retry_after) => return job.refusal_answer(gateway, retry_after),
            TakenServer::NoServer => match wait_for_limit(gateway, job, &tried).await {
                LimitWait::Over => continue,
                LimitWait::TooLong(retry_after) if history.runs == 0 => {
                    log::info!(target: "request", id:% = job.metadata.request_id, retry_ms = retry_after.as_millis() as u64; "refused: all servers have reached their limits or asked for a pause");
                    return job.refusal_answer(gateway, retry_after);
                }
                LimitWait::TooLong(_) | LimitWait::NoServer => {
                    let kind = history.outcome();
                    return final_answer(gateway, job, failure_answer, kind);
                }
            },
        };
        let sent_before = history.sends;
        let outcome = attempt_server(gateway, job, &server, reservation, &history).await;
        let (failure, answer) = match outcome {
            AttemptOutcome::Answered(answer) => return answer,
            AttemptOutcome::Failed(failure, answer) => (failure, answer),
        };
        if failure == AttemptFailure::NotExecuted {
            gateway.record_plain_full(job, &server);
        }
        tried.push(server);
        history.sends += u32::from(failure != AttemptFailure::NotSent);
        history.runs += u32::from(!failure.is_not_run());
        failure_answer = answer.or(failure_answer);
        let is_late = Instant::now() >= job.answer_due();
        match next_step(job.rule.kind, job.rule.max_attempts, history, failure) {
            NextStep::Answer(kind) => return final_answer(gateway, job, failure_answer, kind),
            NextStep::Retry { needs_budget } => {
                let is_allowed = !is_late
                    && tried.len() < MAX_SERVER_ATTEMPTS as usize
                    && (!needs_budget || gateway.spend_budget(&job.service));
                if !is_allowed {
                    return final_answer(gateway, job, failure_answer, history.outcome());
                }
                log::info!(target: "request", id:% = job.metadata.request_id, sends = sent_before + 1, failure:?; "retrying at another server");
            }
        }
    }
}

/// Result of waiting until a server may get another request within its limit.
enum LimitWait {
    /// A server may get a request.
    Over,
    /// The wait would take too long; all servers have reached their limits for this time.
    TooLong(Duration),
    /// No server is left that the request could be sent to.
    NoServer,
}

/// Waits until a server that was not tried may get another request within its limit, if the request
/// can then still be on time.
async fn wait_for_limit(gateway: &Gateway, job: &ForwardJob, tried: &[ServerName]) -> LimitWait {
    let wait = gateway.with_placement_view(|view| limit_wait(view, &job.service, tried));
    let Some(wait) = wait else {
        return LimitWait::NoServer;
    };
    let until = job.arrived + job.rule.latency_target.mul_f64(LIMIT_WAIT_FRACTION);
    if Instant::now() + wait > until.min(job.answer_due()) {
        return LimitWait::TooLong(wait);
    }
    // Entries that wait for the same server must not send at the same moment.
    tokio::time::sleep(wait.mul_f64(1.0 + gateway.random_fraction()) + MIN_LIMIT_WAIT).await;
    LimitWait::Over
}

/// Returns the answer to a request that no server answered successfully.
fn final_answer(
    gateway: &Gateway,
    job: &ForwardJob,
    failure_answer: FailureAnswer,
    kind: FinalAnswer,
) -> ClientAnswer {
    log::info!(target: "request", id:% = job.metadata.request_id, route = job.rule.name, outcome:? = kind, kept = failure_answer.is_some(), waited_ms = job.arrived.elapsed().as_millis() as u64; "request failed");
    if let Some(answer) = failure_answer {
        return answer;
    }
    match kind {
        FinalAnswer::NotRun => job.refusal_answer(gateway, gateway.shed_delay(job)),
        FinalAnswer::ServersOwn | FinalAnswer::Unknown => job.unknown_outcome_answer(),
    }
}

/// Builds the client's answer from the answer of a server.
pub(crate) fn forwarded_answer(gateway: &Gateway, head: &Parts, body: Bytes) -> ClientAnswer {
    let mut answer = Response::new(AnswerBody::complete(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = gateway.wire.client_headers(&head.headers);
    answer
}

/// Whether a status tells the client that its request has not run.
pub(crate) fn is_not_run_status(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

async fn attempt_server(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    server: &ServerName,
    reservation: Option<Reservation>,
    history: &AttemptHistory,
) -> AttemptOutcome {
    let _reservation =
        reservation.unwrap_or_else(|| Reservation::acquire(gateway, server, ServerLoad::REQUEST));
    let started = Instant::now();
    let left = job.answer_due().saturating_duration_since(Instant::now());
    let can_fail_over =
        job.rule.kind == RouteKind::Safe && history.runs + 1 < job.rule.max_attempts;
    let limit = match can_fail_over {
        true => left.min(job.rule.latency_target.mul_f64(FAILOVER_FRACTION)),
        false => left,
    };
    let run = ServerRun::start(gateway, job, server);
    let mut is_sent = false;
    let exchange = exchange(gateway, job, server, &mut is_sent);
    let result = match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) if is_sent => Err(CallError::AnswerTimeout(limit)),
        Err(_) => Err(CallError::ConnectTimeout(limit)),
    };
    match result {
        Ok((head, body)) => {
            let status = head.status;
            let outcome = classify_attempt(gateway, job, server, Response::from_parts(head, body));
            match outcome.is_servers_answer() {
                true => {
                    gateway.record_plain_answer(job, started.elapsed());
                    run.complete_with(status);
                }
                false => run.discard(),
            }
            outcome
        }
        Err(error) => {
            log::info!(target: "request", id:% = job.metadata.request_id, server:%, error:%, contents = job.contents_text(); "attempt failed");
            if error.is_not_sent() {
                run.discard();
                gateway.record_not_sent(server, &error);
                return AttemptOutcome::Failed(AttemptFailure::NotSent, None);
            }
            gateway.record_answer(server, true);
            if matches!(error, CallError::Broken(_)) {
                run.lose().await;
            }
            AttemptOutcome::Failed(AttemptFailure::Unknown, None)
        }
    }
}

async fn exchange(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    server: &ServerName,
    is_sent: &mut bool,
) -> Result<(Parts, Bytes), CallError> {
    let address = gateway.server_address(server);
    let address = address.ok_or(CallError::ConnectTimeout(Duration::ZERO))?;
    let opening = Instant::now();
    let mut connection = gateway.open_server(address).await?;
    // The process may have been suspended while it connected.
    if gateway.start_refusal(job).is_some() {
        return Err(CallError::NotStarted);
    }
    let timer = ExchangeTimer::start(gateway, server, opening, 0);
    let options = ForwardOptions {
        server,
        caller: &job.caller,
        task: ServerTask::Run,
        deadline: job.answer_due().saturating_duration_since(Instant::now()),
        priority: None,
        resume: None,
    };
    let request = job.build_server_request(gateway, &options);
    let held = gateway.admit_body(server, job).await?;
    *is_sent = true;
    job.quota.record_sent();
    let sent = gateway.note_sent(server);
    let answer = connection.send(request).await;
    held.settle(&answer);
    let (head, body) = answer?.into_parts();
    let class = gateway
        .wire
        .classify_answer(&head, &job.metadata.request_id);
    gateway.record_head(server, sent, class, &head);
    if class == AnswerClass::Success {
        timer.record_plain(gateway, server);
    }
    let body = gateway.answer_budget.read_answer(body).await?;
    Ok((head, body))
}

/// Classifies an answer.
fn classify_attempt(
    gateway: &Gateway,
    job: &ForwardJob,
    server: &ServerName,
    answer: Response<Bytes>,
) -> AttemptOutcome {
    let (head, body) = answer.into_parts();
    let class = gateway
        .wire
        .classify_answer(&head, &job.metadata.request_id);
    log::debug!(target: "request", id:% = job.metadata.request_id, server:%, status = head.status.as_u16(), verdict:? = class; "answered");
    match class {
        AnswerClass::Success => AttemptOutcome::Answered(forwarded_answer(gateway, &head, body)),
        AnswerClass::ServerFailure => {
            // The server did not mark the request as not run, so a status that claims this is not forwarded.
            let answer =
                (!is_not_run_status(head.status)).then(|| forwarded_answer(gateway, &head, body));
            AttemptOutcome::Failed(AttemptFailure::ServerError, answer)
        }
        AnswerClass::NotExecuted | AnswerClass::Misdirected => {
            AttemptOutcome::Failed(AttemptFailure::NotExecuted, None)
        }
        AnswerClass::Foreign => {
            log::warn!(target: "request", id:% = job.metadata.request_id, server:%, status = head.status.as_u16(); "the answer belongs to another request or to none");
            AttemptOutcome::Failed(AttemptFailure::Unknown, None)
        }
    }
}
