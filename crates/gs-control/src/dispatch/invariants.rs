//! Invariants of the dispatch state, checked after every event in debug builds.

use super::request_table::RequestPhase;
use super::state::DispatchState;

impl DispatchState {
    /// Panics if the state contradicts itself.
    pub fn check_invariants(&self) {
        self.check_requests();
        self.check_servers();
    }

    fn check_requests(&self) {
        let mut waiting = 0;
        let mut returning = 0;
        let mut running = 0;
        for (request, record) in &self.table.requests {
            match record.phase {
                RequestPhase::Waiting => waiting += 1,
                RequestPhase::Returning => returning += 1,
                RequestPhase::Running(attempt) => {
                    running += 1;
                    let known = self.table.attempts.get(&attempt);
                    let owner = known.map(|known| known.request);
                    assert_eq!(
                        owner,
                        Some(*request),
                        "attempt {attempt} has another request"
                    );
                }
            }
        }
        let queued: usize = self.lanes.values().map(|lane| lane.queue.len()).sum();
        let listed: usize = self.table.returning.values().map(|keys| keys.len()).sum();
        assert_eq!(waiting, queued, "queues differ from waiting requests");
        assert_eq!(returning, listed, "retries differ from returning requests");
        assert_eq!(
            running,
            self.table.attempts.len(),
            "attempts without a request"
        );
        assert_eq!(self.table.give_ups.len(), waiting + returning);
        assert_eq!(self.table.expiries.len(), self.table.attempts.len());
        let counted: u32 = self.callers.iter().map(|(_, caller)| caller.running).sum();
        assert_eq!(
            counted as usize, running,
            "callers count other running requests"
        );
    }

    fn check_servers(&self) {
        let streams: u32 = self
            .fleet
            .servers()
            .map(|server| server.own().streams)
            .sum();
        assert_eq!(
            streams as usize,
            self.table.attempts.len(),
            "servers count other streams than attempts"
        );
    }
}
