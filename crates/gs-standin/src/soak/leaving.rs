//! Checks that leaving servers get no new work.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use gs_protocol::ids::AttemptId;
use tokio::time::{sleep, timeout};

use super::journal::CheckPoint;
use super::shared::SoakShared;
use super::watch::read_held;
use crate::engine::EngineRuns;

/// The stated time in which a sign takes effect.
const EFFECT: Duration = Duration::from_millis(2_000);

/// How long a look at an engine waits.
const LOOK_PATIENCE: Duration = Duration::from_secs(10);

/// A server that was told to leave.
pub struct LeavingWatch {
    slot: usize,
    known: JoinHandle<Option<BTreeSet<AttemptId>>>,
}

impl LeavingWatch {
    /// Begins with a sign that was given now. Once it must have taken effect, what the engine has
    /// begun or reserved by then is noted: it may end there.
    pub fn begin(shared: &Rc<SoakShared>, slot: usize, slack: Duration) -> Self {
        let shared = Rc::clone(shared);
        let known = actix_rt::spawn(async move {
            sleep(EFFECT + slack).await;
            let mut known = read_begun(&shared, slot).await?;
            let held = read_held(&shared, slot).await?;
            known.extend(held.iter().map(|record| record.attempt));
            Some(known)
        });
        Self { slot, known }
    }

    /// Checks that the engine has begun nothing since.
    pub async fn check(self, shared: &SoakShared) {
        if !self.known.is_finished() {
            self.known.abort();
            skip(shared, "leaving server: the sign had not taken effect yet");
            return;
        }
        let (Ok(Some(known)), Some(begun)) =
            (self.known.await, read_begun(shared, self.slot).await)
        else {
            skip(shared, "leaving server: its runs could not be read");
            return;
        };
        shared.journal.borrow_mut().count_check("leaving servers");
        for attempt in begun.difference(&known) {
            let detail = format!("engine {} began {attempt} after its sign", self.slot);
            shared.violate(CheckPoint::Leaving, detail);
        }
    }

    /// Ends without a check.
    pub fn skip(self, shared: &SoakShared, why: &'static str) {
        self.known.abort();
        skip(shared, why);
    }
}

fn skip(shared: &SoakShared, why: &'static str) {
    shared.journal.borrow_mut().skip_check(why);
}

/// The attempts that an engine has begun.
async fn read_begun(shared: &SoakShared, slot: usize) -> Option<BTreeSet<AttemptId>> {
    let address = shared.board.borrow().engines[slot].address;
    let call = shared.client.get::<EngineRuns>(address, "/control/runs");
    let report = timeout(LOOK_PATIENCE, call).await.ok()?.ok()?;
    let begun = report
        .runs
        .iter()
        .filter(|run| run.streams_started > 0 || run.prefills_started > 0);
    Some(begun.map(|run| run.attempt).collect())
}
