//! Has prompts read at prefill engines, and keeps the results until a decode engine takes them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{EngineSpec, ServerLoad, choose_prefill};
use gs_protocol::ids::ServerName;

use crate::call::{CallError, ServerCall};
use crate::gateway::Gateway;
use crate::generation::GenerationJob;
use crate::give_back::give_back;
use crate::plain::CONNECT_LIMIT;
use crate::reservation::Reservation;
use crate::wire::{AnswerVerdict, KvSource, SendStage, ServerOrder};

/// Engines that a prefill is tried at.
const MAX_PREFILLS: usize = 3;

/// Part of a prefill result's life after which it is not relied on.
const RESULT_PART: f64 = 0.7;

/// How long a prefill may take, in latency targets of its route.
const PREFILL_TARGETS: f64 = 1.0;

/// The longest answer to a prefill, in bytes.
pub(crate) const MAX_PREFILL_ANSWER: usize = 65_536;

/// A prefill's result that nobody has taken; dropping it frees it at its engine.
pub(crate) struct KeptResult {
    gateway: Rc<Gateway>,
    pub source: Option<KvSource>,
    made: Instant,
}

impl KeptResult {
    /// The result was taken by a decode engine.
    pub fn taken(mut self) {
        self.source = None;
    }

    fn is_fresh(&self, facts: Option<&EngineSpec>) -> bool {
        let life = facts.map_or(Duration::MAX, |facts| {
            facts.result_lifetime.mul_f64(RESULT_PART)
        });
        self.made.elapsed() < life
    }
}

impl Drop for KeptResult {
    fn drop(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        let call = self.gateway.wire.free_call(&source.handle);
        give_back(source.address, call);
    }
}

/// The prompt was tried to be read and was not.
pub(crate) struct PrefillFailed;

/// The prefill's result, read anew if there is none that can be relied on; none if no prefill engine is known,
/// as a decode engine can read the prompt itself.
pub(crate) async fn fresh_result(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    decode: &ServerName,
    kept: Option<KeptResult>,
    is_counted: bool,
) -> Result<Option<KeptResult>, PrefillFailed> {
    if kept
        .as_ref()
        .is_some_and(|kept| kept.is_fresh(generation.facts.as_ref()))
    {
        return Ok(kept);
    }
    drop(kept);
    prefill(gateway, generation, decode, is_counted).await
}

async fn prefill(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    decode: &ServerName,
    mut is_counted: bool,
) -> Result<Option<KeptResult>, PrefillFailed> {
    let service = &generation.demand.service;
    let mut passed: Vec<ServerName> = Vec::new();
    for _ in 0..MAX_PREFILLS {
        let chosen = gateway.with_view(|view| choose_prefill(view, service, decode, &passed));
        let Some(server) = chosen else {
            return match passed.is_empty() {
                true => Ok(None),
                false => Err(PrefillFailed),
            };
        };
        if is_counted && !gateway.spend_budget(service) {
            return Err(PrefillFailed);
        }
        let load = ServerLoad {
            requests: 1,
            prompt_tokens: u64::from(generation.demand.shape.held_tokens),
        };
        let _reserved = Reservation::take(gateway, &server, load);
        let began = Instant::now();
        match try_prefill(gateway, generation, &server).await {
            Ok(kept) => {
                gateway.note_answer(&server, false);
                gateway.learn_prefill(service, load.prompt_tokens, began.elapsed());
                return Ok(Some(kept));
            }
            Err(error) => {
                log::info!(target: "generation", id:% = generation.job.facts.request, prefill:% = server, error:%; "prefill failed");
                match error.is_not_sent() {
                    true => gateway.note_unreachable(&server),
                    false => gateway.note_answer(&server, true),
                }
                is_counted |= !error.is_not_sent();
                passed.push(server);
            }
        }
    }
    Err(PrefillFailed)
}

async fn try_prefill(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    server: &ServerName,
) -> Result<KeptResult, CallError> {
    let job = &generation.job;
    let address = gateway.server_address(server);
    let address = address.ok_or(CallError::ConnectTimeout(Duration::ZERO))?;
    let left = job.answer_by().saturating_duration_since(Instant::now());
    let limit = left.min(job.rule.latency_target.mul_f64(PREFILL_TARGETS));
    let order = ServerOrder {
        server,
        stage: SendStage::Prefill,
        deadline: left,
        priority: Some(generation.priority()),
        resume: None,
    };
    let request = job.server_request(gateway, &order);
    let exchange = async {
        let mut call = ServerCall::open(address, CONNECT_LIMIT).await?;
        let (head, body) = call.send(request).await?.into_parts();
        let body = ServerCall::read_whole(body, MAX_PREFILL_ANSWER).await?;
        Ok((head, body))
    };
    let answered = tokio::time::timeout(limit, exchange).await;
    let (head, body) = answered.map_err(|_| CallError::AnswerTimeout(limit))??;
    let verdict = gateway.wire.judge_prefill(&head);
    if verdict == AnswerVerdict::Misdirected {
        gateway.note_misdirected(server);
    }
    let result = match verdict {
        AnswerVerdict::Success => gateway.wire.read_prefill(&body),
        _ => None,
    };
    let result = result.ok_or(CallError::Refused(head.status.as_u16()))?;
    Ok(KeptResult {
        gateway: Rc::clone(gateway),
        source: Some(KvSource {
            address,
            handle: result.handle,
        }),
        made: Instant::now(),
    })
}
