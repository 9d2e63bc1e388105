//! Orders engines to another stage, one entry at a time and each engine once.
//!
//! No holder of a lease is needed: a server's only order belongs to whoever claims the server, by an object
//! that can be made once. Two entries that both believe to be in charge cannot order the same server, and one
//! that was paused between its claim and its order is the only one that ever speaks to it.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    ListedServer, ServerStage, StageChange, StreamShape, is_exact_reader, next_stage_change,
};
use gs_protocol::ids::{EntryName, ServiceName};

use crate::call::fetch;
use crate::gateway::{Gateway, GatewayState};
use crate::wire::StageOrder;

/// How often the split of the engines is looked at.
const STAGE_TICK: Duration = Duration::from_millis(250);

/// How old a decision may be when its order is sent.
const DECISION_LIFE: Duration = Duration::from_secs(1);

/// How long the answer to an order is waited for.
const ORDER_LIMIT: Duration = Duration::from_millis(1_500);

/// The longest answer to an order, in bytes.
const MAX_ANSWER: usize = 65_536;

/// How much longer than it says an engine may take to change, with the work that it ends before.
const SWITCH_SLACK: Duration = Duration::from_secs(1);

/// How long nothing is claimed after a claim that failed; each one leaves a server that is not ordered again.
const CLAIM_PAUSE: Duration = Duration::from_secs(5);

/// Where the right to order a server is claimed.
pub trait OrderDesk {
    /// Why a claim failed.
    type Error: std::fmt::Display;

    /// Claims a server's only order: its fencing number, or nothing if it was claimed before. After an error
    /// it may have been claimed.
    fn claim(&self, order: &StageChange) -> impl Future<Output = Result<Option<u64>, Self::Error>>;
}

/// Balances the stages until the process ends.
pub async fn run_stages(gateway: Rc<Gateway>, desk: impl OrderDesk) {
    while !gateway.is_stopping() {
        tokio::time::sleep(STAGE_TICK).await;
        while let Some((service, order)) = gateway.next_stage_move() {
            let decided = Instant::now();
            let claimed = desk.claim(&order).await;
            let is_failed = claimed.is_err();
            let may_change = match claimed {
                Ok(Some(fence)) if decided.elapsed() < DECISION_LIFE => {
                    send_order(&gateway, &service, &order, fence).await
                }
                Ok(Some(_)) => {
                    log::info!(target: "stages", server:% = order.server, age_ms = decided.elapsed().as_millis() as u64; "order dropped: decided too long ago");
                    false
                }
                Ok(None) => {
                    log::info!(target: "stages", server:% = order.server; "order dropped: another entry has it");
                    true
                }
                Err(error) => {
                    log::info!(target: "stages", server:% = order.server, error:%; "order dropped: not claimed");
                    false
                }
            };
            let stage = may_change.then_some(order.stage);
            {
                let mut state = gateway.state.borrow_mut();
                state.ordered.insert(order.server, stage);
            }
            if is_failed {
                tokio::time::sleep(CLAIM_PAUSE).await;
            }
        }
    }
}

/// Sends an order; whether the engine may change its stage.
async fn send_order(
    gateway: &Rc<Gateway>,
    service: &ServiceName,
    order: &StageChange,
    fence: u64,
) -> bool {
    let Some(address) = gateway.server_address(&order.server) else {
        return false;
    };
    let StageChange { server, stage } = order;
    let request = gateway.wire.stage_request(&StageOrder {
        server,
        address,
        stage: *stage,
        holder: &gateway.settings.own.identity.entry,
        fence,
    });
    // Peers hear of it before the engine does, as it runs nothing from then on.
    let busy = gateway.note_switching(service, order);
    let answered = fetch(address, request, ORDER_LIMIT, MAX_ANSWER).await;
    match answered {
        Ok(answer) => {
            log::info!(target: "stages", server:%, stage:?, fence, status = answer.status().as_u16(), busy_ms = busy.as_millis() as u64; "order answered");
            let is_accepted = answer.status().is_success();
            if !is_accepted {
                gateway.note_not_switching(order);
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
    pub(crate) fn learn_stream(&self, service: &ServiceName, shape: StreamShape) {
        let mut state = self.state.borrow_mut();
        let estimate = state.stages.entry(service.clone()).or_default();
        estimate.record_stream(shape);
    }

    /// Takes in how long an engine has read a prompt.
    pub(crate) fn learn_prefill(&self, service: &ServiceName, tokens: u64, took: Duration) {
        let mut state = self.state.borrow_mut();
        let estimate = state.stages.entry(service.clone()).or_default();
        estimate.record_prefill(tokens, took);
    }

    /// The next engine to change, if this entry is the one that decides it.
    fn next_stage_move(&self) -> Option<(ServiceName, StageChange)> {
        let guard = self.state.borrow();
        let GatewayState {
            table,
            directory,
            loads,
            membership,
            stages,
            stream_seconds,
            ordered,
            ..
        } = &*guard;
        let others: Vec<EntryName> = membership
            .usable_entries()
            .into_iter()
            .map(|member| member.name)
            .collect();
        if !is_exact_reader(&self.settings.own.identity.entry, &others, 1) {
            return None;
        }
        let now = Instant::now();
        let table = table.as_ref()?;
        stages.iter().find_map(|(service, estimate)| {
            let facts = table.service(service)?.engine.as_ref()?;
            // Engines that do not say how long a change takes cannot be ordered.
            facts.stage_change_time?;
            let need = estimate.need(facts.memory_tokens, *stream_seconds)?;
            let mut moving = loads.stage_changes(now);
            // Until the registry shows its new stage, an engine may be ordered but not changed yet.
            moving.extend(ordered.iter().filter_map(|(server, stage)| {
                let entry = directory.get(server)?;
                let stage = stage.filter(|stage| entry.stage != Some(*stage))?;
                Some((server.clone(), stage))
            }));
            moving.retain(|server, _| {
                directory
                    .get(server)
                    .is_some_and(|entry| entry.service == *service)
            });
            let usable = |stage| directory.usable_servers(now, service, Some(stage));
            let settled: Vec<&ListedServer> = usable(ServerStage::Prefill)
                .chain(usable(ServerStage::Decode))
                .filter(|entry| !moving.contains_key(&entry.name))
                .collect();
            let movable = |entry: &ListedServer| {
                !ordered.contains_key(&entry.name) && !loads.is_unavailable(now, entry)
            };
            let order = next_stage_change(need, &settled, movable, &moving)?;
            log::info!(target: "stages", server:% = order.server, stage:? = order.stage, need:?, settled = settled.len(), moving = moving.len(); "the split of the engines is off");
            Some((service.clone(), order))
        })
    }

    /// Counts an engine as changing; returns for how long.
    fn note_switching(&self, service: &ServiceName, order: &StageChange) -> Duration {
        let mut state = self.state.borrow_mut();
        let facts = state
            .table
            .as_ref()
            .and_then(|table| table.service(service));
        let engine = facts.and_then(|facts| facts.engine.as_ref());
        let switch = engine.and_then(|engine| engine.stage_change_time);
        let busy = switch.unwrap_or_default() + SWITCH_SLACK;
        let until = Instant::now() + busy;
        state
            .loads
            .record_stage_change(&order.server, order.stage, until);
        drop(state);
        self.streams_changed.notify_one();
        busy
    }

    /// The engine does not change.
    fn note_not_switching(&self, order: &StageChange) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state
            .loads
            .record_stage_change(&order.server, order.stage, now);
        drop(state);
        self.streams_changed.notify_one();
    }
}
