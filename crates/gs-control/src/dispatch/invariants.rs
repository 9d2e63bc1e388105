//! Invariants of the dispatch state, checked after every event in debug builds.

use super::request_table::RequestPhase;
use super::state::DispatchState;

impl DispatchState {
    /// Panics if the parts of the state are inconsistent.
    pub fn check_invariants(&self) {
        self.check_requests();
        self.check_servers();
    }

    fn check_requests(&self) {
        let mut queued = 0;
        let mut retrying = 0;
        let mut running = 0;
        for (request, record) in &self.table.requests {
            match record.phase {
                RequestPhase::Queued => queued += 1,
                RequestPhase::AwaitingRetry => retrying += 1,
                RequestPhase::Running(attempt) => {
                    running += 1;
                    let attempt_record = self.table.attempts.get(&attempt);
                    let owner = attempt_record.map(|attempt_record| attempt_record.request);
                    assert_eq!(
                        owner,
                        Some(*request),
                        "attempt {attempt} belongs to another request"
                    );
                }
            }
        }
        let queue_len: usize = self
            .model_states
            .values()
            .map(|model_state| model_state.queue.len())
            .sum();
        let listed_retries: usize = self.table.retries.values().map(|keys| keys.len()).sum();
        assert_eq!(
            queued, queue_len,
            "queue lengths differ from the number of queued requests"
        );
        assert_eq!(
            retrying, listed_retries,
            "retry lists differ from the number of requests awaiting a retry"
        );
        assert_eq!(
            running,
            self.table.attempts.len(),
            "running requests differ from the number of attempts"
        );
        assert_eq!(self.table.wait_expiries.len(), queued + retrying);
        assert_eq!(self.table.attempt_expiries.len(), self.table.attempts.len());
        let counted: u32 = self.callers.iter().map(|(_, caller)| caller.running).sum();
        assert_eq!(
            counted as usize, running,
            "running counts of callers differ from the number of running requests"
        );
    }

    fn check_servers(&self) {
        let streams: u32 = self
            .fleet
            .servers()
            .map(|server| server.own_work().streams)
            .sum();
        assert_eq!(
            streams as usize,
            self.table.attempts.len(),
            "stream counts of servers differ from the number of attempts"
        );
    }
}
