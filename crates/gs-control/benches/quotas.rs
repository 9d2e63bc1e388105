//! Cost of a decision on a quota and of a peer's report, and the bytes of a report.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use gs_control::forwarding::{CostUnit, QuotaSettings, QuotaSpec, QuotaTracker, WorkspaceSpec};
use gs_protocol::ids::{EntryName, Incarnation};

const SIZES: [(usize, usize); 4] = [(16, 75), (16, 350), (1_000, 75), (1_000, 350)];
const RATE: f64 = 385_579.0;
const COST: u64 = 6_000;
const STEP: Duration = Duration::from_micros(500);

fn workspace_name(workspace: usize) -> String {
    format!("workspace-{workspace}")
}

fn tracker(now: Instant, workspaces: usize) -> QuotaTracker {
    let mut tracker = QuotaTracker::new(now, QuotaSettings::default(), Duration::from_secs(3));
    let specs: Vec<Arc<WorkspaceSpec>> = (0..workspaces)
        .map(|workspace| {
            Arc::new(WorkspaceSpec {
                name: workspace_name(workspace),
                rank: None,
                unit: CostUnit::Tokens { plain: COST },
                quota: Some(QuotaSpec {
                    rate: RATE,
                    burst: RATE,
                }),
            })
        })
        .collect();
    tracker.set_workspaces(now, &specs);
    tracker
}

/// A tracker that has heard all its peers, each with all workspaces, and the time.
struct QuotaBench {
    tracker: QuotaTracker,
    peer: QuotaTracker,
    now: Instant,
    names: Vec<String>,
    peers: Vec<EntryName>,
    number: usize,
}

impl QuotaBench {
    fn new(workspaces: usize, entries: usize) -> Self {
        let now = Instant::now();
        let mut bench = Self {
            tracker: tracker(now, workspaces),
            peer: tracker(now, workspaces),
            now,
            names: (0..workspaces).map(workspace_name).collect(),
            peers: (1..entries)
                .map(|entry| EntryName::new(format!("entry-{entry}")))
                .collect(),
            number: 0,
        };
        bench.tracker.set_peers(now, &bench.peers, true);
        bench.now += Duration::from_millis(100);
        for name in &bench.names {
            bench.peer.take(bench.now, name, COST, 0.5);
        }
        let digest = bench.peer.digest(bench.now);
        for peer in &bench.peers {
            let incarnation = Incarnation(1);
            bench
                .tracker
                .apply_digest(bench.now, peer, incarnation, &digest);
        }
        bench
    }

    fn decide(&mut self) {
        self.number += 1;
        // Time stands still often enough that no peer counts as silent.
        self.now += STEP / 10_000;
        let name = &self.names[self.number % self.names.len()];
        black_box(self.tracker.take(self.now, name, COST, 0.5));
    }

    fn receive(&mut self) {
        self.number += 1;
        self.now += STEP;
        let name = &self.names[self.number % self.names.len()];
        self.peer.take(self.now, name, COST, 0.0);
        let digest = self.peer.digest(self.now);
        let peer = &self.peers[self.number % self.peers.len()];
        self.tracker
            .apply_digest(self.now, peer, Incarnation(1), &digest);
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    for (workspaces, entries) in SIZES {
        let id = format!("{workspaces} workspaces, {entries} entries");
        let mut bench = QuotaBench::new(workspaces, entries);
        let mut bytes = Vec::new();
        if ciborium::into_writer(&bench.peer.digest(bench.now), &mut bytes).is_ok() {
            println!("{id}: {} bytes in a report", bytes.len());
        }
        let mut group = criterion.benchmark_group("quotas");
        group.bench_function(BenchmarkId::new("decision", &id), |bencher| {
            bencher.iter(|| bench.decide());
        });
        group.bench_function(BenchmarkId::new("report", &id), |bencher| {
            bencher.iter(|| bench.receive());
        });
        group.finish();
    }
    criterion.final_summary();
}
