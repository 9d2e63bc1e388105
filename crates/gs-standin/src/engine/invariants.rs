//! What must hold of an engine's state at any time. Checked in debug builds.

use super::memory::PieceLease;
use super::state::EngineState;

impl EngineState {
    /// Panics in debug builds if memory is lost or held twice, or the batch is too large.
    pub fn assert_consistent(&self) {
        if !cfg!(debug_assertions) {
            return;
        }
        let slots = self.slots.values().map(|slot| &slot.lease);
        let jobs = self.jobs.iter().filter_map(|job| job.lease());
        let results = self.results.values().map(|result| &result.lease);
        let streams = self.streams.values().map(|stream| &stream.lease);
        let leases = slots.chain(jobs).chain(results).chain(streams);
        let private: u32 = leases.map(PieceLease::private).sum();
        self.memory.assert_consistent(private);
        let batch = self.streams.len() + self.slots.len();
        assert!(
            batch <= self.options.max_streams as usize,
            "batch of {batch}"
        );
    }
}
