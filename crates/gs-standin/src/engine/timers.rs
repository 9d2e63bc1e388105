//! The loops that let modelled time pass.
//!
//! Waits end at the timer's next millisecond. The loops keep to their schedule on average: after a late
//! wait the next one is shorter.

use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::batch::StepOutcome;
use super::server::EngineShared;

/// How far a loop may be behind its schedule and still catch up.
const CATCH_UP: Duration = Duration::from_millis(20);

/// How often times to live are checked and the load is measured.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// How long a loop that has nothing to do sleeps without being woken.
const IDLE_WAIT: Duration = Duration::from_millis(10);

/// How long the batch waits if no reader can take a token.
const BLOCKED_WAIT: Duration = Duration::from_millis(1);

/// Gives tokens to the streams, step by step.
pub async fn run_batch(shared: &EngineShared) {
    let mut due = Instant::now();
    loop {
        let time = shared.lock().step_time();
        let Some(time) = time else {
            wait_for(&shared.batch_wake).await;
            due = Instant::now();
            continue;
        };
        due = advance(due, time);
        pause_until(due).await;
        let outcome = shared.lock().step();
        if outcome == StepOutcome::Blocked {
            tokio::time::sleep(BLOCKED_WAIT).await;
        }
    }
}

/// Computes prefills, chunk by chunk.
pub async fn run_prefills(shared: &EngineShared) {
    let mut due = Instant::now();
    loop {
        let chunk = shared.next_chunk();
        let Some(chunk) = chunk else {
            wait_for(&shared.prefill_wake).await;
            due = Instant::now();
            continue;
        };
        due = advance(due, chunk.time);
        pause_until(due).await;
        shared.lock().finish_chunk(Instant::now(), chunk);
    }
}

/// Ends what has outlived its time.
pub async fn run_expiry(shared: &EngineShared) {
    loop {
        shared.lock().expire(Instant::now());
        tokio::time::sleep(EXPIRY_INTERVAL).await;
    }
}

/// Sleeps until an instant, or lets other tasks run if it has passed.
pub async fn pause_until(due: Instant) {
    if due > Instant::now() {
        tokio::time::sleep_until(due.into()).await;
    } else {
        tokio::task::yield_now().await;
    }
}

fn advance(due: Instant, time: Duration) -> Instant {
    let earliest = Instant::now().checked_sub(CATCH_UP);
    earliest.map_or(due, |earliest| due.max(earliest)) + time
}

async fn wait_for(wake: &Notify) {
    // Being woken and having waited long enough both lead to another look.
    let _ = tokio::time::timeout(IDLE_WAIT, wake.notified()).await;
}
