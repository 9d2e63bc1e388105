//! Orders engines to another stage: one entry at a time decides, and each engine is ordered at most once.
//!
//! This needs no lease. The only order of a server belongs to the entry that claims the server, by creating
//! an object that can be created only once. Two entries that both consider themselves in charge cannot order
//! the same server, and an entry that was paused between its claim and its order has no competitor for that
//! server.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    ListedServer, ServerStage, StageChange, StreamShape, is_exact_reader, next_stage_change,
};
use gs_protocol::ids::{EntryName, ServiceName};
use hyper::StatusCode;

use crate::connection::fetch;
use crate::gateway::{Gateway, GatewayState};
use crate::wire::{AnswerClass, StageOrder};

/// Interval between checks of the balance between prefill and decode engines.
const BALANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of a decision when its order is sent.
const MAX_DECISION_AGE: Duration = Duration::from_secs(1);

/// Timeout for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of the answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

/// Time added to the declared stage change time of an engine, for the work that it completes first.
const STAGE_CHANGE_MARGIN: Duration = Duration::from_secs(1);

/// Pause after a failed claim. Each failed claim leaves a server that this entry does not order again, so an
/// outage of the store must not use up all servers.
const CLAIM_FAILURE_PAUSE: Duration = Duration::from_secs(5);

/// Store in which an entry claims the right to order a server.
pub trait ClaimStore {
    /// Error of a failed claim.
    type Error: std::fmt::Display;

    /// Claims the only order of a server. Returns its fencing number, or `None` if the order was claimed before.
    /// After an error the claim may or may not have taken effect.
    fn claim(&self, order: &StageChange) -> impl Future<Output = Result<Option<u64>, Self::Error>>;
}

/// Balances the prefill and decode engines of each service until the shutdown begins.
pub async fn run_stage_balancer(gateway: Rc<Gateway>, claims: impl ClaimStore) {
    while !gateway.is_stopping() {
        tokio::time::sleep(BALANCE_INTERVAL).await;
        while let Some((service, order)) = gateway.next_order() {
            let decided_at = Instant::now();
            let claimed = claims.claim(&order).await;
            let is_failed = claimed.is_err();
            let may_change = match claimed {
                Ok(Some(fence)) if decided_at.elapsed() < MAX_DECISION_AGE => {
                    send_order(&gateway, &service, &order, fence).await
                }
                Ok(Some(_)) => {
                    log::info!(target: "stages", server:% = order.server, age_ms = decided_at.elapsed().as_millis() as u64; "order dropped: the decision is too old");
                    false
                }
                Ok(None) => {
                    log::info!(target: "stages", server:% = order.server; "order dropped: claimed by another entry");
                    true
                }
                Err(error) => {
                    log::info!(target: "stages", server:% = order.server, error:%; "order dropped: claim failed");
                    false
                }
            };
            let stage = may_change.then_some(order.stage);
            {
                let mut state = gateway.state.borrow_mut();
                state.stage_orders.insert(order.server, stage);
            }
            if is_failed {
                tokio::time::sleep(CLAIM_FAILURE_PAUSE).await;
            }
        }
    }
}

/// Sends an order. Returns whether the engine may change its stage.
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
    // Peers are informed before the engine, since the engine runs nothing while it changes its stage.
    let change_time = gateway.mark_changing(service, order);
    let sent = gateway.note_sent(server);
    let answered = fetch(address, request, ORDER_TIMEOUT, MAX_ANSWER_BYTES).await;
    match answered {
        Ok(answer) => {
            let (answer, _body) = answer.into_parts();
            let class = match answer.status {
                StatusCode::MISDIRECTED_REQUEST => AnswerClass::Misdirected,
                _ => AnswerClass::Success,
            };
            gateway.record_notice(server, sent, class, &answer);
            log::info!(target: "stages", server:%, stage:?, fence, status = answer.status.as_u16(), busy_ms = change_time.as_millis() as u64; "order answered");
            let is_accepted = answer.status.is_success();
            if !is_accepted {
                gateway.clear_changing(order);
            }
            is_accepted
        }
        Err(error) => {
            log::info!(target: "stages", server:%, stage:?, fence, error:%; "no answer to the order: it may still be executed");
            true
        }
    }
}

impl Gateway {
    /// Adds the size of a requested stream to the estimate of its service.
    pub(crate) fn update_stream_estimate(&self, service: &ServiceName, shape: StreamShape) {
        let mut state = self.state.borrow_mut();
        let estimate = state.stage_estimates.entry(service.clone()).or_default();
        estimate.record_stream(shape);
    }

    /// Adds the duration of a prefill of `tokens` prompt tokens to the estimate of its service.
    pub(crate) fn update_prefill_estimate(
        &self,
        service: &ServiceName,
        tokens: u64,
        took: Duration,
    ) {
        let mut state = self.state.borrow_mut();
        let estimate = state.stage_estimates.entry(service.clone()).or_default();
        estimate.record_prefill(tokens, took);
    }

    /// Returns the next order to an engine, if this entry is the one that decides.
    fn next_order(&self) -> Option<(ServiceName, StageChange)> {
        let guard = self.state.borrow();
        let GatewayState {
            table,
            directory,
            loads,
            membership,
            stage_estimates,
            mean_stream_seconds,
            stage_orders,
            registry,
            capacity,
            ..
        } = &*guard;
        let now = Instant::now();
        if registry.may_lack_claims(now) {
            return None;
        }
        let others: Vec<EntryName> = membership
            .usable_entries()
            .into_iter()
            .map(|member| member.name)
            .collect();
        // Entries with the same member list agree on the single exact reader, which decides for the fleet.
        if !is_exact_reader(&self.settings.own.identity.entry, &others, 1) {
            return None;
        }
        let table = table.as_ref()?;
        stage_estimates.iter().find_map(|(service, estimate)| {
            let engine = table.service(service)?.engine.as_ref()?;
            // Engines without a declared stage change time cannot be ordered.
            engine.stage_change_time?;
            let need = estimate.need(engine.memory_tokens, *mean_stream_seconds)?;
            let mut changing = loads.stage_changes(now);
            // An engine that was ordered counts as changing until the registry shows its new stage.
            changing.extend(stage_orders.iter().filter_map(|(server, stage)| {
                let listed = directory.get(server)?;
                let stage = stage.filter(|stage| listed.stage != Some(*stage))?;
                Some((server.clone(), stage))
            }));
            changing.retain(|server, _| {
                directory
                    .get(server)
                    .is_some_and(|listed| listed.service == *service)
            });
            let usable = |stage| directory.usable_servers(now, service, Some(stage));
            let settled: Vec<&ListedServer> = usable(ServerStage::Prefill)
                .chain(usable(ServerStage::Decode))
                .filter(|engine| !changing.contains_key(&engine.name))
                .collect();
            let can_change = |engine: &ListedServer| {
                !stage_orders.contains_key(&engine.name) && !loads.is_unavailable(now, engine)
            };
            let order = next_stage_change(need, &settled, can_change, &changing, capacity)?;
            log::info!(target: "stages", server:% = order.server, stage:? = order.stage, need:?, settled = settled.len(), moving = changing.len(); "engines are unbalanced: changing the stage of one");
            Some((service.clone(), order))
        })
    }

    /// Marks an engine as changing its stage in the load report; returns the time that this is assumed to take.
    fn mark_changing(&self, service: &ServiceName, order: &StageChange) -> Duration {
        let mut state = self.state.borrow_mut();
        let service_spec = state
            .table
            .as_ref()
            .and_then(|table| table.service(service));
        let engine = service_spec.and_then(|spec| spec.engine.as_ref());
        let declared_time = engine.and_then(|engine| engine.stage_change_time);
        let change_time = declared_time.unwrap_or_default() + STAGE_CHANGE_MARGIN;
        let until = Instant::now() + change_time;
        state
            .loads
            .record_stage_change(&order.server, order.stage, until);
        drop(state);
        self.report_changed.notify_one();
        change_time
    }

    /// Unmarks an engine that rejected its order.
    fn clear_changing(&self, order: &StageChange) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state
            .loads
            .record_stage_change(&order.server, order.stage, now);
        drop(state);
        self.report_changed.notify_one();
    }
}
