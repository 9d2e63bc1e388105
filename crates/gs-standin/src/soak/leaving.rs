//! Checks that leaving servers get no new work.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use gs_protocol::ids::AttemptId;
use tokio::time::{sleep, timeout};

use super::context::SoakContext;
use super::journal::SoakInvariant;
use super::watch::read_held;
use crate::engine::EngineRuns;

/// The guaranteed time within which a leaving notice takes effect.
const LEAVING_EFFECT_TIME: Duration = Duration::from_millis(2_000);

/// Time limit for reading the runs of an engine.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Checks one server after a leaving notice.
pub struct LeavingCheck {
    slot: usize,
    baseline: JoinHandle<Option<BTreeSet<AttemptId>>>,
}

impl LeavingCheck {
    /// Starts the check of a notice that was given now. Once the notice must have taken effect, a
    /// background task records the attempts that the engine has started or reserved as the
    /// baseline: these may still run.
    pub fn start(context: &Rc<SoakContext>, slot: usize, slack: Duration) -> Self {
        let context = Rc::clone(context);
        let baseline = actix_rt::spawn(async move {
            sleep(LEAVING_EFFECT_TIME + slack).await;
            let mut baseline = read_started(&context, slot).await?;
            let held = read_held(&context, slot).await?;
            baseline.extend(held.iter().map(|record| record.attempt));
            Some(baseline)
        });
        Self { slot, baseline }
    }

    /// Checks that the engine has started no attempt since the baseline was recorded.
    pub async fn check(self, context: &SoakContext) {
        if !self.baseline.is_finished() {
            self.baseline.abort();
            count_skipped(
                context,
                "leaving server: the notice had not taken effect yet",
            );
            return;
        }
        let (Ok(Some(baseline)), Some(started)) =
            (self.baseline.await, read_started(context, self.slot).await)
        else {
            count_skipped(context, "leaving server: its runs could not be read");
            return;
        };
        context.journal.borrow_mut().count_check("leaving servers");
        for attempt in started.difference(&baseline) {
            let detail = format!(
                "engine {} started {attempt} after its leaving notice took effect",
                self.slot
            );
            context.record_violation(SoakInvariant::Leaving, detail);
        }
    }

    /// Stops the check and counts it as skipped.
    pub fn skip(self, context: &SoakContext, reason: &'static str) {
        self.baseline.abort();
        count_skipped(context, reason);
    }
}

fn count_skipped(context: &SoakContext, reason: &'static str) {
    context.journal.borrow_mut().skip_check(reason);
}

/// Reads the attempts that an engine has started.
async fn read_started(context: &SoakContext, slot: usize) -> Option<BTreeSet<AttemptId>> {
    let address = context.fleet.borrow().engines[slot].address;
    let call = context.client.get::<EngineRuns>(address, "/control/runs");
    let report = timeout(READ_TIMEOUT, call).await.ok()?.ok()?;
    let started = report
        .runs
        .iter()
        .filter(|run| run.streams_started > 0 || run.prefills_started > 0);
    Some(started.map(|run| run.attempt).collect())
}
