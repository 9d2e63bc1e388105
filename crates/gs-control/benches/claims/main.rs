//! Measures the ledger in simulated time: writes, latency and bytes of claims, and memory of kept ones.
//!
//! Run with `cargo bench -p gs-control --bench claims`. Simulated figures are the same on every machine;
//! processor time and memory are not.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{ClaimFleet, FleetPlan, FleetReport};

/// Bytes of the body of each kept answer.
const ANSWER_BYTES: usize = 200;

fn main() {
    println!(
        "| entries | claims/s | writes/s | reads and listings/s | MB/s written | grant p50 ms | p99 ms | µs/claim |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (entries, rate) in [(7, 1), (7, 10), (7, 100), (7, 500), (7, 2_000), (14, 2_000)] {
        measure_rate(entries, rate);
    }
    measure_kept();
    measure_takeover();
}

fn run(plan: FleetPlan) -> (FleetReport, Duration) {
    let started = Instant::now();
    let mut fleet = ClaimFleet::new(plan);
    fleet.run();
    (fleet.report(), started.elapsed())
}

fn measure_rate(entries: usize, rate: u32) {
    let plan = FleetPlan {
        entries,
        rate,
        ..FleetPlan::default()
    };
    let (report, spent) = run(plan);
    let seconds = plan.time.as_secs_f64();
    let claims = report.granted.len().max(1) as f64;
    println!(
        "| {entries} | {:.0} | {:.1} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} |",
        claims / seconds,
        report.writes as f64 / seconds,
        (report.reads + report.listings) as f64 / seconds,
        report.written_bytes as f64 / seconds / 1e6,
        report.grant_ms(0.5),
        report.grant_ms(0.99),
        spent.as_secs_f64() * 1e6 / claims,
    );
}

/// One entry takes a million claims and keeps them all.
fn measure_kept() {
    let plan = FleetPlan {
        entries: 1,
        rate: 2_000,
        time: Duration::from_secs(500),
        ..FleetPlan::default()
    };
    let before = resident_bytes();
    let mut fleet = ClaimFleet::new(plan);
    fleet.run();
    let report = fleet.report();
    let after = resident_bytes();
    let millions = report.granted.len() as f64 / 1e6;
    println!();
    println!("kept claims: {}", report.granted.len());
    println!(
        "MB in the platform for each million: {:.0}",
        fleet.stored_bytes() as f64 / millions / 1e6
    );
    println!(
        "objects for each million: {:.0}",
        fleet.stored_objects() as f64 / millions
    );
    let own = report.granted.len() * size_of::<Duration>();
    let grown = after.saturating_sub(before).saturating_sub(own);
    println!(
        "MB resident for each million, at most: {:.1}",
        grown as f64 / millions / 1e6
    );
    println!("largest head: {} bytes", report.largest_head);
}

/// The owner of every shard of one entry ends at once.
fn measure_takeover() {
    let mut longest = Duration::ZERO;
    for seed in 0..20 {
        let plan = FleetPlan {
            seed,
            time: Duration::from_secs(10),
            ..FleetPlan::default()
        };
        let mut fleet = ClaimFleet::new(plan);
        fleet.run();
        longest = longest.max(fleet.end_entry(Duration::from_secs(2)));
    }
    println!(
        "takeover of all shards of an ended entry, longest of 20: {} ms",
        longest.as_millis()
    );
}

/// The resident memory of this process, from the kernel's count of pages.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
