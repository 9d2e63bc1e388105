//! Forwards plain requests: safe ones and those that may run once only.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gs_control::forwarding::{
    AttemptFailure, AttemptHistory, FinalAnswer, NextStep, RouteKind, RouteRule, ServerLoad,
    choose_server, next_step,
};
use gs_protocol::ids::{ServerName, ServiceName};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};

use crate::answer::{AnswerBody, ClientAnswer, own_answer};
use crate::call::{CallError, ServerCall};
use crate::gateway::Gateway;
use crate::reservation::{KeptBytes, Reservation};
use crate::wire::{AnswerVerdict, ClientFacts, SendStage, ServerOrder};

/// How long a connection to a server may take.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// How long before a client gives up its last answer is sent.
const ANSWER_LEAD: Duration = Duration::from_millis(20);

/// Bytes of an answer that are read before it is passed on.
const MAX_WHOLE_ANSWER: usize = 4_194_304;

/// Servers that are tried at most, also where none took the request.
const MAX_SENDS: u32 = 4;

/// Part of the latency target after which a safe request is sent elsewhere.
const PATIENCE: f64 = 0.75;

/// When a refused client may come back, if no server could be reached.
pub(crate) const RETURN_AFTER: Duration = Duration::from_millis(500);

/// A client's request, read to its end.
#[derive(Debug)]
pub(crate) struct ForwardJob {
    pub facts: ClientFacts,
    pub method: hyper::Method,
    pub path: hyper::Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub rule: Arc<RouteRule>,
    pub service: ServiceName,
    pub arrived: Instant,
    /// Counts the body for as long as it is kept.
    pub _kept: KeptBytes,
}

impl ForwardJob {
    /// When the last answer is due.
    pub fn answer_by(&self) -> Instant {
        let patience = self.facts.deadline.unwrap_or(self.rule.timeout);
        self.arrived + patience.min(self.rule.timeout).saturating_sub(ANSWER_LEAD)
    }

    /// The request as it goes to a server.
    pub fn server_request(
        &self,
        gateway: &Gateway,
        order: &ServerOrder<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = gateway.wire.server_headers(&self.headers, order);
        request
    }

    /// The answer for a request that has not run.
    pub fn refusal(&self, gateway: &Gateway, after: Duration) -> ClientAnswer {
        let mut answer = own_answer(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
        let (name, value) = gateway.wire.retry_after(after);
        answer.headers_mut().insert(name, value);
        answer
    }

    /// The answer for a request that may have run.
    pub fn unknown_answer(&self) -> ClientAnswer {
        let status = match Instant::now() >= self.answer_by() {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::BAD_GATEWAY,
        };
        own_answer(status, "the request may have run\n")
    }
}

/// A server's failure that may be passed on.
type KeptFailure = Option<ClientAnswer>;

/// How one try at a server went.
enum TryOutcome {
    Answered(ClientAnswer),
    Failed(AttemptFailure, KeptFailure),
}

/// Forwards a plain request and answers it.
pub(crate) async fn forward_plain(gateway: &Rc<Gateway>, job: &ForwardJob) -> ClientAnswer {
    gateway.credit_budget(&job.service);
    let mut history = AttemptHistory::default();
    let mut tried: Vec<ServerName> = Vec::new();
    let mut kept: KeptFailure = None;
    loop {
        let chosen = gateway.with_view(|view| choose_server(view, &job.service, &tried));
        let Some(server) = chosen else {
            let is_run = history.runs > 0;
            return finish(
                gateway,
                job,
                kept,
                if is_run {
                    FinalAnswer::Unknown
                } else {
                    FinalAnswer::NotRun
                },
            );
        };
        let sent_before = history.sends;
        let outcome = try_server(gateway, job, &server, &history).await;
        tried.push(server);
        let (failure, answer) = match outcome {
            TryOutcome::Answered(answer) => return answer,
            TryOutcome::Failed(failure, answer) => (failure, answer),
        };
        history.sends += u32::from(failure != AttemptFailure::NotSent);
        history.runs += u32::from(!failure.is_not_run());
        kept = answer.or(kept);
        let is_late = Instant::now() >= job.answer_by();
        match next_step(job.rule.kind, job.rule.max_attempts, history, failure) {
            NextStep::Answer(last) => return finish(gateway, job, kept, last),
            NextStep::Retry { needs_budget } => {
                let is_allowed = !is_late
                    && tried.len() < MAX_SENDS as usize
                    && (!needs_budget || gateway.spend_budget(&job.service));
                if !is_allowed {
                    let last = if history.runs > 0 {
                        FinalAnswer::Unknown
                    } else {
                        FinalAnswer::NotRun
                    };
                    return finish(gateway, job, kept, last);
                }
                log::info!(target: "request", id:% = job.facts.request, sends = sent_before + 1, failure:?; "sent again");
            }
        }
    }
}

/// The last answer to a request that no server answered well.
fn finish(
    gateway: &Gateway,
    job: &ForwardJob,
    kept: KeptFailure,
    last: FinalAnswer,
) -> ClientAnswer {
    log::info!(target: "request", id:% = job.facts.request, route = job.rule.name, outcome:? = last, kept = kept.is_some(), waited_ms = job.arrived.elapsed().as_millis() as u64; "given up");
    if let Some(answer) = kept {
        return answer;
    }
    match last {
        FinalAnswer::NotRun => job.refusal(gateway, RETURN_AFTER),
        FinalAnswer::ServersOwn | FinalAnswer::Unknown => job.unknown_answer(),
    }
}

/// A server's own answer as it goes to the client.
pub(crate) fn server_answer(gateway: &Gateway, head: &Parts, body: Bytes) -> ClientAnswer {
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = gateway.wire.client_headers(&head.headers);
    answer
}

/// Whether a status says that a request has not run.
pub(crate) fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

async fn try_server(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    server: &ServerName,
    history: &AttemptHistory,
) -> TryOutcome {
    let _reserved = Reservation::take(gateway, server, ServerLoad::REQUEST);
    let left = job.answer_by().saturating_duration_since(Instant::now());
    let may_go_elsewhere =
        job.rule.kind == RouteKind::Safe && history.runs + 1 < job.rule.max_attempts;
    let limit = match may_go_elsewhere {
        true => left.min(job.rule.latency_target.mul_f64(PATIENCE)),
        false => left,
    };
    let mut is_sent = false;
    let exchange = exchange(gateway, job, server, &mut is_sent);
    let result = match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) if is_sent => Err(CallError::AnswerTimeout(limit)),
        Err(_) => Err(CallError::ConnectTimeout(limit)),
    };
    match result {
        Ok((head, body)) => judge(gateway, job, server, Response::from_parts(head, body)),
        Err(error) => {
            log::info!(target: "request", id:% = job.facts.request, server:%, error:%; "try failed");
            if error.is_not_sent() {
                gateway.note_unreachable(server);
                return TryOutcome::Failed(AttemptFailure::NotSent, None);
            }
            gateway.note_answer(server, true);
            TryOutcome::Failed(AttemptFailure::Unknown, None)
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
    let mut call = ServerCall::open(address, CONNECT_LIMIT).await?;
    let order = ServerOrder {
        server,
        stage: SendStage::Run,
        deadline: job.answer_by().saturating_duration_since(Instant::now()),
        priority: None,
        resume: None,
    };
    let request = job.server_request(gateway, &order);
    *is_sent = true;
    let (head, body) = call.send(request).await?.into_parts();
    let body = ServerCall::read_whole(body, MAX_WHOLE_ANSWER).await?;
    Ok((head, body))
}

/// Decides what an answer means for the request.
fn judge(
    gateway: &Gateway,
    job: &ForwardJob,
    server: &ServerName,
    answer: Response<Bytes>,
) -> TryOutcome {
    let (head, body) = answer.into_parts();
    let verdict = gateway.wire.judge_answer(&head, &job.facts.request);
    log::debug!(target: "request", id:% = job.facts.request, server:%, status = head.status.as_u16(), verdict:?; "answered");
    match verdict {
        AnswerVerdict::Success => {
            gateway.note_answer(server, false);
            TryOutcome::Answered(server_answer(gateway, &head, body))
        }
        AnswerVerdict::ServerFailure => {
            gateway.note_answer(server, true);
            // A promise that the server did not make is not passed on.
            let answer = (!is_promise(head.status)).then(|| server_answer(gateway, &head, body));
            TryOutcome::Failed(AttemptFailure::ServerError, answer)
        }
        AnswerVerdict::NotExecuted => {
            gateway.note_answer(server, true);
            TryOutcome::Failed(AttemptFailure::NotExecuted, None)
        }
        AnswerVerdict::Misdirected => {
            gateway.note_misdirected(server);
            TryOutcome::Failed(AttemptFailure::NotExecuted, None)
        }
        AnswerVerdict::Foreign => {
            log::warn!(target: "request", id:% = job.facts.request, server:%, status = head.status.as_u16(); "the answer is another request's or none");
            gateway.note_answer(server, true);
            TryOutcome::Failed(AttemptFailure::Unknown, None)
        }
    }
}
