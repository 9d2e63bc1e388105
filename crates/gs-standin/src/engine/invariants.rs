//! Invariants of the engine state, checked in debug builds.

use super::memory::BlockLease;
use super::state::EngineState;

impl EngineState {
    /// Panics in debug builds if memory leaked or is held twice, or the batch exceeds
    /// `max_streams`.
    pub fn assert_consistent(&self) {
        if !cfg!(debug_assertions) {
            return;
        }
        let slots = self.slots.values().map(|slot| &slot.lease);
        let jobs = self.jobs.iter().filter_map(|job| job.lease());
        let results = self.results.values().map(|result| &result.lease);
        let streams = self.streams.values().map(|stream| &stream.lease);
        let leases = slots.chain(jobs).chain(results).chain(streams);
        let private_blocks: u32 = leases.map(BlockLease::private_blocks).sum();
        self.memory.assert_consistent(private_blocks);
        let batch = self.streams.len() + self.slots.len();
        assert!(
            batch <= self.options.max_streams as usize,
            "the batch of {batch} exceeds the maximum number of streams"
        );
    }
}
