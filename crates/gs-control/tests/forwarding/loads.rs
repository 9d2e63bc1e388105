//! Tests of server selection by load and health.

use std::sync::LazyLock;
use std::time::Duration;

use gs_control::forwarding::{
    CapacityTracker, DecodeDemand, DirectorySettings, EngineSpec, EngineSubset, LimitSettings,
    LimitTracker, LoadSettings, LoadTracker, OriginSettings, OriginTracker, PlacementView,
    ServerDirectory, ServerLoad, ServerStage, ServerWork, SoftwareNeed, StreamShape, WaitingCounts,
    choose_decode, choose_prefill, choose_server,
};
use gs_protocol::ids::{DataCentreName, ServerName};
use test_case::test_case;

use super::support::{milliseconds, server, start};

const SPEC: EngineSpec = EngineSpec {
    slots: 3,
    memory_tokens: 10_000,
    tokens_per_event: 10,
    stage_change_time: None,
    result_lifetime: Duration::from_millis(500),
};

const STREAM: StreamShape = StreamShape {
    held_tokens: 2_000,
    remaining_tokens: 1_000,
};

fn name(number: u16) -> ServerName {
    server(number, None).name
}

fn directory(stage: Option<ServerStage>, count: u16) -> ServerDirectory {
    let mut directory = ServerDirectory::new(DirectorySettings::default());
    let servers = (1..=count).map(|number| server(number, stage));
    directory.apply_list(start(), servers.collect());
    directory
}

static NO_LIMITS: LazyLock<LimitTracker> =
    LazyLock::new(|| LimitTracker::new(LimitSettings::default()));

static ALIKE: LazyLock<CapacityTracker> = LazyLock::new(CapacityTracker::default);

static NO_ORIGINS: LazyLock<OriginTracker> =
    LazyLock::new(|| OriginTracker::new(start(), OriginSettings::default()));

/// Returns the view of one decision, with the given salt.
fn view_of<'a>(
    data_centre: &'a DataCentreName,
    directory: &'a ServerDirectory,
    loads: &'a LoadTracker,
    salt: u64,
) -> PlacementView<'a> {
    PlacementView {
        now: start(),
        salt,
        data_centre,
        directory,
        loads,
        limits: &NO_LIMITS,
        origins: &NO_ORIGINS,
        capacity: &ALIKE,
    }
}

fn choose(tracker: &LoadTracker, directory: &ServerDirectory) -> Option<ServerName> {
    let data_centre = "north".into();
    let view = view_of(&data_centre, directory, tracker, 1);
    choose_server(&view, &"notes".into(), &[])
}

fn choose_engine(
    tracker: &LoadTracker,
    directory: &ServerDirectory,
    memory_fraction: f64,
) -> Option<ServerName> {
    let data_centre = "north".into();
    let view = view_of(&data_centre, directory, tracker, 1);
    let demand = DecodeDemand {
        shape: STREAM,
        memory_fraction,
        subset: EngineSubset::ALL,
        software: &SoftwareNeed::Any,
    };
    choose_decode(&view, &"notes".into(), &SPEC, demand, &[])
}

#[test]
fn the_least_busy_server_is_chosen_counting_the_load_of_peers() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(None, 2);
    tracker.add(&name(2), ServerLoad::REQUEST);
    assert_eq!(choose(&tracker, &directory), Some(name(1)));
    let work = ServerWork {
        load: ServerLoad {
            requests: 2,
            prompt_tokens: 0,
        },
        streams: Vec::new(),
    };
    tracker.apply_peer_digest(
        start(),
        &"entry-2".into(),
        vec![(name(1), work)],
        WaitingCounts::default(),
    );
    assert_eq!(choose(&tracker, &directory), Some(name(2)));
    tracker.expire_peers(start() + Duration::from_secs(4));
    assert_eq!(choose(&tracker, &directory), Some(name(1)));
}

/// Entries of a large fleet send heartbeats at intervals longer than the lifetime of a digest in a
/// small fleet.
#[test_case(0, Some(1); "the digest has expired in a small fleet")]
#[test_case(3_900, Some(2); "the digest still counts in a large fleet")]
fn a_digest_lives_for_more_than_one_heartbeat_interval(interval: u64, expected: Option<u16>) {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(None, 2);
    tracker.set_heartbeat_interval(milliseconds(interval));
    tracker.add(&name(2), ServerLoad::REQUEST);
    let work = ServerWork {
        load: ServerLoad {
            requests: 2,
            prompt_tokens: 0,
        },
        streams: Vec::new(),
    };
    let peer = "entry-2".into();
    tracker.apply_peer_digest(
        start(),
        &peer,
        vec![(name(1), work)],
        WaitingCounts::default(),
    );
    tracker.expire_peers(start() + Duration::from_secs(4));
    assert_eq!(choose(&tracker, &directory), expected.map(name));
}

#[test]
fn a_server_that_fails_some_requests_is_avoided() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(None, 2);
    for number in 0..10 {
        tracker.record_answer(start(), &name(1), number % 2 == 0);
        tracker.record_answer(start(), &name(2), false);
    }
    assert_eq!(choose(&tracker, &directory), Some(name(2)));
}

#[test_case(0, true; "at once")]
#[test_case(200, true; "during the backoff")]
#[test_case(300, false; "after the backoff")]
fn an_unreachable_server_is_unavailable_during_its_backoff(after: u64, is_unavailable: bool) {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    tracker.record_unreachable(start(), &name(1));
    let now = start();
    assert_eq!(
        tracker.is_unavailable(now + milliseconds(after), &server(1, None)),
        is_unavailable
    );
}

#[test]
fn an_unreachable_server_is_chosen_if_there_is_no_other() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    tracker.record_unreachable(start(), &name(1));
    assert_eq!(choose(&tracker, &directory(None, 1)), Some(name(1)));
}

#[test_case(0, 0.95, Some(1); "an idle engine")]
#[test_case(1, 0.95, Some(1); "memory for two streams")]
#[test_case(2, 0.95, Some(1); "three streams need nine thousand tokens")]
#[test_case(2, 0.8, None; "three streams exceed the limit of late streams")]
#[test_case(3, 2.0, None; "all slots are in use")]
fn an_engine_accepts_streams_up_to_its_memory_and_slots(
    running: u16,
    memory_fraction: f64,
    expected: Option<u16>,
) {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    for _ in 0..running {
        tracker.add_stream(&name(1), STREAM);
    }
    let directory = directory(Some(ServerStage::Decode), 1);
    assert_eq!(
        choose_engine(&tracker, &directory, memory_fraction),
        expected.map(name)
    );
}

#[test]
fn a_full_engine_is_briefly_not_chosen() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 1);
    tracker.record_full(start(), &name(1));
    assert_eq!(choose_engine(&tracker, &directory, 0.95), None);
    assert!(!tracker.is_full(start() + milliseconds(150), &name(1)));
}

#[test]
fn entries_with_the_same_view_choose_different_engines() {
    let tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 8);
    let data_centre = "north".into();
    let demand = DecodeDemand {
        shape: STREAM,
        memory_fraction: 0.95,
        subset: EngineSubset::ALL,
        software: &SoftwareNeed::Any,
    };
    let chosen: std::collections::BTreeSet<ServerName> = (0..40)
        .filter_map(|salt| {
            let view = view_of(&data_centre, &directory, &tracker, salt);
            choose_decode(&view, &"notes".into(), &SPEC, demand, &[])
        })
        .collect();
    assert!(chosen.len() >= 6, "{chosen:?}");
}

/// Guards against all entries claiming the same freed memory: memory becomes free at eight engines
/// at once, while one stream waits at each of ten entries.
#[test]
fn free_engines_are_divided_among_the_waiting_entries() {
    let tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 8);
    let data_centre = "north".into();
    let mut starts_by_engine: std::collections::BTreeMap<ServerName, u32> = Default::default();
    let rounds = 200;
    for salt in 0..rounds * 10 {
        let view = view_of(&data_centre, &directory, &tracker, salt);
        let demand = DecodeDemand {
            shape: STREAM,
            memory_fraction: 0.95,
            subset: EngineSubset::new(salt, 1, 9),
            software: &SoftwareNeed::Any,
        };
        if let Some(server) = choose_decode(&view, &"notes".into(), &SPEC, demand, &[]) {
            *starts_by_engine.entry(server).or_default() += 1;
        }
    }
    let starts: u32 = starts_by_engine.values().sum();
    // In an average round, the ten entries start no more streams than there are engines, and at
    // least half as many.
    assert!(
        (rounds * 4..=rounds * 8).contains(&u64::from(starts)),
        "{starts}"
    );
}

#[test]
fn streams_of_peers_use_memory_and_grow_between_digests() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 1);
    let work = ServerWork {
        load: ServerLoad::default(),
        streams: vec![STREAM, STREAM],
    };
    tracker.apply_peer_digest(
        start(),
        &"entry-2".into(),
        vec![(name(1), work)],
        WaitingCounts::default(),
    );
    assert_eq!(choose_engine(&tracker, &directory, 0.95), Some(name(1)));
    assert_eq!(choose_engine(&tracker, &directory, 0.85), None);
    let later = tracker.streams(start() + milliseconds(500), &name(1));
    assert!(
        later
            .iter()
            .all(|shape| shape.held_tokens > STREAM.held_tokens
                && shape.remaining_tokens < STREAM.remaining_tokens)
    );
}

#[test]
fn a_removed_stream_no_longer_uses_memory() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let key = tracker.add_stream(&name(1), STREAM);
    tracker.grow_stream(&name(1), key, 100);
    assert_eq!(tracker.streams(start(), &name(1))[0].held_tokens, 2_100);
    tracker.remove_stream(&name(1), key);
    assert!(tracker.own_digest().is_empty());
}

#[test]
fn the_prefill_engine_with_the_fewest_queued_tokens_is_chosen() {
    let mut tracker = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Prefill), 2);
    let load = ServerLoad {
        requests: 1,
        prompt_tokens: 5_000,
    };
    tracker.add(&name(1), load);
    let data_centre = "north".into();
    let view = view_of(&data_centre, &directory, &tracker, 1);
    let chosen = choose_prefill(&view, &"notes".into(), &name(1), &[]);
    assert_eq!(chosen, Some(name(2)));
}
