//! Checks that leaving servers get no new work.

use std::time::Duration;

use tokio::time::timeout;

use super::journal::CheckPoint;
use super::shared::{SoakShared, now_ms};
use crate::engine::EngineRuns;

/// The stated time in which a sign takes effect, in milliseconds.
const EFFECT_MS: u64 = 2_000;

/// How long a look at an engine waits.
const LOOK_PATIENCE: Duration = Duration::from_secs(10);

/// A server that was told to leave.
#[derive(Clone, Copy, Debug)]
pub struct LeavingWatch {
    /// The engine's slot.
    pub slot: usize,
    /// When the sign was given, in milliseconds since 1970.
    pub sign_ms: u64,
}

impl LeavingWatch {
    /// Begins with a sign that is given now.
    pub fn begin(slot: usize) -> Self {
        Self {
            slot,
            sign_ms: now_ms(),
        }
    }

    /// Checks the engine's runs. Attempts count by the time at which their entry made them.
    /// `disturbed_ms` is when an entry last started or went on, or the platform last recovered.
    pub async fn check(self, shared: &SoakShared, disturbed_ms: u64, slack_ms: u64) {
        let address = shared.board.borrow().engines[self.slot].address;
        let call = shared.client.get::<EngineRuns>(address, "/control/runs");
        let Ok(Ok(report)) = timeout(LOOK_PATIENCE, call).await else {
            shared
                .journal
                .borrow_mut()
                .skip_check("leaving server: its runs could not be read");
            return;
        };
        let limit_ms = self.sign_ms.max(disturbed_ms) + EFFECT_MS + slack_ms;
        shared.journal.borrow_mut().count_check("leaving servers");
        for run in &report.runs {
            let begun = run.streams_started > 0 || run.prefills_started > 0;
            let made_ms = made_at_ms(run.attempt.0);
            if begun && made_ms > limit_ms {
                let late_ms = made_ms - self.sign_ms;
                let detail = format!(
                    "engine {} got {run:?}, made {late_ms} ms after the sign",
                    self.slot
                );
                shared.violate(CheckPoint::Leaving, detail);
            }
        }
    }
}

/// When an attempt was made, in milliseconds since 1970.
fn made_at_ms(attempt: uuid::Uuid) -> u64 {
    attempt.get_timestamp().map_or(0, |timestamp| {
        let (seconds, nanoseconds) = timestamp.to_unix();
        seconds * 1_000 + u64::from(nanoseconds) / 1_000_000
    })
}
