//! Cost of dispatch events by the number of known servers.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use gs_control::dispatch::{
    AttemptEnd, DispatchEffect, DispatchEvent, DispatchSettings, DispatchState, RequestDemand,
    ServerObservation,
};
use gs_document::document::{CallerEntry, CallerRank, EnvironmentDocument, ModelEntry};
use gs_protocol::engine::{EngineRole, LoadReport};
use gs_protocol::ids::{FenceNumber, RequestId};
use gs_protocol::prefix::PrefixHash;
use gs_protocol::suspicion::RequestFingerprint;
use uuid::Uuid;

const FLEETS: [u32; 3] = [10, 75, 600];
const DATA_CENTRES: u32 = 4;
const ENTRIES: u32 = 7;
const PROMPT_TOKENS: u32 = 1_024;
const SHARED_PREFIXES: u64 = 100;
const SHARED_BLOCKS: u64 = 32;
const MAX_STREAMS: u32 = 20;

/// Load of the fleet.
#[derive(Clone, Copy)]
enum FleetLoad {
    Half,
    Full,
}

/// A dispatch state with a fleet, and the number of the latest request.
struct DispatchBench {
    state: DispatchState,
    now: Instant,
    number: u64,
    effects: Vec<DispatchEffect>,
}

impl DispatchBench {
    fn new(servers: u32, load: FleetLoad) -> Self {
        let settings = DispatchSettings {
            entries: ENTRIES,
            ..DispatchSettings::default()
        };
        let mut bench = Self {
            state: DispatchState::new(settings, 7),
            now: Instant::now(),
            number: 0,
            effects: Vec::new(),
        };
        bench.send(DispatchEvent::DocumentApplied(document()));
        for server in 0..servers {
            bench.send(DispatchEvent::LoadReported(observation(server, load)));
        }
        bench
    }

    fn send(&mut self, event: DispatchEvent) {
        self.state.handle(self.now, event, &mut self.effects);
    }

    fn next_demand(&mut self) -> RequestDemand {
        self.number += 1;
        let shared_prefix = self.number % SHARED_PREFIXES;
        let own_prefix = self.number;
        let prefix_hash = move |block| match block < SHARED_BLOCKS {
            true => PrefixHash(shared_prefix << 32 | block),
            false => PrefixHash(own_prefix << 32 | 1 << 63 | block),
        };
        RequestDemand {
            request: RequestId(Uuid::from_u64_pair(0, self.number)),
            caller: "clerks".into(),
            model: "care-notes".into(),
            prompt_tokens: PROMPT_TOKENS,
            prefix_hashes: (0..u64::from(PROMPT_TOKENS / 16))
                .map(prefix_hash)
                .collect(),
            max_tokens: 100,
            fingerprint: RequestFingerprint(self.number),
        }
    }

    /// Handles the arrival of one request and returns the time it took.
    fn send_request(&mut self) -> Duration {
        let event = DispatchEvent::RequestArrived(self.next_demand());
        let started_at = Instant::now();
        self.state
            .handle(self.now, black_box(event), &mut self.effects);
        started_at.elapsed()
    }

    /// Completes all started attempts.
    fn complete_attempts(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            if let DispatchEffect::Start { attempt, .. } = effect {
                self.send(DispatchEvent::PrefillDone {
                    attempt,
                    cached_tokens: 0,
                });
                self.send(DispatchEvent::FirstToken(attempt));
                let end = AttemptEnd::Completed { tokens: 100 };
                self.send(DispatchEvent::AttemptEnded { attempt, end });
            }
        }
    }
}

fn document() -> Arc<EnvironmentDocument> {
    let caller = CallerEntry {
        token_digests: Vec::new(),
        rank: CallerRank::Urgent,
        first_token: Duration::from_millis(500),
        between_tokens: Duration::from_millis(30),
        worth: 1.0,
        guaranteed_share: 0.2,
        queue_bound: 64,
        models: vec!["care-notes".into()],
        services: Vec::new(),
    };
    let model = ModelEntry {
        server_kind: "engine".into(),
        max_prompt_tokens: 100_000,
        max_output_tokens: 10_000,
    };
    Arc::new(EnvironmentDocument {
        callers: BTreeMap::from([("clerks".into(), caller)]),
        models: BTreeMap::from([("care-notes".into(), model)]),
        services: BTreeMap::new(),
        server_kinds: BTreeMap::new(),
        operators: BTreeMap::new(),
        key_retention: Duration::from_secs(3_600),
    })
}

fn observation(server: u32, load: FleetLoad) -> ServerObservation {
    let role = if server.is_multiple_of(3) {
        EngineRole::Prefill
    } else {
        EngineRole::Decode
    };
    let streams = match load {
        FleetLoad::Half => server % MAX_STREAMS,
        FleetLoad::Full => MAX_STREAMS,
    };
    let centre = server / 3 % DATA_CENTRES;
    ServerObservation {
        kind: "engine".into(),
        data_centre: format!("centre-{centre}").as_str().into(),
        delay: Duration::from_millis(u64::from(centre)),
        report: LoadReport {
            server: format!("server-{server}").as_str().into(),
            role,
            models: vec!["care-notes".into()],
            leaving: false,
            streams,
            reservations: 0,
            max_streams: MAX_STREAMS,
            prefill_tokens: server * 7 % 1_000,
            prefills: 1,
            free_blocks: 50_000,
            total_blocks: 60_000,
            transfer_bytes: 0,
            prefill_rate: 20_000,
            link_rate: 1_000_000_000,
            step_base_us: 10_000,
            step_stream_us: 500,
            fence: FenceNumber(0),
            boot: 1,
        },
    }
}

fn bench_start(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("arrival that starts");
    for servers in FLEETS {
        let mut bench = DispatchBench::new(servers, FleetLoad::Half);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter_custom(|rounds| {
                let mut total_time = Duration::ZERO;
                for _ in 0..rounds {
                    total_time += bench.send_request();
                    bench.complete_attempts();
                }
                total_time
            });
        });
    }
    group.finish();
}

fn bench_wait(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("arrival at a full fleet");
    for servers in FLEETS {
        let mut bench = DispatchBench::new(servers, FleetLoad::Full);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter_custom(|rounds| {
                let mut total_time = Duration::ZERO;
                for _ in 0..rounds {
                    total_time += bench.send_request();
                    bench.now += Duration::from_millis(1);
                    bench.effects.clear();
                }
                total_time
            });
        });
    }
    group.finish();
}

fn bench_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole request of four events");
    for servers in FLEETS {
        let mut bench = DispatchBench::new(servers, FleetLoad::Half);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                bench.send_request();
                bench.complete_attempts();
            });
        });
    }
    group.finish();
}

fn bench_report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("load report");
    for servers in FLEETS {
        let mut bench = DispatchBench::new(servers, FleetLoad::Half);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                bench.number += 1;
                let server = (bench.number % u64::from(servers)) as u32;
                bench.send(DispatchEvent::LoadReported(observation(
                    server,
                    FleetLoad::Half,
                )));
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_start(&mut criterion);
    bench_wait(&mut criterion);
    bench_request(&mut criterion);
    bench_report(&mut criterion);
    criterion.final_summary();
}
