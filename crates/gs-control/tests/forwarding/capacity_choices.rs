//! Tests that alike servers are chosen as before speeds were learned, and how speeds change the choice.

use std::time::Duration;

use gs_control::forwarding::{
    CapacityTracker, DecodeDemand, DirectorySettings, EngineSpec, EngineSubset, LimitSettings,
    LimitTracker, ListedServer, LoadSettings, LoadTracker, OriginSettings, OriginTracker,
    PlacementView, ServerDirectory, ServerLoad, ServerStage, SoftwareNeed, StreamShape, WorkSample,
    choose_decode, choose_prefill, choose_server, projected_peak,
};
use gs_protocol::ids::ServerName;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::support::{milliseconds, server, start};

const SLOTS: u32 = 6;

pub fn directory_of(servers: &[ListedServer]) -> ServerDirectory {
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    directory.apply_list(start(), servers.to_vec());
    directory
}

/// Returns a tracker that has learned the speeds of the first servers; the others have speed 1.
pub fn trained(
    directory: &ServerDirectory,
    servers: &[ListedServer],
    speeds: &[f64],
) -> CapacityTracker {
    let mut capacity = CapacityTracker::default();
    let base = start();
    for tick in 0..3_000 {
        let now = base + milliseconds(tick * 10);
        for (number, server) in servers.iter().enumerate() {
            let speed = speeds.get(number).copied().unwrap_or(1.0);
            let gap = milliseconds(40).mul_f64(1.0 / speed);
            let sample = WorkSample::Decode { gap, running: 5 };
            capacity.observe(now, server, sample);
        }
        capacity.refresh(now, directory);
    }
    capacity
}

/// A fast engine takes more streams, but never more than its memory holds.
#[test]
fn a_fast_engine_is_preferred_within_its_memory() {
    let servers: Vec<ListedServer> = (0..6)
        .map(|number| server(number, Some(ServerStage::Decode)))
        .collect();
    let directory = directory_of(&servers);
    let capacity = trained(&directory, &servers, &[0.7, 1.7]);
    let mut loads = LoadTracker::new(LoadSettings::default());
    let (limits, origins) = nothing_limited();
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut first = Vec::new();
    loop {
        let view = PlacementView {
            now: start(),
            salt: rng.r#gen(),
            data_centre: &"north".into(),
            directory: &directory,
            loads: &loads,
            limits: &limits,
            origins: &origins,
            capacity: &capacity,
        };
        let Some(chosen) = choose_decode(&view, &"notes".into(), &SPEC, DEMAND, &[]) else {
            break;
        };
        loads.add_stream(&chosen, STREAM);
        if first.len() < 12 {
            first.push(chosen);
        }
    }
    let count = |number: usize| {
        let of_server = first.iter().filter(|name| **name == servers[number].name);
        of_server.count()
    };
    assert!(count(1) >= 3 && count(0) <= 1, "{first:?}");
    let streams = servers.iter();
    let streams: Vec<usize> = streams
        .map(|server| loads.streams(start(), &server.name).len())
        .collect();
    // Seven such streams need 65,400 tokens at their peak, which is over nine tenths of the memory.
    assert_eq!(streams, [6; 6]);
}

/// Servers of another data centre take the excess while the local ones are busy, and only then.
#[test]
fn demand_moves_to_another_data_centre_and_returns() {
    let servers: Vec<ListedServer> = (0..4)
        .map(|number| ListedServer {
            data_centre: if number < 2 {
                "north".into()
            } else {
                "south".into()
            },
            slots: SLOTS,
            ..server(number, None)
        })
        .collect();
    let directory = directory_of(&servers);
    let mut loads = LoadTracker::new(LoadSettings::default());
    let (limits, origins) = nothing_limited();
    let capacity = CapacityTracker::default();
    let mut chosen: Vec<ServerName> = Vec::new();
    let choose = |loads: &LoadTracker| {
        let view = PlacementView {
            now: start(),
            salt: 1,
            data_centre: &"north".into(),
            directory: &directory,
            loads,
            limits: &limits,
            origins: &origins,
            capacity: &capacity,
        };
        choose_server(&view, &"notes".into(), &[]).expect("a server")
    };
    for _ in 0..2 * SLOTS {
        let name = choose(&loads);
        loads.add(&name, ServerLoad::REQUEST);
        chosen.push(name);
    }
    let is_local = |name: &ServerName| servers[..2].iter().any(|server| server.name == *name);
    assert!(chosen[..4].iter().all(is_local), "{chosen:?}");
    assert!(!chosen.iter().all(is_local), "{chosen:?}");
    for name in &chosen {
        loads.remove(name, ServerLoad::REQUEST);
    }
    assert!(is_local(&choose(&loads)));
}

fn nothing_limited() -> (LimitTracker, OriginTracker) {
    (
        LimitTracker::new(LimitSettings::default()),
        OriginTracker::new(start(), OriginSettings::default()),
    )
}

const SPEC: EngineSpec = EngineSpec {
    slots: 16,
    memory_tokens: 70_809,
    tokens_per_event: 73,
    result_lifetime: Duration::from_millis(500),
    stage_change_time: None,
};

const DEMAND: DecodeDemand<'static> = DecodeDemand {
    shape: STREAM,
    memory_fraction: 0.9,
    subset: EngineSubset::ALL,
    software: &SoftwareNeed::Any,
};

/// The costs before speeds were learned.
fn earlier_choice(view: &PlacementView<'_>, stage: Option<ServerStage>) -> Option<ServerName> {
    let service = "notes".into();
    let servers = view.directory.usable_servers(view.now, &service, stage);
    let cost = |server: &ListedServer| {
        let hash = xxh3_64_with_seed(server.name.as_str().as_bytes(), view.salt);
        let jitter = hash as f64 / u64::MAX as f64;
        let failures = view.loads.failure_rate(view.now, &server.name);
        let remote = |cost| {
            if server.data_centre == *view.data_centre {
                0.0
            } else {
                cost
            }
        };
        let load = view.loads.load(&server.name);
        match stage {
            None => {
                let busy = f64::from(load.requests) / f64::from(server.slots.max(1));
                Some(busy + 6.0 * failures + remote(0.34))
            }
            Some(ServerStage::Prefill) => Some(
                load.prompt_tokens as f64
                    + failures * 40_000.0
                    + remote(1_500.0)
                    + 1_000.0 * jitter,
            ),
            Some(ServerStage::Decode) => {
                let mut shapes = view.loads.streams(view.now, &server.name);
                let is_alone = shapes.is_empty();
                shapes.push(STREAM);
                let fits = shapes.len() <= SPEC.slots as usize;
                let fraction = projected_peak(&mut shapes) as f64 / SPEC.memory_tokens as f64;
                (fits && (fraction <= 0.9 || is_alone))
                    .then(|| fraction + 6.0 * failures + remote(0.08) + 0.08 * jitter)
            }
        }
    };
    let scored = servers.filter_map(|server| Some((cost(server)?, server)));
    let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, server)| server.name.clone())
}

const STREAM: StreamShape = StreamShape {
    held_tokens: 5_200,
    remaining_tokens: 5_000,
};

fn random_loads(rng: &mut Pcg64Mcg, servers: &[ListedServer]) -> LoadTracker {
    let mut loads = LoadTracker::new(LoadSettings::default());
    for server in servers {
        for _ in 0..rng.gen_range(0..5) {
            let load = ServerLoad {
                requests: 1,
                prompt_tokens: rng.gen_range(0..3_000),
            };
            loads.add(&server.name, load);
            loads.add_stream(&server.name, STREAM.grown_by(rng.gen_range(0..4_000)));
        }
        if rng.gen_bool(0.2) {
            loads.record_answer(start(), &server.name, true);
        }
    }
    loads
}

/// Estimates within the dead band must not change a single decision.
#[test_case(None; "plain")]
#[test_case(Some(ServerStage::Prefill); "prefill")]
#[test_case(Some(ServerStage::Decode); "decode")]
fn choices_among_alike_servers_are_the_earlier_ones(stage: Option<ServerStage>) {
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let servers: Vec<ListedServer> = (0..12)
        .map(|number| ListedServer {
            slots: 16,
            data_centre: if number % 3 == 0 {
                "south".into()
            } else {
                "north".into()
            },
            ..server(number, stage)
        })
        .collect();
    let directory = directory_of(&servers);
    let mut capacity = CapacityTracker::default();
    let base = start();
    for tick in 0..4_000 {
        let now = base + milliseconds(tick * 10);
        let number = rng.gen_range(0..servers.len());
        // Within the dead band, and with noise.
        let mean = 40.0 * if number < 3 { 1.2 } else { 1.0 };
        let gap = milliseconds(10).mul_f64(mean * rng.gen_range(0.8..1.25));
        capacity.observe(
            now,
            &servers[number],
            WorkSample::Decode { gap, running: 5 },
        );
        capacity.refresh(now, &directory);
    }
    assert!(!capacity.digest().is_empty(), "no difference was observed");
    let (limits, origins) = nothing_limited();
    for _ in 0..2_000 {
        let loads = random_loads(&mut rng, &servers);
        let view = PlacementView {
            now: start(),
            salt: rng.r#gen(),
            data_centre: &"north".into(),
            directory: &directory,
            loads: &loads,
            limits: &limits,
            origins: &origins,
            capacity: &capacity,
        };
        let service = "notes".into();
        let chosen = match stage {
            None => choose_server(&view, &service, &[]),
            Some(ServerStage::Prefill) => choose_prefill(&view, &service, &"none".into(), &[]),
            Some(ServerStage::Decode) => choose_decode(&view, &service, &SPEC, DEMAND, &[]),
        };
        assert_eq!(chosen, earlier_choice(&view, stage));
    }
}
