//! Runs prefills and holds their results until a decode engine claims them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{EngineSpec, ServerLoad, choose_prefill};
use gs_protocol::ids::ServerName;

use crate::capacity::ExchangeTimer;
use crate::connection::{CallError, ServerConnection};
use crate::crashes::ServerRun;
use crate::gateway::Gateway;
use crate::generation::GenerationJob;
use crate::release::release_result;
use crate::reservation::Reservation;
use crate::wire::{AnswerClass, ForwardOptions, KvSource, ServerTask};

/// Maximum number of engines tried for one prefill.
const MAX_PREFILL_ATTEMPTS: usize = 3;

/// Fraction of a prefill result's lifetime after which it is no longer used for a new attempt.
const RESULT_LIFETIME_FRACTION: f64 = 0.7;

/// Timeout of a prefill, in latency targets of its route.
const PREFILL_TIMEOUT_FACTOR: f64 = 1.0;

/// Maximum size of the answer to a prefill, in bytes; also that of a decode engine's error answer.
pub(crate) const MAX_PREFILL_ANSWER_BYTES: usize = 65_536;

/// A prefill result that no decode engine has claimed; dropping it releases it at its prefill engine.
pub(crate) struct UnclaimedResult {
    gateway: Rc<Gateway>,
    source: Option<KvSource>,
    created: Instant,
}

impl UnclaimedResult {
    /// Returns where the result is.
    pub fn source(&self) -> Option<&KvSource> {
        self.source.as_ref()
    }

    /// Drops the guard without releasing the result, because a decode engine has claimed it.
    pub fn claim(mut self) {
        self.source = None;
    }

    fn is_fresh(&self, engine: Option<&EngineSpec>) -> bool {
        let lifetime = engine.map_or(Duration::MAX, |engine| {
            engine.result_lifetime.mul_f64(RESULT_LIFETIME_FRACTION)
        });
        self.created.elapsed() < lifetime
    }
}

impl Drop for UnclaimedResult {
    fn drop(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        let call = self.gateway.wire.release_call(&source.handle);
        release_result(source.address, call);
    }
}

/// Every attempt to run the prefill failed.
pub(crate) struct PrefillFailed;

/// Returns the given result if it is still fresh, or else runs the prefill again. `None` if no prefill engine
/// is known, since a decode engine can process the prompt itself.
pub(crate) async fn ensure_result(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    decode: &ServerName,
    result: Option<UnclaimedResult>,
    is_retry: bool,
) -> Result<Option<UnclaimedResult>, PrefillFailed> {
    if result
        .as_ref()
        .is_some_and(|result| result.is_fresh(generation.engine.as_ref()))
    {
        return Ok(result);
    }
    drop(result);
    run_prefill(gateway, generation, decode, is_retry).await
}

async fn run_prefill(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    decode: &ServerName,
    mut is_retry: bool,
) -> Result<Option<UnclaimedResult>, PrefillFailed> {
    let service = &generation.demand.service;
    let mut excluded: Vec<ServerName> = Vec::new();
    for _ in 0..MAX_PREFILL_ATTEMPTS {
        let chosen =
            gateway.with_placement_view(|view| choose_prefill(view, service, decode, &excluded));
        let Some(server) = chosen else {
            return match excluded.is_empty() {
                true => Ok(None),
                false => Err(PrefillFailed),
            };
        };
        if is_retry && !gateway.spend_budget(service) {
            return Err(PrefillFailed);
        }
        let load = ServerLoad {
            requests: 1,
            prompt_tokens: u64::from(generation.demand.shape.held_tokens),
        };
        let _reservation = Reservation::acquire(gateway, &server, load);
        if gateway.start_refusal(&generation.job).is_some() {
            return Err(PrefillFailed);
        }
        let run = ServerRun::start(gateway, &generation.job, &server);
        let started = Instant::now();
        match try_prefill(gateway, generation, &server).await {
            Ok(result) => {
                run.discard();
                gateway.record_answer(&server, false);
                // An engine that is asked again may have cached the prompt.
                if !is_retry {
                    let took = gateway.usual_time(&server, started.elapsed());
                    gateway.update_prefill_estimate(service, load.prompt_tokens, took);
                }
                return Ok(Some(result));
            }
            Err(error) => {
                log::info!(target: "generation", id:% = generation.job.metadata.request_id, prefill:% = server, error:%, contents = generation.job.contents_text(); "prefill failed");
                match error.is_not_sent() {
                    true => gateway.record_not_sent(&server, &error),
                    false if gateway.is_paused(&server) => {}
                    false => gateway.record_answer(&server, true),
                }
                is_retry |= !error.is_not_sent();
                match error {
                    CallError::Broken(_) => run.lose().await,
                    CallError::AnswerTimeout(_) => drop(run),
                    _ => run.discard(),
                }
                excluded.push(server);
            }
        }
    }
    Err(PrefillFailed)
}

async fn try_prefill(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
    server: &ServerName,
) -> Result<UnclaimedResult, CallError> {
    let job = &generation.job;
    let address = gateway.server_address(server);
    let address = address.ok_or(CallError::ConnectTimeout(Duration::ZERO))?;
    let sent = gateway.note_sent(server);
    let left = job.answer_due().saturating_duration_since(Instant::now());
    let limit = left.min(job.rule.latency_target.mul_f64(PREFILL_TIMEOUT_FACTOR));
    let options = ForwardOptions {
        server,
        caller: &job.caller,
        task: ServerTask::Prefill,
        deadline: left,
        priority: Some(generation.priority()),
        resume: None,
    };
    let request = job.build_server_request(gateway, &options);
    job.quota.record_sent();
    let tokens = u64::from(generation.demand.shape.held_tokens);
    let exchange = async {
        let opening = Instant::now();
        let mut connection = gateway.open_server(address).await?;
        if gateway.start_refusal(job).is_some() {
            return Err(CallError::NotStarted);
        }
        let timer = ExchangeTimer::start(gateway, server, opening, tokens);
        let held = gateway.admit_body(server, job).await?;
        let answer = connection.send(request).await;
        held.settle(&answer);
        let (head, body) = answer?.into_parts();
        let body = ServerConnection::read_body(body, MAX_PREFILL_ANSWER_BYTES).await?;
        Ok((head, body, timer))
    };
    let answered = tokio::time::timeout(limit, exchange).await;
    let (head, body, timer) = answered.map_err(|_| CallError::AnswerTimeout(limit))??;
    let class = gateway.wire.classify_prefill(&head);
    gateway.record_notice(server, sent, class, &head);
    if class == AnswerClass::Misdirected {
        gateway.record_misdirected(server);
    }
    let result = match class {
        AnswerClass::Success => gateway.wire.parse_prefill(&body),
        _ => None,
    };
    let result = result.ok_or(CallError::Refused(head.status.as_u16()))?;
    timer.record_prefill(gateway, server, tokens);
    Ok(UnclaimedResult {
        gateway: Rc::clone(gateway),
        source: Some(KvSource {
            address,
            handle: result.handle,
        }),
        created: Instant::now(),
    })
}
