//! Forwards generation requests: a prefill engine processes the prompt, then a decode engine streams the
//! answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionDecision, AttemptFailure, DecodeDemand, EngineSpec, EngineSubset, SoftwareNeed,
    StreamDemand, StreamShape, TicketId, WaitingStream, choose_decode,
};
use gs_protocol::ids::ServerName;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::sync::oneshot;

use crate::answer::ClientAnswer;
use crate::connection::{CallError, ServerConnection};
use crate::crashes::ServerRun;
use crate::gateway::{AdmissionOutcome, Gateway};
use crate::origins::reserve_taken_up;
use crate::plain::{DEFAULT_RETRY_AFTER, ForwardJob, forwarded_answer, is_not_run_status};
use crate::prefill::{MAX_PREFILL_ANSWER_BYTES, UnclaimedResult, ensure_result};
use crate::reservation::StreamReservation;
use crate::stream_forwarder::{RunningStream, start_forwarding};
use crate::wire::{AnswerClass, ForwardOptions, ResumePoint, ServerTask};

/// Fraction of an engine's memory that the expected streams may fill when a stream is placed again after
/// another engine failed or rejected it.
const RETRY_MEMORY_FRACTION: f64 = 0.9;

/// Maximum number of decode engines that are tried before the first event.
const MAX_DECODE_ATTEMPTS: usize = 4;

/// Lowest priority in an engine's queue; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// A generation request with its resource demand.
pub(crate) struct GenerationJob {
    pub job: ForwardJob,
    pub demand: StreamDemand,
    pub engine: Option<EngineSpec>,
}

impl GenerationJob {
    /// Returns the priority in the engines' queues.
    pub fn priority(&self) -> u8 {
        self.job.rank().min(LOWEST_PRIORITY)
    }

    /// Returns the resources that a stream needs when it is placed outside the admission queue.
    pub fn decode_demand(&self) -> DecodeDemand<'_> {
        DecodeDemand {
            shape: self.demand.shape,
            memory_fraction: RETRY_MEMORY_FRACTION,
            subset: EngineSubset::ALL,
            software: &self.demand.software,
        }
    }
}

/// Removes a waiting stream from the admission queue when its request is dropped.
struct TicketGuard {
    gateway: Rc<Gateway>,
    ticket: TicketId,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        state.queue.withdraw(self.ticket);
        state.waiters.remove(&self.ticket);
    }
}

/// Forwards a generation request and returns the answer for the client.
pub(crate) async fn forward_generation(gateway: &Rc<Gateway>, job: ForwardJob) -> ClientAnswer {
    gateway.credit_budget(&job.service);
    let table = gateway.table();
    let engine = table
        .as_ref()
        .and_then(|table| table.service(&job.service))
        .and_then(|service| service.engine.clone());
    if let Some(retry_after) = gateway.start_refusal(&job) {
        return job.refusal_answer(gateway, retry_after);
    }
    let software = match gateway.software_need(&job).await {
        Ok(software) => software,
        Err(retry_after) => return job.refusal_answer(gateway, retry_after),
    };
    let demand = stream_demand(gateway, &job, software);
    gateway.update_stream_estimate(&demand.service, demand.shape);
    let generation = GenerationJob {
        job,
        demand,
        engine,
    };
    let admitted = match &generation.demand.software {
        SoftwareNeed::Any | SoftwareNeed::Recorded => {
            wait_for_admission(gateway, &generation).await
        }
        SoftwareNeed::Only(_) => reserve_taken_up(gateway, &generation).await,
    };
    match admitted {
        Ok(reservation) => match generation.job.late_refusal(gateway) {
            None => {
                gateway.record_usage(&generation.job);
                run_generation(gateway, generation, reservation).await
            }
            Some(refusal) => refusal,
        },
        Err(retry_after) => {
            log::info!(target: "generation", id:% = generation.job.metadata.request_id, deadline_ms = generation.job.metadata.deadline.map_or(0, |deadline| deadline.as_millis() as u64), retry_ms = retry_after.as_millis() as u64, waited_ms = generation.job.arrived.elapsed().as_millis() as u64, workspace = generation.job.workspace_name(), rank = generation.job.rank(); "refused: no engine capacity");
            generation.job.refusal_answer(gateway, retry_after)
        }
    }
}

/// Estimates the memory of a stream from its token counts. Without counts, each byte of the body counts as one
/// prompt token.
fn stream_demand(gateway: &Gateway, job: &ForwardJob, software: SoftwareNeed) -> StreamDemand {
    let shape = match job.metadata.generation {
        Some(params) => {
            let max_tokens = params.max_output_tokens;
            let expected = gateway.expected_tokens(&job.rule.name, params.length_hint, max_tokens);
            StreamShape {
                held_tokens: saturate_tokens(params.prompt_tokens),
                remaining_tokens: saturate_tokens(expected),
            }
        }
        None => StreamShape {
            held_tokens: saturate_tokens(job.body.len() as u64),
            remaining_tokens: 0,
        },
    };
    StreamDemand {
        service: job.service.clone(),
        shape,
        software,
    }
}

fn saturate_tokens(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Waits until a decode engine has capacity. An error holds the time after which the client should retry.
async fn wait_for_admission(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
) -> Result<StreamReservation, Duration> {
    let job = &generation.job;
    let earlier_time = job.metadata.deadline.map_or(Duration::ZERO, |deadline| {
        gateway.earlier_attempt_time(&job.rule.name, deadline)
    });
    let waiting = WaitingStream {
        demand: generation.demand.clone(),
        requested_at: job.arrived.checked_sub(earlier_time).unwrap_or(job.arrived),
        arrived_at: job.arrived,
        latency_target: job.rule.latency_target,
        order: gateway.caller_order(job, u64::from(generation.demand.shape.held_tokens)),
    };
    let (draw, backlog) = (
        gateway.random_fraction(),
        gateway.fleet_backlog(&job.service),
    );
    let (sender, mut receiver) = oneshot::channel();
    let ticket = {
        let mut state = gateway.state.borrow_mut();
        match state.queue.offer(Instant::now(), waiting, backlog, draw) {
            AdmissionDecision::Refused { retry_after } => return Err(retry_after),
            AdmissionDecision::Queued(ticket) => {
                state.waiters.insert(ticket, sender);
                ticket
            }
        }
    };
    let _guard = TicketGuard {
        gateway: Rc::clone(gateway),
        ticket,
    };
    gateway.capacity_changed.notify_one();
    let decided = tokio::select! {
        biased;
        decided = &mut receiver => decided,
        () = tokio::time::sleep_until(job.answer_due().into()) => return Err(DEFAULT_RETRY_AFTER),
        _ = gateway.shutdown_begun(), if !gateway.is_stopping() => {
            if !gateway.admits_span(job.remaining_span(gateway)) {
                return Err(Duration::ZERO);
            }
            receiver.await
        }
    };
    match decided {
        Ok(AdmissionOutcome::Admitted(reservation)) => {
            log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = reservation.server(), deadline_ms = job.metadata.deadline.map_or(0, |deadline| deadline.as_millis() as u64), prompt = generation.demand.shape.held_tokens, expected = generation.demand.shape.remaining_tokens, waited_ms = job.arrived.elapsed().as_millis() as u64; "admitted");
            Ok(reservation)
        }
        Ok(AdmissionOutcome::Refused(retry_after)) => Err(retry_after),
        Err(_) => Err(DEFAULT_RETRY_AFTER),
    }
}

/// Result of sending a stream to a decode engine.
enum DecodeOutcome {
    Started(Response<Incoming>, ServerConnection, ServerRun),
    Failed(AttemptFailure, Option<ClientAnswer>),
}

/// Runs the prefill and starts the stream, trying further decode engines if one rejects it.
async fn run_generation(
    gateway: &Rc<Gateway>,
    generation: GenerationJob,
    first: StreamReservation,
) -> ClientAnswer {
    let mut reservation = first;
    let mut result: Option<UnclaimedResult> = None;
    let mut excluded: Vec<ServerName> = Vec::new();
    let job = &generation.job;
    let mut is_retry = false;
    for _ in 0..MAX_DECODE_ATTEMPTS {
        let Some((reachable, connection)) =
            connect_any_decode(gateway, &generation, reservation, &mut excluded).await
        else {
            break;
        };
        reservation = reachable;
        let prior = result.take();
        let Ok(fresh) =
            ensure_result(gateway, &generation, reservation.server(), prior, is_retry).await
        else {
            break;
        };
        result = fresh;
        if has_withdrawn(gateway, job, reservation.server()) {
            excluded.push(reservation.server().clone());
            continue;
        }
        let is_refused = gateway.start_refusal(job).is_some();
        if is_refused || (is_retry && !gateway.spend_budget(&job.service)) {
            break;
        }
        is_retry = true;
        let decode_request = DecodeRequest {
            server: reservation.server(),
            task: ServerTask::Decode(result.as_ref().and_then(UnclaimedResult::source)),
            resume: job.metadata.resume.as_ref(),
        };
        let outcome = start_decode(gateway, &generation, connection, decode_request).await;
        let (failure, answer) = match outcome {
            DecodeOutcome::Failed(failure, answer) => (failure, answer),
            DecodeOutcome::Started(answer, connection, run) => {
                result.take().into_iter().for_each(UnclaimedResult::claim);
                let stream = RunningStream::new(answer, connection, reservation, run);
                return start_forwarding(gateway, generation, stream);
            }
        };
        log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = reservation.server(), failure:?; "decode engine did not start the stream");
        if !failure.is_not_run() {
            // The engine may have fetched the result; otherwise the result expires at its prefill engine.
            result.take().into_iter().for_each(UnclaimedResult::claim);
            return answer.unwrap_or_else(|| job.unknown_outcome_answer());
        }
        gateway.record_full(reservation.server());
        excluded.push(reservation.server().clone());
    }
    job.refusal_answer(gateway, DEFAULT_RETRY_AFTER)
}

/// Whether a decode engine has left or asked for a pause since it was reserved.
fn has_withdrawn(gateway: &Gateway, job: &ForwardJob, server: &ServerName) -> bool {
    let has_withdrawn = !gateway.may_send(server);
    if has_withdrawn {
        log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = server; "decode engine left or asked for a pause during the prefill");
    }
    has_withdrawn
}

/// Connects to the reserved decode engine or, if it is unreachable, to another one. This happens before the
/// prefill, so that an unreachable engine does not waste one.
async fn connect_any_decode(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    first: StreamReservation,
    excluded: &mut Vec<ServerName>,
) -> Option<(StreamReservation, ServerConnection)> {
    let mut reservation = first;
    for _ in 0..MAX_DECODE_ATTEMPTS {
        let server = reservation.server().clone();
        if !excluded.contains(&server) {
            if let Some(connection) = connect_decode(gateway, generation, &server).await {
                return Some((reservation, connection));
            }
            excluded.push(server);
        }
        reservation = reserve_decode(gateway, generation, excluded)?;
    }
    None
}

/// Reserves capacity at a decode engine other than the excluded ones.
pub(crate) fn reserve_decode(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    excluded: &[ServerName],
) -> Option<StreamReservation> {
    let engine = generation.engine.as_ref()?;
    let demand = generation.decode_demand();
    let service = &generation.demand.service;
    let server = gateway
        .with_placement_view(|view| choose_decode(view, service, engine, demand, excluded))?;
    let shape = generation.demand.shape;
    Some(StreamReservation::acquire(gateway, &server, shape))
}

/// Sends a stream to a decode engine, classifies the head of the answer and records it in the engine's health.
async fn start_decode(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    connection: ServerConnection,
    decode_request: DecodeRequest<'_>,
) -> DecodeOutcome {
    let job = &generation.job;
    let server = decode_request.server;
    let sent_request = gateway.note_sent(server);
    let left = job.answer_due().saturating_duration_since(Instant::now());
    let run = ServerRun::start(gateway, job, server);
    let sent = send_decode(gateway, generation, connection, decode_request);
    let (answer, connection) = match tokio::time::timeout(left, sent).await {
        Ok(Ok(sent)) => sent,
        Ok(Err(error)) if error.is_not_sent() => {
            run.discard();
            gateway.record_not_sent(server, &error);
            return DecodeOutcome::Failed(AttemptFailure::NotSent, None);
        }
        Ok(Err(error)) => {
            log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = server, error:%, contents = job.contents_text(); "connection failed before the head of the answer");
            gateway.record_answer(server, true);
            run.lose().await;
            return DecodeOutcome::Failed(AttemptFailure::Unknown, None);
        }
        Err(_) => return DecodeOutcome::Failed(AttemptFailure::Unknown, None),
    };
    let (head, body) = answer.into_parts();
    let class = gateway
        .wire
        .classify_answer(&head, &job.metadata.request_id);
    gateway.record_head(server, sent_request, class, &head);
    match class {
        AnswerClass::Success => {
            DecodeOutcome::Started(Response::from_parts(head, body), connection, run)
        }
        AnswerClass::NotExecuted | AnswerClass::Misdirected => {
            run.discard();
            DecodeOutcome::Failed(AttemptFailure::NotExecuted, None)
        }
        AnswerClass::Foreign => {
            run.discard();
            DecodeOutcome::Failed(AttemptFailure::Unknown, None)
        }
        AnswerClass::ServerFailure => {
            run.complete_with(head.status);
            let answer = read_failure(gateway, job, &head, body).await;
            DecodeOutcome::Failed(AttemptFailure::ServerError, answer)
        }
    }
}

/// Reads a decode engine's error answer; `None` if it is incomplete or would tell the client that the request has
/// not run.
async fn read_failure(
    gateway: &Gateway,
    job: &ForwardJob,
    head: &Parts,
    body: Incoming,
) -> Option<ClientAnswer> {
    let limit = job.answer_due().saturating_duration_since(Instant::now());
    let reading = ServerConnection::read_body(body, MAX_PREFILL_ANSWER_BYTES);
    let complete_body = tokio::time::timeout(limit, reading).await.ok()?.ok()?;
    (!is_not_run_status(head.status)).then(|| forwarded_answer(gateway, head, complete_body))
}

/// Connects to a decode engine; `None` if it is unreachable.
pub(crate) async fn connect_decode(
    gateway: &Gateway,
    generation: &GenerationJob,
    server: &ServerName,
) -> Option<ServerConnection> {
    let address = gateway.server_address(server)?;
    match gateway.open_server(address).await {
        Ok(connection) => Some(connection),
        Err(error) => {
            log::info!(target: "generation", id:% = generation.job.metadata.request_id, decode:% = server, error:%; "cannot connect to the decode engine");
            gateway.record_unreachable(server);
            None
        }
    }
}

/// Target and options of a request to a decode engine.
#[derive(Clone, Copy)]
pub(crate) struct DecodeRequest<'a> {
    pub server: &'a ServerName,
    pub task: ServerTask<'a>,
    pub resume: Option<&'a ResumePoint>,
}

/// Sends a stream to a decode engine and waits for the head of its answer. Reconnects if the engine closed
/// the connection during the prefill.
pub(crate) async fn send_decode(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    opened: ServerConnection,
    decode_request: DecodeRequest<'_>,
) -> Result<(Response<Incoming>, ServerConnection), CallError> {
    let job = &generation.job;
    let mut connection = match opened.is_closed() {
        true => {
            let address = gateway.server_address(decode_request.server);
            let address = address.ok_or(CallError::ConnectTimeout(Duration::ZERO))?;
            gateway.open_server(address).await?
        }
        false => opened,
    };
    if gateway.start_refusal(job).is_some() {
        return Err(CallError::NotStarted);
    }
    let options = ForwardOptions {
        server: decode_request.server,
        caller: &job.caller,
        task: decode_request.task,
        deadline: job.answer_due().saturating_duration_since(Instant::now()),
        priority: Some(generation.priority()),
        resume: decode_request.resume,
    };
    let request = job.build_server_request(gateway, &options);
    let held = gateway.admit_body(decode_request.server, job).await?;
    job.quota.record_sent();
    let answer = connection.send(request).await;
    held.settle(&answer);
    Ok((answer?, connection))
}
