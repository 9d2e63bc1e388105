//! What all threads of the daemon know of its shutdown.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{RequestSpan, ShutdownPlan};
use gs_protocol::refusal::RefusalReason;
use tokio::sync::watch;

use crate::traffic::CallerRefusal;

/// When the shutdown began, and what it allows.
#[derive(Clone, Debug)]
pub struct ShutdownState {
    plan: ShutdownPlan,
    begun_at: Arc<watch::Sender<Option<Instant>>>,
}

impl ShutdownState {
    /// Creates the state of a process that aborts open requests `grace` after its shutdown has begun.
    pub fn new(grace: Duration) -> Self {
        Self {
            plan: ShutdownPlan::new(grace),
            begun_at: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Begins the shutdown.
    pub fn begin(&self) {
        self.begun_at.send_replace(Some(Instant::now()));
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun_at.borrow().is_some()
    }

    /// Checks that a request that must end within `time_limit` can end before the process exits.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that could not; it has not run.
    pub fn admit(&self, time_limit: Duration) -> Result<(), CallerRefusal> {
        let Some(begun_at) = *self.begun_at.borrow() else {
            return Ok(());
        };
        let span = RequestSpan::Limited(time_limit);
        if self.plan.admits(begun_at.elapsed(), span) {
            return Ok(());
        }
        let detail = "the entry is shutting down and might not complete the request";
        let refusal = CallerRefusal::not_run(RefusalReason::ShuttingDown, detail);
        Err(refusal.with_retry_after(Some(Duration::ZERO)))
    }

    /// Waits until the shutdown requires the final answers of all requests.
    pub async fn final_answers_due(&self) {
        let mut begun_at = self.begun_at.subscribe();
        let begun_at = begun_at.wait_for(Option::is_some).await.map(|at| *at);
        let Ok(Some(begun_at)) = begun_at else {
            return std::future::pending().await;
        };
        tokio::time::sleep_until((begun_at + self.plan.answer_within()).into()).await;
    }
}
