//! Orders engines to another stage, one entry at a time and each engine once.
//!
//! No holder of a lease is needed: a server's only order belongs to whoever claims the server, by an object
//! that can be made once. Two entries that both believe to be in charge cannot order the same server, and one
//! that was paused between its claim and its order is the only one that ever speaks to it.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    ServerEntry, ServerStage, StageMove, StreamShape, is_exact_reader, next_move,
};
use gs_protocol::ids::{EntryName, ServiceName};

use crate::call::fetch;
use crate::gateway::{Gateway, GatewayState};
use crate::wire::StageOrder;

/// How often the split of the engines is looked at.
const BALANCE_INTERVAL: Duration = Duration::from_millis(250);

/// How old a decision may be when its order is sent.
const MAX_DECISION_AGE: Duration = Duration::from_secs(1);

/// How long the answer to an order is waited for.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

/// How much longer than it says an engine may take to change, with the work that it ends before.
const SWITCH_MARGIN: Duration = Duration::from_secs(1);

/// How long nothing is claimed after a claim that failed; each one leaves a server that is not ordered again.
const CLAIM_FAILURE_PAUSE: Duration = Duration::from_secs(5);

/// Where the right to order a server is claimed.
pub trait ClaimStore {
    /// Why a claim failed.
    type Error: std::fmt::Display;

    /// Claims a server's only order: its fencing number, or nothing if it was claimed before. After an error
    /// it may have been claimed.
    fn claim(
        &self,
        stage_move: &StageMove,
    ) -> impl Future<Output = Result<Option<u64>, Self::Error>>;
}

/// Balances the stages until the process ends.
pub async fn run_stage_balancer(gateway: Rc<Gateway>, claims: impl ClaimStore) {
    while !gateway.is_stopping() {
        tokio::time::sleep(BALANCE_INTERVAL).await;
        while let Some((service, stage_move)) = gateway.next_stage_move() {
            let decided_at = Instant::now();
            let claimed = claims.claim(&stage_move).await;
            let is_failed = claimed.is_err();
            let may_change = match claimed {
                Ok(Some(fence)) if decided_at.elapsed() < MAX_DECISION_AGE => {
                    send_order(&gateway, &service, &stage_move, fence).await
                }
                Ok(Some(_)) => {
                    log::info!(target: "stages", server:% = stage_move.server, age_ms = decided_at.elapsed().as_millis() as u64; "order dropped: decided too long ago");
                    false
                }
                Ok(None) => {
                    log::info!(target: "stages", server:% = stage_move.server; "order dropped: another entry has it");
                    true
                }
                Err(error) => {
                    log::info!(target: "stages", server:% = stage_move.server, error:%; "order dropped: not claimed");
                    false
                }
            };
            let stage = may_change.then_some(stage_move.stage);
            {
                let mut state = gateway.state.borrow_mut();
                state.stage_orders.insert(stage_move.server, stage);
            }
            if is_failed {
                tokio::time::sleep(CLAIM_FAILURE_PAUSE).await;
            }
        }
    }
}

/// Sends an order; whether the engine may change its stage.
async fn send_order(
    gateway: &Rc<Gateway>,
    service: &ServiceName,
    stage_move: &StageMove,
    fence: u64,
) -> bool {
    let Some(address) = gateway.server_address(&stage_move.server) else {
        return false;
    };
    let StageMove { server, stage } = stage_move;
    let request = gateway.wire.stage_request(&StageOrder {
        server,
        address,
        stage: *stage,
        holder: &gateway.settings.own.identity.entry,
        fence,
    });
    // Peers hear of it before the engine does, as it runs nothing from then on.
    let switch_time = gateway.mark_switching(service, stage_move);
    let answered = fetch(address, request, ORDER_TIMEOUT, MAX_ANSWER_BYTES).await;
    match answered {
        Ok(answer) => {
            log::info!(target: "stages", server:%, stage:?, fence, status = answer.status().as_u16(), busy_ms = switch_time.as_millis() as u64; "order answered");
            let is_accepted = answer.status().is_success();
            if !is_accepted {
                gateway.clear_switching(stage_move);
            }
            is_accepted
        }
        Err(error) => {
            log::info!(target: "stages", server:%, stage:?, fence, error:%; "order not answered: it may be carried out yet");
            true
        }
    }
}

impl Gateway {
    /// Takes in what a stream that was asked for needs.
    pub(crate) fn update_stream_estimate(&self, service: &ServiceName, shape: StreamShape) {
        let mut state = self.state.borrow_mut();
        let estimate = state.stage_estimates.entry(service.clone()).or_default();
        estimate.learn_stream(shape);
    }

    /// Takes in how long an engine has read a prompt.
    pub(crate) fn update_prefill_estimate(
        &self,
        service: &ServiceName,
        tokens: u64,
        took: Duration,
    ) {
        let mut state = self.state.borrow_mut();
        let estimate = state.stage_estimates.entry(service.clone()).or_default();
        estimate.learn_prefill(tokens, took);
    }

    /// The next engine to change, if this entry is the one that decides it.
    fn next_stage_move(&self) -> Option<(ServiceName, StageMove)> {
        let guard = self.state.borrow();
        let GatewayState {
            table,
            directory,
            loads,
            membership,
            stage_estimates,
            mean_stream_seconds,
            stage_orders,
            ..
        } = &*guard;
        let others: Vec<EntryName> = membership
            .usable()
            .into_iter()
            .map(|member| member.name)
            .collect();
        if !is_exact_reader(&self.settings.own.identity.entry, &others, 1) {
            return None;
        }
        let now = Instant::now();
        let table = table.as_ref()?;
        stage_estimates.iter().find_map(|(service, estimate)| {
            let facts = table.service(service)?.engine.as_ref()?;
            // Engines that do not say how long a change takes cannot be ordered.
            facts.stage_switch?;
            let need = estimate.need(facts.memory_tokens, *mean_stream_seconds)?;
            let mut moving = loads.switching(now);
            // Until the registry shows its new stage, an engine may be ordered but not changed yet.
            moving.extend(stage_orders.iter().filter_map(|(server, stage)| {
                let entry = directory.get(server)?;
                let stage = stage.filter(|stage| entry.stage != Some(*stage))?;
                Some((server.clone(), stage))
            }));
            moving.retain(|server, _| {
                directory
                    .get(server)
                    .is_some_and(|entry| entry.service == *service)
            });
            let usable = |stage| directory.usable(now, service, Some(stage));
            let settled: Vec<&ServerEntry> = usable(ServerStage::Prefill)
                .chain(usable(ServerStage::Decode))
                .filter(|entry| !moving.contains_key(&entry.name))
                .collect();
            let movable = |entry: &ServerEntry| {
                !stage_orders.contains_key(&entry.name) && !loads.is_avoided(now, entry)
            };
            let stage_move = next_move(need, &settled, movable, &moving)?;
            log::info!(target: "stages", server:% = stage_move.server, stage:? = stage_move.stage, need:?, settled = settled.len(), moving = moving.len(); "the split of the engines is off");
            Some((service.clone(), stage_move))
        })
    }

    /// Counts an engine as changing; returns for how long.
    fn mark_switching(&self, service: &ServiceName, stage_move: &StageMove) -> Duration {
        let mut state = self.state.borrow_mut();
        let facts = state
            .table
            .as_ref()
            .and_then(|table| table.service(service));
        let engine = facts.and_then(|facts| facts.engine.as_ref());
        let switch = engine.and_then(|engine| engine.stage_switch);
        let switch_time = switch.unwrap_or_default() + SWITCH_MARGIN;
        let until = Instant::now() + switch_time;
        state
            .loads
            .note_switching(&stage_move.server, stage_move.stage, until);
        drop(state);
        self.report_changed.notify_one();
        switch_time
    }

    /// The engine does not change.
    fn clear_switching(&self, stage_move: &StageMove) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state
            .loads
            .note_switching(&stage_move.server, stage_move.stage, now);
        drop(state);
        self.report_changed.notify_one();
    }
}
