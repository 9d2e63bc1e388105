//! The loops that run decode steps, prefill chunks and maintenance in modelled time.
//!
//! Timers have a resolution of one millisecond, so waits end late. The loops keep their average
//! rate by shortening the next wait after a late one.

use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::batch::StepOutcome;
use super::server::SharedEngine;

/// Maximum delay that a loop makes up for; a longer one is dropped from the schedule.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// How often expired resources are freed and the load is measured.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum sleep of an idle loop between two checks for work.
const IDLE_WAIT: Duration = Duration::from_millis(10);

/// Pause of the decode loop while the event queues of all running streams are full.
const BLOCKED_WAIT: Duration = Duration::from_millis(1);

/// Runs decode steps as long as the engine lives.
pub async fn run_batch(engine: &SharedEngine) {
    let mut due = Instant::now();
    loop {
        let duration = engine.lock().step_duration();
        let Some(duration) = duration else {
            wait_for_wake(&engine.batch_wake).await;
            due = Instant::now();
            continue;
        };
        due = next_due(due, duration);
        pause_until(due).await;
        let outcome = engine.lock().step();
        if outcome == StepOutcome::Blocked {
            tokio::time::sleep(BLOCKED_WAIT).await;
        }
    }
}

/// Runs prefill chunks as long as the engine lives.
pub async fn run_prefills(engine: &SharedEngine) {
    let mut due = Instant::now();
    loop {
        let chunk = engine.next_chunk();
        let Some(chunk) = chunk else {
            wait_for_wake(&engine.prefill_wake).await;
            due = Instant::now();
            continue;
        };
        due = next_due(due, chunk.duration);
        pause_until(due).await;
        engine.lock().finish_chunk(Instant::now(), chunk);
    }
}

/// Runs maintenance at a fixed interval.
pub async fn run_maintenance(engine: &SharedEngine) {
    loop {
        engine.lock().run_maintenance(Instant::now());
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Sleeps until an instant, or yields to other tasks if it has passed.
pub async fn pause_until(due: Instant) {
    if due > Instant::now() {
        tokio::time::sleep_until(due.into()).await;
    } else {
        tokio::task::yield_now().await;
    }
}

fn next_due(due: Instant, duration: Duration) -> Instant {
    let earliest_due = Instant::now().checked_sub(MAX_CATCH_UP);
    earliest_due.map_or(due, |earliest_due| due.max(earliest_due)) + duration
}

async fn wait_for_wake(wake: &Notify) {
    // The loop checks for work after a wake and after the timeout alike.
    let _ = tokio::time::timeout(IDLE_WAIT, wake.notified()).await;
}
