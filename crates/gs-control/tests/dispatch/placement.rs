//! Placement decisions of one entry.

use gs_control::dispatch::{AttemptEnd, DispatchEvent, DispatchSettings};
use gs_document::document::CallerRank;
use gs_protocol::engine::{CacheChange, CacheEvent, CacheEvents, EngineRole};
use gs_protocol::ids::ServerName;
use gs_protocol::prefix::PrefixHash;
use test_case::test_case;

use crate::fixture::{DispatchHarness, caller, demand, idle_report};

const SHARED_TOKENS: u32 = 1_600;
const LONG_TOKENS: u32 = 3_000;
/// Longer than the default `load_lag`.
const AFTER_LAG_MS: u64 = 300;

fn harness(settings: DispatchSettings) -> DispatchHarness {
    let callers = [
        ("clerks", caller(CallerRank::Urgent, 0.5, 500)),
        ("batch", caller(CallerRank::Normal, 0.0, 500)),
    ];
    DispatchHarness::new(settings, &callers)
}

/// Sends a request with the shared prompt and returns its prefill server.
fn send_shared(harness: &mut DispatchHarness, number: u64) -> ServerName {
    let mut demand = demand(number, "clerks", SHARED_TOKENS);
    demand.prefix_hashes = shared_prefix_hashes();
    harness.send(DispatchEvent::RequestArrived(demand));
    let started = harness.take_starts().remove(0);
    harness.end_attempt(started.attempt, AttemptEnd::Completed { tokens: 1 });
    started.prefill
}

fn shared_prefix_hashes() -> Vec<PrefixHash> {
    (0..u64::from(SHARED_TOKENS / 16)).map(PrefixHash).collect()
}

fn cache_events(server: &ServerName, change: CacheChange, first: u64) -> DispatchEvent {
    let events = (first..).zip(shared_prefix_hashes());
    let events: Vec<CacheEvent> = events
        .map(|(number, prefix)| CacheEvent {
            number,
            change,
            prefix,
        })
        .collect();
    let last = first + events.len() as u64;
    DispatchEvent::CacheChanged {
        server: server.clone(),
        events: CacheEvents {
            events,
            last,
            boot: 1,
        },
    }
}

/// Event after which a holder no longer has the prefix or should not be preferred for it.
#[derive(Clone, Copy)]
enum HolderLoss {
    Evicted,
    NewBoot,
    LongQueue,
}

#[test_case(None, true; "while the holder keeps it")]
#[test_case(Some(HolderLoss::Evicted), false; "until the holder evicts it")]
#[test_case(Some(HolderLoss::NewBoot), false; "until the holder restarts")]
#[test_case(Some(HolderLoss::LongQueue), false; "until the holder has a long queue")]
fn requests_follow_their_cached_prefix(loss: Option<HolderLoss>, follows_prefix: bool) {
    let mut harness = harness(DispatchSettings::default()).with_servers(2, 2);
    let default_holder = send_shared(&mut harness, 1);
    harness.send(cache_events(&default_holder, CacheChange::Evicted, 1));
    let holder: ServerName = if default_holder.as_str() == "p0" {
        "p1"
    } else {
        "p0"
    }
    .into();
    harness.send(cache_events(&holder, CacheChange::Stored, 1));
    assert_eq!(send_shared(&mut harness, 2), holder);
    harness.send(cache_events(&default_holder, CacheChange::Evicted, 200));
    let mut report = idle_report(holder.as_str(), EngineRole::Prefill);
    match loss {
        None => {}
        Some(HolderLoss::Evicted) => harness.send(cache_events(&holder, CacheChange::Evicted, 300)),
        Some(HolderLoss::NewBoot) => report.boot = 2,
        Some(HolderLoss::LongQueue) => report.prefill_tokens = 4_000,
    }
    harness.report_load(report);
    assert_eq!(send_shared(&mut harness, 3) == holder, follows_prefix);
}

#[test]
fn long_prompts_leave_prefill_servers_for_short_prompts() {
    let mut harness = harness(DispatchSettings::default()).with_servers(2, 2);
    harness.send_request(1, "clerks", LONG_TOKENS);
    harness.send_request(2, "clerks", LONG_TOKENS);
    harness.send_request(3, "clerks", 16);
    let starts = harness.take_starts();
    let numbers: Vec<u64> = starts
        .iter()
        .map(|start| start.request.0.as_u64_pair().1)
        .collect();
    assert_eq!(numbers, [1, 3]);
    assert_ne!(starts[0].prefill, starts[1].prefill);
}

#[test]
fn surplus_normal_work_leaves_slots_for_urgent_work() {
    let mut harness = harness(DispatchSettings::default()).with_servers(1, 0);
    let mut report = idle_report("d0", EngineRole::Decode);
    report.max_streams = 20;
    harness.report_load(report);
    (0..20).for_each(|number| harness.send_request(number, "batch", 16));
    assert_eq!(harness.take_starts().len(), 18);
    (20..24).for_each(|number| harness.send_request(number, "clerks", 16));
    assert_eq!(harness.take_starts().len(), 2);
}

#[test_case(2, 3; "own streams in the report are not counted twice")]
#[test_case(4, 2; "streams of peers in the report are counted")]
fn free_slots_after_a_load_report(streams: u32, started: u32) {
    let settings = DispatchSettings {
        entries: 2,
        ..DispatchSettings::default()
    };
    let mut harness = harness(settings).with_servers(1, 1);
    harness.send_request(1, "clerks", 16);
    harness.send_request(2, "clerks", 16);
    harness.advance_ms(AFTER_LAG_MS);
    let mut report = idle_report("d0", EngineRole::Decode);
    report.streams = streams;
    harness.report_load(report);
    (3..9).for_each(|number| harness.send_request(number, "clerks", 16));
    assert_eq!(harness.take_starts().len(), started as usize);
}
