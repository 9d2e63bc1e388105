//! Measures the ledger in simulated time: writes, grant latency and bytes of claims, memory of
//! stored claims, and the time of a takeover.
//!
//! Run with `cargo bench -p gs-control --bench claims`. Simulated figures are the same on every
//! machine; CPU time per claim and resident memory are not.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{FleetPlan, FleetReport, FleetSimulation};

/// Body size of each stored answer, in bytes.
const ANSWER_BYTES: usize = 200;

fn main() {
    println!(
        "| entries | claims/s | writes/s | reads and listings/s | MB/s written | grant p50 ms | p99 ms | µs/claim |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (entries, claims_per_second) in
        [(7, 1), (7, 10), (7, 100), (7, 500), (7, 2_000), (14, 2_000)]
    {
        measure_rate(entries, claims_per_second);
    }
    measure_storage();
    measure_takeover();
}

/// Runs a simulation and returns its measurements and the real time that it took.
fn run(plan: FleetPlan) -> (FleetReport, Duration) {
    let started = Instant::now();
    let mut fleet = FleetSimulation::new(plan);
    fleet.run();
    (fleet.report(), started.elapsed())
}

/// Prints a table row for one rate of claims.
fn measure_rate(entries: usize, claims_per_second: u32) {
    let plan = FleetPlan {
        entries,
        claims_per_second,
        ..FleetPlan::default()
    };
    let (report, real_time) = run(plan);
    let seconds = plan.duration.as_secs_f64();
    let claims = report.grant_latencies.len().max(1) as f64;
    println!(
        "| {entries} | {:.0} | {:.1} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} |",
        claims / seconds,
        report.writes as f64 / seconds,
        (report.reads + report.listings) as f64 / seconds,
        report.written_bytes as f64 / seconds / 1e6,
        report.grant_latency_ms(0.5),
        report.grant_latency_ms(0.99),
        real_time.as_secs_f64() * 1e6 / claims,
    );
}

/// Measures the storage and memory of a million claims that are stored by one entry.
fn measure_storage() {
    let plan = FleetPlan {
        entries: 1,
        claims_per_second: 2_000,
        duration: Duration::from_secs(500),
        ..FleetPlan::default()
    };
    let before = resident_bytes();
    let mut fleet = FleetSimulation::new(plan);
    fleet.run();
    let report = fleet.report();
    let after = resident_bytes();
    let millions = report.grant_latencies.len() as f64 / 1e6;
    println!();
    println!("stored claims: {}", report.grant_latencies.len());
    println!(
        "MB in the object store for each million: {:.0}",
        fleet.stored_bytes() as f64 / millions / 1e6
    );
    println!(
        "objects for each million: {:.0}",
        fleet.stored_objects() as f64 / millions
    );
    let report_bytes = report.grant_latencies.len() * size_of::<Duration>();
    let grown = after.saturating_sub(before).saturating_sub(report_bytes);
    println!(
        "MB resident for each million, at most: {:.1}",
        grown as f64 / millions / 1e6
    );
    println!("largest head: {} bytes", report.largest_head_bytes);
}

/// Measures how long the shards of an entry that stops have no owner, the longest of 20 seeds. The
/// other entries detect the stop after 2 s.
fn measure_takeover() {
    let mut longest = Duration::ZERO;
    for seed in 0..20 {
        let plan = FleetPlan {
            seed,
            duration: Duration::from_secs(10),
            ..FleetPlan::default()
        };
        let mut fleet = FleetSimulation::new(plan);
        fleet.run();
        longest = longest.max(fleet.stop_entry(Duration::from_secs(2)));
    }
    println!(
        "takeover of all shards of a stopped entry, longest of 20: {} ms",
        longest.as_millis()
    );
}

/// Returns the resident memory of this process in bytes, from the kernel's count of pages.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
