//! Background tasks that admit waiting streams and shut the process down.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionEffect, DecodeDemand, EngineSubset, FleetBacklog, PlacementView, ShutdownPhase,
    StreamKey, choose_decode,
};
use gs_protocol::ids::ServerName;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::GatewayError;
use crate::gateway::{AdmissionOutcome, Gateway, GatewayState};
use crate::reservation::StreamReservation;

/// Interval at which the admission queue is processed if nothing else triggers it.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which silent peers and missing servers are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the progress of the shutdown is checked.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Admits and refuses waiting streams until the process ends.
pub async fn run_admission(gateway: Rc<Gateway>) {
    let mut last_expiry = Instant::now();
    let mut salt_drawn_at = Instant::now();
    let mut subset_salt = 0;
    let mut is_waiting = false;
    loop {
        // A stream that joins the empty queue is notified.
        let interval = match gateway.has_waiting_streams() || gateway.holds_requests() {
            true => ADMISSION_INTERVAL,
            false => EXPIRY_INTERVAL,
        };
        tokio::select! {
            () = gateway.capacity_changed.notified() => {}
            () = tokio::time::sleep(interval) => {}
        }
        if last_expiry.elapsed() >= EXPIRY_INTERVAL {
            last_expiry = Instant::now();
            expire_silent(&gateway);
        }
        if salt_drawn_at.elapsed() >= ADMISSION_INTERVAL {
            salt_drawn_at = Instant::now();
            subset_salt = gateway.state.borrow_mut().rng.r#gen();
        }
        if gateway.has_waiting_streams() {
            advance_queue(&gateway, subset_salt);
        }
        if gateway.holds_requests() {
            gateway.advance_plain();
        }
        let was_waiting = std::mem::replace(&mut is_waiting, gateway.has_waiting_streams());
        if was_waiting != is_waiting {
            gateway.report_changed.notify_one();
        }
    }
}

/// Removes the loads of silent peers, and servers that did not register again after an outage of the registry.
fn expire_silent(gateway: &Gateway) {
    let now = Instant::now();
    let mut state = gateway.state.borrow_mut();
    state.loads.expire_peers(now);
    state.quarantine.expire_old(now);
    state.observe_software(now);
    state.origins.expire_old(now);
    for server in state.directory.remove_missing(now) {
        log::info!(target: "servers", server:%; "server removed: not registered again after the outage");
    }
}

/// Processes the admission queue and sends each decision to the task of its request.
fn advance_queue(gateway: &Rc<Gateway>, subset_salt: u64) {
    let mut effects = decide_admissions(gateway, subset_salt);
    effects.extend(decide_refusals(gateway));
    for effect in effects {
        let (ticket, outcome) = match effect {
            AdmissionEffect::Start { ticket, placement } => {
                let (server, key) = placement;
                let reservation = StreamReservation::from_counted(gateway, &server, key);
                (ticket, AdmissionOutcome::Admitted(reservation))
            }
            AdmissionEffect::Refuse {
                ticket,
                retry_after,
            } => (ticket, AdmissionOutcome::Refused(retry_after)),
        };
        let waiter = gateway.state.borrow_mut().waiters.remove(&ticket);
        if let Some(waiter) = waiter
            && waiter.send(outcome).is_err()
        {
            log::debug!(target: "request", "the client disconnected before its stream was admitted or refused");
        }
    }
}

/// Decides which waiting streams start or are refused. Each stream that starts is counted at once, so that
/// the next decision takes it into account.
fn decide_admissions(
    gateway: &Gateway,
    subset_salt: u64,
) -> Vec<AdmissionEffect<(ServerName, StreamKey)>> {
    let now = Instant::now();
    let mut guard = gateway.state.borrow_mut();
    let state = &mut *guard;
    let Some(table) = state.table.as_ref().filter(|_| !state.queue.is_empty()) else {
        return Vec::new();
    };
    let data_centre = &gateway.settings.own.data_centre;
    let (own, peers) = (state.queue.waiting(), state.loads.peers_waiting());
    let settings = *state.queue.settings();
    let mut salts = Pcg64Mcg::seed_from_u64(state.rng.r#gen());
    if table.workspaces.is_some() {
        let (shares, queue) = (&state.scheduling.shares, &mut state.queue);
        shares.refresh(now, &state.quotas.tracker, queue);
    }
    state.queue.advance(
        now,
        || state.rng.gen_range(0.0..1.0),
        |stream, class| {
            let demand = &stream.demand;
            let rank = stream.order.as_ref().map(|order| order.rank);
            let engine = table.service(&demand.service)?.engine.as_ref()?;
            let view = PlacementView {
                now,
                salt: salts.r#gen(),
                data_centre,
                directory: &state.directory,
                loads: &state.loads,
                limits: &state.limits,
                origins: &state.origins,
                capacity: &state.capacity,
            };
            let needs = DecodeDemand {
                shape: demand.shape,
                memory_fraction: settings.memory_fraction(class),
                subset: EngineSubset::new(
                    subset_salt,
                    own.up_to(class, rank),
                    peers.up_to(class, rank),
                ),
                software: &demand.software,
            };
            let server = choose_decode(&view, &demand.service, engine, needs, &[])?;
            state.limits.record_sent(now, &server);
            let key = state.loads.add_stream(&server, demand.shape);
            Some((server, key))
        },
    )
}

/// Decides which waiting streams are refused because they are not expected to start in time any more.
fn decide_refusals(gateway: &Gateway) -> Vec<AdmissionEffect<(ServerName, StreamKey)>> {
    let mut guard = gateway.state.borrow_mut();
    let GatewayState {
        table,
        loads,
        queue,
        rng,
        mean_stream_seconds,
        ..
    } = &mut *guard;
    let has_workspaces = table
        .as_ref()
        .is_some_and(|table| table.workspaces.is_some());
    if !has_workspaces || queue.is_empty() {
        return Vec::new();
    }
    let backlog = FleetBacklog {
        peers_waiting: loads.peers_waiting(),
        completions_per_second: loads.running_streams() as f64 / *mean_stream_seconds,
        engines_wait: Duration::ZERO,
    };
    queue.refuse_hopeless(Instant::now(), backlog, || rng.gen_range(0.0..1.0))
}

/// Waits for a stop signal, then returns when the process should exit.
pub async fn run_shutdown(gateway: Rc<Gateway>) -> Result<(), GatewayError> {
    let mut stop = signal(SignalKind::terminate()).map_err(GatewayError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(GatewayError::Signals)?;
    // Without a handler this signal would terminate the process.
    let mut reload = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => log::info!(target: "entry", "reload requested"),
        }
    }
    log::info!(target: "entry", active = gateway.active_requests.get(); "stopping");
    gateway.begin_shutdown();
    loop {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        let phase = gateway.shutdown_phase();
        let (active, connections) = (
            gateway.active_requests.get(),
            gateway.awaited_connections.get(),
        );
        let is_idle = phase == Some(ShutdownPhase::Finish) && active == 0 && connections == 0;
        if is_idle || phase == Some(ShutdownPhase::Exit) {
            log::info!(target: "entry", active, connections; "stopped");
            return Ok(());
        }
    }
}
