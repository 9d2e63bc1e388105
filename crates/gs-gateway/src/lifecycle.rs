//! Starts waiting streams, and ends the process.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionEffect, DecodeDemand, EngineSubset, PlacementView, ShutdownPhase, StreamKey,
    choose_decode,
};
use gs_protocol::ids::ServerName;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::GatewayError;
use crate::gateway::{Gateway, GatewayState, StartOrder};
use crate::reservation::StreamReservation;

/// How often waiting streams are looked at when nothing has happened.
const ADMISSION_TICK: Duration = Duration::from_millis(20);

/// How often what has gone silent is dropped.
const SILENCE_TICK: Duration = Duration::from_millis(250);

/// How often the shutdown is looked at.
const SHUTDOWN_TICK: Duration = Duration::from_millis(50);

/// Starts and refuses waiting streams until the process ends.
pub async fn run_admission(gateway: Rc<Gateway>) {
    let mut looked = Instant::now();
    let mut turn_began = Instant::now();
    let mut salt = 0;
    let mut is_waiting = false;
    loop {
        tokio::select! {
            () = gateway.room_changed.notified() => {}
            () = tokio::time::sleep(ADMISSION_TICK) => {}
        }
        if looked.elapsed() >= SILENCE_TICK {
            looked = Instant::now();
            drop_silent(&gateway);
        }
        if turn_began.elapsed() >= ADMISSION_TICK {
            turn_began = Instant::now();
            salt = gateway.state.borrow_mut().rng.r#gen();
        }
        advance(&gateway, salt);
        let was_waiting = std::mem::replace(&mut is_waiting, gateway.has_waiting());
        if was_waiting != is_waiting {
            gateway.streams_changed.notify_one();
        }
    }
}

fn drop_silent(gateway: &Gateway) {
    let now = Instant::now();
    let mut state = gateway.state.borrow_mut();
    state.loads.expire_peers(now);
    for server in state.directory.remove_missing(now) {
        log::info!(target: "servers", server:%; "server did not come back");
    }
}

fn advance(gateway: &Rc<Gateway>, turn_salt: u64) {
    let effects = decide(gateway, turn_salt);
    for effect in effects {
        let (ticket, order) = match effect {
            AdmissionEffect::Start { ticket, placement } => {
                let (server, key) = placement;
                let reserved = StreamReservation::counted(gateway, &server, key);
                (ticket, StartOrder::Start(reserved))
            }
            AdmissionEffect::Refuse {
                ticket,
                retry_after,
            } => (ticket, StartOrder::Refuse(retry_after)),
        };
        let waiter = gateway.state.borrow_mut().waiters.remove(&ticket);
        if let Some(waiter) = waiter
            && waiter.send(order).is_err()
        {
            log::debug!(target: "request", "The client of a stream that would start is gone.");
        }
    }
}

/// Lets the queue decide, with each stream that starts counted at once.
fn decide(gateway: &Gateway, turn_salt: u64) -> Vec<AdmissionEffect<(ServerName, StreamKey)>> {
    let now = Instant::now();
    let mut guard = gateway.state.borrow_mut();
    let GatewayState {
        table,
        directory,
        loads,
        queue,
        rng,
        ..
    } = &mut *guard;
    let Some(table) = table.as_ref().filter(|_| !queue.is_empty()) else {
        return Vec::new();
    };
    let data_centre = &gateway.settings.own.data_centre;
    let (own, peers) = (queue.waiting(), loads.peers_waiting());
    let settings = *queue.settings();
    let mut salts = Pcg64Mcg::seed_from_u64(rng.r#gen());
    queue.advance(
        now,
        || rng.gen_range(0.0..1.0),
        |demand, class| {
            let facts = table.service(&demand.service)?.engine.as_ref()?;
            let view = PlacementView {
                now,
                salt: salts.r#gen(),
                data_centre,
                directory,
                loads,
            };
            let needs = DecodeDemand {
                shape: demand.shape,
                memory_fraction: settings.memory_fraction(class),
                subset: EngineSubset::new(turn_salt, own.count(class), peers.count(class)),
            };
            let server = choose_decode(&view, &demand.service, facts, needs, &[])?;
            let key = loads.add_stream(&server, demand.shape);
            Some((server, key))
        },
    )
}

/// Waits for the order to stop, and returns when the process should end.
pub async fn run_shutdown(gateway: Rc<Gateway>) -> Result<(), GatewayError> {
    let mut stop = signal(SignalKind::terminate()).map_err(GatewayError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(GatewayError::Signals)?;
    // Without a handler the signal would end the process.
    let mut reload = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => log::info!(target: "entry", "reload asked for"),
        }
    }
    log::info!(target: "entry", active = gateway.active.get(); "stopping");
    gateway.order_stop();
    loop {
        tokio::time::sleep(SHUTDOWN_TICK).await;
        let phase = gateway.shutdown_phase();
        let is_idle = phase == Some(ShutdownPhase::Finish) && gateway.active.get() == 0;
        if is_idle || phase == Some(ShutdownPhase::Exit) {
            log::info!(target: "entry", active = gateway.active.get(); "stopped");
            return Ok(());
        }
    }
}
