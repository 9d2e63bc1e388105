//! Measures the processor time of the control thread and the memory of the process.

use std::time::Duration;

use metrics::gauge;
use nix::time::{ClockId, clock_gettime};

use crate::telemetry::{CONTROL_CPU_SECONDS, RESIDENT_BYTES};

/// Interval between two measurements.
pub const RESOURCE_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Prefix of the line of the status file that holds the resident memory.
const RESIDENT_PREFIX: &str = "VmRSS:";

/// Updates the gauges of the calling thread's processor time and the process's resident memory.
pub fn record_resource_usage() {
    if let Ok(time) = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID) {
        gauge!(CONTROL_CPU_SECONDS).set(Duration::from(time).as_secs_f64());
    }
    if let Some(bytes) = read_resident_bytes() {
        gauge!(RESIDENT_BYTES).set(bytes as f64);
    }
}

/// Resident memory in bytes, or `None` if the operating system does not report it.
fn read_resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_PREFIX))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}
