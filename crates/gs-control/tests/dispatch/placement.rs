//! Where requests go, seen from one entry.

use gs_control::dispatch::{AttemptEnd, DispatchEvent, DispatchSettings};
use gs_document::document::CallerRank;
use gs_protocol::engine::{CacheChange, CacheEvent, CacheEvents, EngineRole};
use gs_protocol::ids::ServerName;
use gs_protocol::prefix::PrefixHash;
use test_case::test_case;

use crate::fixture::{Bench, caller, demand, idle_report};

const SHARED_TOKENS: u32 = 1_600;
const LONG_TOKENS: u32 = 3_000;
const PAST_LAG_MS: u64 = 300;

fn bench(settings: DispatchSettings) -> Bench {
    let callers = [
        ("clerks", caller(CallerRank::Urgent, 0.5, 500)),
        ("batch", caller(CallerRank::Normal, 0.0, 500)),
    ];
    Bench::new(settings, &callers)
}

/// Sends a request whose prompt is the shared one, and returns its prefill server.
fn send_shared(bench: &mut Bench, number: u64) -> ServerName {
    let mut demand = demand(number, "clerks", SHARED_TOKENS);
    demand.pieces = shared_pieces();
    bench.send(DispatchEvent::Arrived(demand));
    let started = bench.take_starts().remove(0);
    bench.end(started.attempt, AttemptEnd::Whole { tokens: 1 });
    started.prefill
}

fn shared_pieces() -> Vec<PrefixHash> {
    (0..u64::from(SHARED_TOKENS / 16)).map(PrefixHash).collect()
}

fn cache_events(server: &ServerName, change: CacheChange, first: u64) -> DispatchEvent {
    let events = (first..).zip(shared_pieces());
    let events: Vec<CacheEvent> = events
        .map(|(number, prefix)| CacheEvent {
            number,
            change,
            prefix,
        })
        .collect();
    let last = first + events.len() as u64;
    DispatchEvent::CacheSeen {
        server: server.clone(),
        events: CacheEvents {
            events,
            last,
            boot: 1,
        },
    }
}

/// What makes a holder lose its prefix, or the use of it.
#[derive(Clone, Copy)]
enum HolderLoss {
    Evicted,
    NewBoot,
    LongQueue,
}

#[test_case(None, true; "while the holder keeps it")]
#[test_case(Some(HolderLoss::Evicted), false; "until the holder evicts it")]
#[test_case(Some(HolderLoss::NewBoot), false; "until the holder starts anew")]
#[test_case(Some(HolderLoss::LongQueue), false; "until the holder has a long queue")]
fn a_prefix_draws_its_requests(loss: Option<HolderLoss>, drawn: bool) {
    let mut bench = bench(DispatchSettings::default()).with_servers(2, 2);
    let unaided = send_shared(&mut bench, 1);
    bench.send(cache_events(&unaided, CacheChange::Evicted, 1));
    let holder: ServerName = if unaided.as_str() == "p0" { "p1" } else { "p0" }.into();
    bench.send(cache_events(&holder, CacheChange::Stored, 1));
    assert_eq!(send_shared(&mut bench, 2), holder);
    bench.send(cache_events(&unaided, CacheChange::Evicted, 200));
    let mut report = idle_report(holder.as_str(), EngineRole::Prefill);
    match loss {
        None => {}
        Some(HolderLoss::Evicted) => bench.send(cache_events(&holder, CacheChange::Evicted, 300)),
        Some(HolderLoss::NewBoot) => report.boot = 2,
        Some(HolderLoss::LongQueue) => report.prefill_tokens = 4_000,
    }
    bench.see(report);
    assert_eq!(send_shared(&mut bench, 3) == holder, drawn);
}

#[test]
fn long_prompts_leave_servers_to_short_ones() {
    let mut bench = bench(DispatchSettings::default()).with_servers(2, 2);
    bench.arrive(1, "clerks", LONG_TOKENS);
    bench.arrive(2, "clerks", LONG_TOKENS);
    bench.arrive(3, "clerks", 16);
    let starts = bench.take_starts();
    let numbers: Vec<u64> = starts
        .iter()
        .map(|start| start.request.0.as_u64_pair().1)
        .collect();
    assert_eq!(numbers, [1, 3]);
    assert_ne!(starts[0].prefill, starts[1].prefill);
}

#[test]
fn normal_work_beyond_its_share_leaves_slots_to_urgent_work() {
    let mut bench = bench(DispatchSettings::default()).with_servers(1, 0);
    let mut report = idle_report("d0", EngineRole::Decode);
    report.max_streams = 20;
    bench.see(report);
    (0..20).for_each(|number| bench.arrive(number, "batch", 16));
    assert_eq!(bench.take_starts().len(), 18);
    (20..24).for_each(|number| bench.arrive(number, "clerks", 16));
    assert_eq!(bench.take_starts().len(), 2);
}

#[test_case(2, 3; "own streams in the report are not counted twice")]
#[test_case(4, 2; "streams of others in the report are counted")]
fn slots_beside_a_report(streams: u32, started: u32) {
    let settings = DispatchSettings {
        entries: 2,
        ..DispatchSettings::default()
    };
    let mut bench = bench(settings).with_servers(1, 1);
    bench.arrive(1, "clerks", 16);
    bench.arrive(2, "clerks", 16);
    bench.pass(PAST_LAG_MS);
    let mut report = idle_report("d0", EngineRole::Decode);
    report.streams = streams;
    bench.see(report);
    (3..9).for_each(|number| bench.arrive(number, "clerks", 16));
    assert_eq!(bench.take_starts().len(), started as usize);
}
