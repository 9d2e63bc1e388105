//! Forwards generations: the prompt is read at a prefill engine, the stream comes from a decode engine.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionDecision, AttemptFailure, DecodeDemand, EngineSpec, EngineSubset, StreamDemand,
    StreamShape, TicketId, WaitingStream, choose_decode,
};
use gs_protocol::ids::ServerName;
use hyper::Response;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::answer::ClientAnswer;
use crate::call::{CallError, ServerCall};
use crate::gateway::{Gateway, StartOrder};
use crate::plain::{CONNECT_LIMIT, ForwardJob, RETURN_AFTER, is_promise, server_answer};
use crate::prefill::{KeptResult, MAX_PREFILL_ANSWER, fresh_result};
use crate::pump::{RunningStream, start_pump};
use crate::reservation::StreamReservation;
use crate::wire::{AnswerVerdict, ResumePoint, SendStage, ServerOrder};

/// Part of an engine's memory that may be needed where a stream goes that another engine did not take.
const SECOND_MEMORY_PART: f64 = 0.9;

/// Engines that a stream is tried at before its first event.
const MAX_DECODES: usize = 4;

/// The last place in an engine's queue.
const LAST_PRIORITY: u8 = 9;

/// A generation that is on its way.
pub(crate) struct GenerationJob {
    pub job: ForwardJob,
    pub demand: StreamDemand,
    pub facts: Option<EngineSpec>,
}

impl GenerationJob {
    /// The place in the engines' queues.
    pub fn priority(&self) -> u8 {
        self.job.rule.rank.min(LAST_PRIORITY)
    }

    /// What the stream needs of a decode engine.
    pub fn decode_demand(&self) -> DecodeDemand {
        DecodeDemand {
            shape: self.demand.shape,
            memory_fraction: SECOND_MEMORY_PART,
            subset: EngineSubset::ALL,
        }
    }
}

/// Takes a waiting stream out of the queue when its request is dropped.
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

/// Forwards a generation and answers it.
pub(crate) async fn forward_generation(gateway: &Rc<Gateway>, job: ForwardJob) -> ClientAnswer {
    gateway.credit_budget(&job.service);
    let table = gateway.table();
    let facts = table
        .as_ref()
        .and_then(|table| table.service(&job.service))
        .and_then(|service| service.engine.clone());
    let demand = stream_demand(gateway, &job);
    gateway.learn_stream(&demand.service, demand.shape);
    let generation = GenerationJob { job, demand, facts };
    match wait_for_room(gateway, &generation).await {
        Ok(reserved) => run(gateway, generation, reserved).await,
        Err(retry_after) => {
            log::info!(target: "generation", id:% = generation.job.facts.request, deadline_ms = generation.job.facts.deadline.map_or(0, |deadline| deadline.as_millis() as u64), retry_ms = retry_after.as_millis() as u64, waited_ms = generation.job.arrived.elapsed().as_millis() as u64; "refused: no room");
            generation.job.refusal(gateway, retry_after)
        }
    }
}

fn stream_demand(gateway: &Gateway, job: &ForwardJob) -> StreamDemand {
    let shape = match job.facts.generation {
        Some(facts) => {
            let most = facts.max_output_tokens;
            let left = gateway.expected_tokens(&job.rule.name, facts.length_hint, most);
            StreamShape {
                held_tokens: saturated(facts.prompt_tokens),
                remaining_tokens: saturated(left),
            }
        }
        None => StreamShape {
            held_tokens: saturated(job.body.len() as u64),
            remaining_tokens: 0,
        },
    };
    StreamDemand {
        service: job.service.clone(),
        shape,
    }
}

fn saturated(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Waits until a decode engine has room; an error says when to come back.
async fn wait_for_room(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
) -> Result<StreamReservation, Duration> {
    let job = &generation.job;
    let passed = job.facts.deadline.map_or(Duration::ZERO, |deadline| {
        gateway.time_asked(&job.rule.name, deadline)
    });
    let waiting = WaitingStream {
        demand: generation.demand.clone(),
        requested_at: job.arrived.checked_sub(passed).unwrap_or(job.arrived),
        arrived_at: job.arrived,
        latency_target: job.rule.latency_target,
    };
    let (draw, pace) = (gateway.draw(), gateway.pace());
    let (sender, receiver) = oneshot::channel();
    let ticket = {
        let mut state = gateway.state.borrow_mut();
        match state.queue.offer(Instant::now(), waiting, pace, draw) {
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
    gateway.room_changed.notify_one();
    match receiver.await {
        Ok(StartOrder::Start(reserved)) => {
            log::info!(target: "generation", id:% = job.facts.request, decode:% = reserved.server(), deadline_ms = job.facts.deadline.map_or(0, |deadline| deadline.as_millis() as u64), prompt = generation.demand.shape.held_tokens, expected = generation.demand.shape.remaining_tokens, waited_ms = job.arrived.elapsed().as_millis() as u64; "admitted");
            Ok(reserved)
        }
        Ok(StartOrder::Refuse(retry_after)) => Err(retry_after),
        Err(_) => Err(RETURN_AFTER),
    }
}

/// What a decode engine did with a stream.
enum DecodeOutcome {
    Streams(Response<Incoming>, ServerCall),
    Failed(AttemptFailure, Option<ClientAnswer>),
}

/// Reads the prompt and starts the stream, at another engine if one turns it away.
async fn run(
    gateway: &Rc<Gateway>,
    generation: GenerationJob,
    first: StreamReservation,
) -> ClientAnswer {
    let mut reserved = first;
    let mut kept: Option<KeptResult> = None;
    let mut passed: Vec<ServerName> = Vec::new();
    let job = &generation.job;
    let mut is_repeat = false;
    for _ in 0..MAX_DECODES {
        let Some((reached, call)) = reach_decode(gateway, &generation, reserved, &mut passed).await
        else {
            break;
        };
        reserved = reached;
        let before = kept.take();
        let Ok(fresh) =
            fresh_result(gateway, &generation, reserved.server(), before, is_repeat).await
        else {
            break;
        };
        kept = fresh;
        if is_repeat && !gateway.spend_budget(&job.service) {
            break;
        }
        is_repeat = true;
        let source = kept.as_ref().and_then(|kept| kept.source.as_ref());
        let resume = job.facts.resume.as_ref();
        let sent = SentDecode {
            server: reserved.server(),
            stage: SendStage::Decode(source),
            resume,
        };
        let outcome = decode(gateway, &generation, call, sent).await;
        let (failure, answer) = match outcome {
            DecodeOutcome::Failed(failure, answer) => (failure, answer),
            DecodeOutcome::Streams(answer, call) => {
                kept.take().into_iter().for_each(KeptResult::taken);
                let stream = RunningStream {
                    answer,
                    call,
                    reserved,
                };
                return start_pump(gateway, generation, stream);
            }
        };
        log::info!(target: "generation", id:% = job.facts.request, decode:% = reserved.server(), failure:?; "stream not started");
        if !failure.is_not_run() {
            // The engine may have taken the result; it lapses if not.
            kept.take().into_iter().for_each(KeptResult::taken);
            return answer.unwrap_or_else(|| job.unknown_answer());
        }
        gateway.note_full(reserved.server());
        passed.push(reserved.server().clone());
    }
    job.refusal(gateway, RETURN_AFTER)
}

/// A decode engine that can be reached, from the reserved one on: one that is gone must not cost a prefill.
async fn reach_decode(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    first: StreamReservation,
    passed: &mut Vec<ServerName>,
) -> Option<(StreamReservation, ServerCall)> {
    let mut reserved = first;
    for _ in 0..MAX_DECODES {
        let server = reserved.server().clone();
        if !passed.contains(&server) {
            if let Some(call) = open_decode(gateway, generation, &server).await {
                return Some((reserved, call));
            }
            passed.push(server);
        }
        reserved = reserve_again(gateway, generation, passed)?;
    }
    None
}

/// Another decode engine with room.
pub(crate) fn reserve_again(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    passed: &[ServerName],
) -> Option<StreamReservation> {
    let facts = generation.facts.as_ref()?;
    let demand = generation.decode_demand();
    let service = &generation.demand.service;
    let server = gateway.with_view(|view| choose_decode(view, service, facts, demand, passed))?;
    let shape = generation.demand.shape;
    Some(StreamReservation::take(gateway, &server, shape))
}

async fn decode(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    call: ServerCall,
    sent: SentDecode<'_>,
) -> DecodeOutcome {
    let job = &generation.job;
    let server = sent.server;
    let left = job.answer_by().saturating_duration_since(Instant::now());
    let sent = send_decode(gateway, generation, call, sent);
    let (answer, call) = match tokio::time::timeout(left, sent).await {
        Ok(Ok(sent)) => sent,
        Ok(Err(error)) if error.is_not_sent() => {
            gateway.note_unreachable(server);
            return DecodeOutcome::Failed(AttemptFailure::NotSent, None);
        }
        Ok(Err(error)) => {
            log::info!(target: "generation", id:% = job.facts.request, decode:% = server, error:%; "stream broke before its head");
            gateway.note_answer(server, true);
            return DecodeOutcome::Failed(AttemptFailure::Unknown, None);
        }
        Err(_) => return DecodeOutcome::Failed(AttemptFailure::Unknown, None),
    };
    let (head, body) = answer.into_parts();
    match gateway.wire.judge_answer(&head, &job.facts.request) {
        AnswerVerdict::Success => {
            gateway.note_answer(server, false);
            DecodeOutcome::Streams(Response::from_parts(head, body), call)
        }
        AnswerVerdict::NotExecuted => {
            gateway.note_answer(server, true);
            DecodeOutcome::Failed(AttemptFailure::NotExecuted, None)
        }
        AnswerVerdict::Misdirected => {
            gateway.note_misdirected(server);
            DecodeOutcome::Failed(AttemptFailure::NotExecuted, None)
        }
        AnswerVerdict::Foreign => {
            gateway.note_answer(server, true);
            DecodeOutcome::Failed(AttemptFailure::Unknown, None)
        }
        AnswerVerdict::ServerFailure => {
            gateway.note_answer(server, true);
            let limit = job.answer_by().saturating_duration_since(Instant::now());
            let reading = ServerCall::read_whole(body, MAX_PREFILL_ANSWER);
            let whole = match tokio::time::timeout(limit, reading).await {
                Ok(Ok(whole)) if !is_promise(head.status) => whole,
                _ => return DecodeOutcome::Failed(AttemptFailure::ServerError, None),
            };
            let answer = server_answer(gateway, &head, whole);
            DecodeOutcome::Failed(AttemptFailure::ServerError, Some(answer))
        }
    }
}

/// Connects to a decode engine; `None` if it cannot be reached.
pub(crate) async fn open_decode(
    gateway: &Gateway,
    generation: &GenerationJob,
    server: &ServerName,
) -> Option<ServerCall> {
    let address = gateway.server_address(server)?;
    match ServerCall::open(address, CONNECT_LIMIT).await {
        Ok(call) => Some(call),
        Err(error) => {
            log::info!(target: "generation", id:% = generation.job.facts.request, decode:% = server, error:%; "engine not reached");
            gateway.note_unreachable(server);
            None
        }
    }
}

/// What a decode engine is asked.
#[derive(Clone, Copy)]
pub(crate) struct SentDecode<'a> {
    pub server: &'a ServerName,
    pub stage: SendStage<'a>,
    pub resume: Option<&'a ResumePoint>,
}

/// Sends a stream to a decode engine and waits for the head of its answer. The connection is opened anew if
/// it was closed while the prompt was read.
pub(crate) async fn send_decode(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    opened: ServerCall,
    sent: SentDecode<'_>,
) -> Result<(Response<Incoming>, ServerCall), CallError> {
    let job = &generation.job;
    let mut call = match opened.is_closed() {
        true => {
            let address = gateway.server_address(sent.server);
            let address = address.ok_or(CallError::ConnectTimeout(Duration::ZERO))?;
            ServerCall::open(address, CONNECT_LIMIT).await?
        }
        false => opened,
    };
    let order = ServerOrder {
        server: sent.server,
        stage: sent.stage,
        deadline: job.answer_by().saturating_duration_since(Instant::now()),
        priority: Some(generation.priority()),
        resume: sent.resume,
    };
    let request = job.server_request(gateway, &order);
    let answer = call.send(request).await?;
    Ok((answer, call))
}
