//! Orders the requests of workspaces, and holds plain requests back while all servers of their service are at
//! their slots. `gs_control::forwarding` decides; this executes the decisions.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionQueue, CallerOrder, FreeServer, HeldRequest, PlacementView, PlainDecision,
    PlainEffect, PlainPlacement, PlainQueue, PlainSettings, QuotaTracker, RecentUsage,
    RequestCaller, ServerLoad, ServiceCapacity, ShareScale, TicketId, WorkspaceSpec,
    choose_free_server, choose_server, service_capacity,
};
use gs_protocol::ids::{ServerName, ServiceName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use crate::gateway::{Gateway, GatewayState};
use crate::plain::{DEFAULT_RETRY_AFTER, ForwardJob};
use crate::reservation::Reservation;

/// Cost of a request on a public route, which belongs to no workspace.
const PUBLIC_COST: u64 = 1;

/// Number of workspaces whose conversion factors are kept; more can only have come by many configurations.
const MAX_FACTORS: usize = 16_384;

/// Decision on a held request, sent to its task.
#[derive(Debug)]
pub(crate) enum HoldOutcome {
    /// The request is sent to the server of the reservation.
    Send(ServerName, Reservation),
    /// The request is sent although all servers are known to have long queues.
    SendAnyway,
    /// No server takes requests.
    NoServer,
    /// The request is refused; the client should retry after this time.
    Refused(Duration),
}

/// What workspaces were served recently.
#[derive(Default)]
pub(crate) struct WorkspaceShares {
    usage: RecentUsage,
    scale: ShareScale,
    /// The share that a cost of 1 corresponds to, by workspace.
    factors: BTreeMap<String, f64>,
}

impl WorkspaceShares {
    /// Returns a workspace's share of recent service: that of the fleet as far as entries report it, or else
    /// that of this entry.
    pub fn share(&self, now: Instant, quotas: &QuotaTracker, workspace: &str) -> f64 {
        let own_cost = self.usage.recent_cost(now, workspace);
        let recent_cost = own_cost.max(quotas.recent_cost(now, workspace));
        recent_cost * self.factors.get(workspace).copied().unwrap_or_default()
    }

    /// Orders the waiting streams by the shares of their workspaces.
    pub fn refresh(&self, now: Instant, quotas: &QuotaTracker, queue: &mut AdmissionQueue) {
        queue.refresh_shares(now, |workspace| self.share(now, quotas, workspace));
    }

    /// Returns the share that a cost of 1 corresponds to, and keeps it for [`Self::share`].
    fn factor(&mut self, workspace: &str, spec: Option<&WorkspaceSpec>) -> f64 {
        let factor = self.scale.factor(spec);
        if self.factors.len() >= MAX_FACTORS {
            self.factors.clear();
        }
        self.factors.insert(workspace.to_owned(), factor);
        factor
    }
}

/// What the order of requests goes by, and the plain requests that are held back.
pub(crate) struct SchedulingState {
    pub plain: PlainQueue,
    pub shares: WorkspaceShares,
    waiters: BTreeMap<TicketId, oneshot::Sender<HoldOutcome>>,
}

impl Default for SchedulingState {
    fn default() -> Self {
        Self {
            plain: PlainQueue::new(PlainSettings::default()),
            shares: WorkspaceShares::default(),
            waiters: BTreeMap::new(),
        }
    }
}

/// Returns the workspace's name that the usage of a request counts for, and its cost.
fn usage_of(job: &ForwardJob) -> Option<(&str, u64)> {
    let tokens = job.metadata.generation;
    let tokens = tokens.map(|params| params.prompt_tokens + params.max_output_tokens);
    match &job.caller {
        RequestCaller::Unscoped => None,
        RequestCaller::Public => Some(("", PUBLIC_COST)),
        RequestCaller::Workspace(workspace) => Some((&workspace.name, workspace.unit.cost(tokens))),
    }
}

/// A server for a plain request, or why there is none.
pub(crate) enum TakenServer {
    /// The server, and the slot if it is taken already.
    Server(ServerName, Option<Reservation>),
    /// No server takes requests.
    NoServer,
    /// The request is refused; the client should retry after this time.
    Refused(Duration),
}

/// Removes a held request from the queue when its request is dropped.
struct HoldGuard {
    gateway: Rc<Gateway>,
    ticket: TicketId,
}

impl Drop for HoldGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        state.scheduling.plain.withdraw(self.ticket);
        state.scheduling.waiters.remove(&self.ticket);
    }
}

/// Finds a server for a plain request. Where the configuration has workspaces, a request that no server may
/// have run is held back while all servers have long queues.
pub(crate) async fn take_server(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    tried: &[ServerName],
    may_have_run: bool,
) -> TakenServer {
    let Some(order) = gateway.caller_order(job, job.body.len() as u64) else {
        return any_server(gateway, job, tried);
    };
    let free = gateway.with_placement_view(|view| choose_free_server(view, &job.service, tried));
    let holds_any = {
        let state = gateway.state.borrow();
        state.scheduling.plain.holds_any(&job.service)
    };
    match free {
        FreeServer::NoServer => TakenServer::NoServer,
        FreeServer::Free(server) if may_have_run || !holds_any => {
            gateway.record_passed(job, &order);
            TakenServer::Server(server, None)
        }
        FreeServer::Full if may_have_run => any_server(gateway, job, tried),
        FreeServer::Free(_) | FreeServer::Full => hold(gateway, job, order, tried).await,
    }
}

/// Returns the server with the lowest cost, whether or not it has a free slot.
fn any_server(gateway: &Gateway, job: &ForwardJob, tried: &[ServerName]) -> TakenServer {
    let chosen = gateway.with_placement_view(|view| choose_server(view, &job.service, tried));
    chosen.map_or(TakenServer::NoServer, |server| {
        TakenServer::Server(server, None)
    })
}

/// Holds a request until a server has a free slot or it is refused.
async fn hold(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    order: CallerOrder,
    tried: &[ServerName],
) -> TakenServer {
    let id = &job.metadata.request_id;
    let (rank, workspace) = (order.rank, order.workspace.clone());
    let (decision, held) = gateway.offer_plain(job, order, tried);
    let (ticket, receiver) = match decision {
        Ok(queued) => queued,
        Err(retry_after) => {
            log::info!(target: "scheduling", id:%, route = job.rule.name, workspace, rank, held, retry_ms = retry_after.as_millis() as u64; "refused: all servers have long queues and the wait is too long");
            return TakenServer::Refused(retry_after);
        }
    };
    let _guard = HoldGuard {
        gateway: Rc::clone(gateway),
        ticket,
    };
    log::debug!(target: "scheduling", id:%, route = job.rule.name, workspace, rank, held; "held: all servers have long queues");
    gateway.advance_plain();
    let outcome = tokio::select! {
        biased;
        outcome = receiver => outcome.ok(),
        () = tokio::time::sleep_until(job.answer_due().into()) => None,
    };
    let waited_ms = job.arrived.elapsed().as_millis() as u64;
    match outcome {
        Some(HoldOutcome::Send(server, reservation)) => {
            log::info!(target: "scheduling", id:%, route = job.rule.name, workspace, rank, server:%, waited_ms; "a slot became free for a held request");
            leave_queue(gateway, job, || {
                TakenServer::Server(server, Some(reservation))
            })
        }
        Some(HoldOutcome::SendAnyway) => {
            log::info!(target: "scheduling", id:%, route = job.rule.name, workspace, rank, waited_ms; "no slot became free in time: sent since no server runs a request of this entry");
            leave_queue(gateway, job, || any_server(gateway, job, tried))
        }
        Some(HoldOutcome::NoServer) => TakenServer::NoServer,
        Some(HoldOutcome::Refused(retry_after)) => {
            log::info!(target: "scheduling", id:%, route = job.rule.name, workspace, rank, waited_ms, retry_ms = retry_after.as_millis() as u64; "refused: no slot became free in time");
            TakenServer::Refused(retry_after)
        }
        None => TakenServer::Refused(DEFAULT_RETRY_AFTER),
    }
}

/// Takes a server for a request that leaves the queue, unless it may not be sent any more.
fn leave_queue(
    gateway: &Gateway,
    job: &ForwardJob,
    take: impl FnOnce() -> TakenServer,
) -> TakenServer {
    if let Some(retry_after) = gateway.leave_refusal(job) {
        return TakenServer::Refused(retry_after);
    }
    gateway.record_usage(job);
    take()
}

/// Where the decision on a held request arrives.
type HoldReceiver = oneshot::Receiver<HoldOutcome>;

impl Gateway {
    /// Returns what decides the place of a request among others; `None` where the configuration has no
    /// workspaces.
    pub(crate) fn caller_order(&self, job: &ForwardJob, size: u64) -> Option<CallerOrder> {
        let (workspace, cost) = usage_of(job)?;
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let (shares, quotas) = (&mut state.scheduling.shares, &state.quotas.tracker);
        let spec = job.caller.workspace().map(AsRef::as_ref);
        let factor = shares.factor(workspace, spec);
        Some(CallerOrder {
            rank: job.rank(),
            workspace: workspace.to_owned(),
            route: job.rule.name.clone(),
            share: shares.share(now, quotas, workspace),
            increment: cost as f64 * factor,
            size,
            gives_up_at: job
                .metadata
                .deadline
                .and_then(|deadline| job.arrived.checked_add(deadline)),
            has_waited: false,
        })
    }

    /// Counts the cost of a request that is sent to a server as recent usage of its workspace.
    pub(crate) fn record_usage(&self, job: &ForwardJob) {
        let Some((workspace, cost)) = usage_of(job) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let shares = &mut state.scheduling.shares;
        let spec = job.caller.workspace().map(AsRef::as_ref);
        shares.scale.record(spec, cost as f64);
        shares.usage.record(Instant::now(), workspace, cost as f64);
    }

    /// Counts a request that is sent without being held.
    fn record_passed(&self, job: &ForwardJob, order: &CallerOrder) {
        {
            let mut state = self.state.borrow_mut();
            state.scheduling.plain.record_passed(Instant::now(), order);
        }
        self.record_usage(job);
    }

    /// Records how long a server took to answer a plain request. Nothing without workspaces.
    pub(crate) fn record_plain_answer(&self, job: &ForwardJob, took: Duration) {
        if job.caller == RequestCaller::Unscoped {
            return;
        }
        let mut state = self.state.borrow_mut();
        let plain = &mut state.scheduling.plain;
        plain.record_answer(Instant::now(), &job.service, took);
    }

    /// Records that a server has refused a plain request. Nothing without workspaces.
    pub(crate) fn record_plain_full(&self, job: &ForwardJob, server: &ServerName) {
        if job.caller != RequestCaller::Unscoped {
            self.record_full(server);
        }
    }

    /// Whether plain requests are held back.
    pub(crate) fn holds_requests(&self) -> bool {
        !self.state.borrow().scheduling.plain.is_empty()
    }

    /// Offers a request to the queue of plain requests. Returns the ticket and where the decision arrives, or
    /// the time after which the client should return; and the number of requests that were held before.
    fn offer_plain(
        &self,
        job: &ForwardJob,
        order: CallerOrder,
        tried: &[ServerName],
    ) -> (Result<(TicketId, HoldReceiver), Duration>, usize) {
        let request = self.held_request(job, order, tried);
        let capacity = self.service_capacity(&job.service);
        let draw = self.random_fraction();
        let mut state = self.state.borrow_mut();
        let scheduling = &mut state.scheduling;
        let held = scheduling.plain.len();
        let offered = scheduling
            .plain
            .offer(Instant::now(), request, capacity, draw);
        let decision = match offered {
            PlainDecision::Refused { retry_after } => Err(retry_after),
            PlainDecision::Held(ticket) => {
                let (sender, receiver) = oneshot::channel();
                scheduling.waiters.insert(ticket, sender);
                Ok((ticket, receiver))
            }
        };
        (decision, held)
    }

    fn held_request(
        &self,
        job: &ForwardJob,
        order: CallerOrder,
        tried: &[ServerName],
    ) -> HeldRequest {
        let earlier_time = job.metadata.deadline.map_or(Duration::ZERO, |deadline| {
            self.earlier_attempt_time(&job.rule.name, deadline)
        });
        HeldRequest {
            service: job.service.clone(),
            excluded: tried.to_vec(),
            order,
            requested_at: job.arrived.checked_sub(earlier_time).unwrap_or(job.arrived),
            arrived_at: job.arrived,
            latency_target: job.rule.latency_target,
            answer_due: job.answer_due(),
        }
    }

    /// Returns the time after which the client of a plain request should return that servers have refused.
    pub(crate) fn shed_delay(&self, job: &ForwardJob) -> Duration {
        let Some(order) = self.caller_order(job, job.body.len() as u64) else {
            return DEFAULT_RETRY_AFTER;
        };
        let request = self.held_request(job, order, &[]);
        let capacity = self.service_capacity(&job.service);
        let draw = self.random_fraction();
        let mut state = self.state.borrow_mut();
        let plain = &mut state.scheduling.plain;
        plain.refuse(Instant::now(), &request, capacity, draw)
    }

    /// Returns the time after which a request that leaves the queue may be sent again, if it must not be sent
    /// to a server now.
    fn leave_refusal(&self, job: &ForwardJob) -> Option<Duration> {
        let is_admitted = self.admits_span(job.remaining_span(self));
        let shutdown_refusal = (!is_admitted).then_some(Duration::ZERO);
        shutdown_refusal.or_else(|| self.start_refusal(job))
    }

    /// Sends or refuses held requests and tells the tasks of the requests.
    pub(crate) fn advance_plain(self: &Rc<Self>) {
        for effect in self.decide_held() {
            let (ticket, outcome) = match effect {
                PlainEffect::Send { ticket, placement } => {
                    let load = ServerLoad::REQUEST;
                    let reservation = Reservation::from_counted(self, &placement, load);
                    (ticket, HoldOutcome::Send(placement, reservation))
                }
                PlainEffect::SendAnyway { ticket } => (ticket, HoldOutcome::SendAnyway),
                PlainEffect::Release { ticket } => (ticket, HoldOutcome::NoServer),
                PlainEffect::Refuse {
                    ticket,
                    retry_after,
                } => (ticket, HoldOutcome::Refused(retry_after)),
            };
            let waiter = {
                let mut state = self.state.borrow_mut();
                state.scheduling.waiters.remove(&ticket)
            };
            // The receiver is gone if the client has just disconnected; the slot is free again then.
            drop(waiter.map(|waiter| waiter.send(outcome)));
        }
    }

    fn service_capacity(&self, service: &ServiceName) -> ServiceCapacity {
        let entries = self.entry_count();
        self.with_placement_view(|view| service_capacity(view, service, entries))
    }

    /// Decides which held requests are sent or refused. Each that is sent is counted at once.
    fn decide_held(&self) -> Vec<PlainEffect<ServerName>> {
        let now = Instant::now();
        let services = self.state.borrow().scheduling.plain.held_services();
        let capacities = services.into_iter().map(|service| {
            let capacity = self.service_capacity(&service);
            (service, capacity)
        });
        let capacities: BTreeMap<ServiceName, ServiceCapacity> = capacities.collect();
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            directory,
            loads,
            limits,
            origins,
            scheduling,
            quotas,
            capacity,
            rng,
            ..
        } = &mut *guard;
        let SchedulingState { plain, shares, .. } = scheduling;
        plain.refresh_shares(now, |workspace| {
            shares.share(now, &quotas.tracker, workspace)
        });
        let mut salts = Pcg64Mcg::seed_from_u64(rng.r#gen());
        plain.advance(
            now,
            |service| capacities.get(service).copied().unwrap_or_default(),
            || rng.gen_range(0.0..1.0),
            |request| {
                let view = PlacementView {
                    now,
                    salt: salts.r#gen(),
                    data_centre: &self.settings.own.data_centre,
                    directory,
                    loads,
                    limits,
                    origins,
                    capacity,
                };
                match choose_free_server(&view, &request.service, &request.excluded) {
                    FreeServer::Full => PlainPlacement::Full,
                    FreeServer::NoServer => PlainPlacement::NoServer,
                    FreeServer::Free(server) => {
                        loads.add(&server, ServerLoad::REQUEST);
                        limits.record_sent(now, &server);
                        PlainPlacement::Free(server)
                    }
                }
            },
        )
    }
}
