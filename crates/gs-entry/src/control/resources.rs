//! Measures what the control thread and the process cost.

use std::time::Duration;

use metrics::gauge;
use nix::time::{ClockId, clock_gettime};

use crate::telemetry::{CONTROL_CPU_SECONDS, RESIDENT_BYTES};

/// Between two measurements.
pub const METER_INTERVAL: Duration = Duration::from_millis(250);

/// The marked line of the file with the process's memory.
const RESIDENT_MARK: &str = "VmRSS:";

/// Records the processor time of the calling thread and the memory of the process.
pub fn record_costs() {
    if let Ok(time) = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID) {
        gauge!(CONTROL_CPU_SECONDS).set(Duration::from(time).as_secs_f64());
    }
    if let Some(bytes) = read_resident_bytes() {
        gauge!(RESIDENT_BYTES).set(bytes as f64);
    }
}

/// The memory that the process holds, where the operating system tells it.
fn read_resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_MARK))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}
