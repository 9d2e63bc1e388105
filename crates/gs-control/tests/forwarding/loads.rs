//! Load and health of servers.

use std::time::Duration;

use gs_control::forwarding::{
    DecodeDemand, DirectorySettings, EngineSpec, EngineSubset, LoadSettings, LoadTracker,
    PlacementView, ServerDirectory, ServerLoad, ServerStage, ServerWork, StreamShape,
    WaitingCounts, choose_decode, choose_prefill, choose_server,
};
use gs_protocol::ids::{DataCentreName, ServerName};
use test_case::test_case;

use super::support::{milliseconds, server, start};

const FACTS: EngineSpec = EngineSpec {
    slots: 3,
    memory_tokens: 10_000,
    tokens_per_event: 10,
    stage_switch: None,
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
    let entries = (1..=count).map(|number| server(number, stage));
    directory.apply_list(start(), entries.collect());
    directory
}

/// What is known when servers are chosen, with the draw of one decision.
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
    }
}

fn choose(book: &LoadTracker, directory: &ServerDirectory) -> Option<ServerName> {
    let data_centre = "north".into();
    let view = view_of(&data_centre, directory, book, 1);
    choose_server(&view, &"notes".into(), &[])
}

fn choose_engine(book: &LoadTracker, directory: &ServerDirectory, part: f64) -> Option<ServerName> {
    let data_centre = "north".into();
    let view = view_of(&data_centre, directory, book, 1);
    let demand = DecodeDemand {
        shape: STREAM,
        memory_fraction: part,
        subset: EngineSubset::ALL,
    };
    choose_decode(&view, &"notes".into(), &FACTS, demand, &[])
}

#[test]
fn the_least_busy_server_is_chosen_with_peers_counted() {
    let mut book = LoadTracker::new(LoadSettings::default());
    let directory = directory(None, 2);
    book.add(&name(2), ServerLoad::REQUEST);
    assert_eq!(choose(&book, &directory), Some(name(1)));
    let work = ServerWork {
        load: ServerLoad {
            requests: 2,
            prompt_tokens: 0,
        },
        streams: Vec::new(),
    };
    book.apply_peer_digest(
        start(),
        &"entry-2".into(),
        vec![(name(1), work)],
        WaitingCounts::default(),
    );
    assert_eq!(choose(&book, &directory), Some(name(2)));
    book.expire_peers(start() + Duration::from_secs(4));
    assert_eq!(choose(&book, &directory), Some(name(1)));
}

/// Entries of a large fleet tell of themselves more rarely than a digest lives in a small one.
#[test_case(0, Some(1); "the digest of a small fleet has lapsed")]
#[test_case(3_900, Some(2); "that of a large one counts")]
fn a_digest_counts_until_the_next_one_is_due(interval: u64, expected: Option<u16>) {
    let mut book = LoadTracker::new(LoadSettings::default());
    let directory = directory(None, 2);
    book.set_heartbeat_interval(milliseconds(interval));
    book.add(&name(2), ServerLoad::REQUEST);
    let work = ServerWork {
        load: ServerLoad {
            requests: 2,
            prompt_tokens: 0,
        },
        streams: Vec::new(),
    };
    let peer = "entry-2".into();
    book.apply_peer_digest(
        start(),
        &peer,
        vec![(name(1), work)],
        WaitingCounts::default(),
    );
    book.expire_peers(start() + Duration::from_secs(4));
    assert_eq!(choose(&book, &directory), expected.map(name));
}

#[test]
fn a_server_that_fails_part_of_its_requests_gets_fewer() {
    let mut book = LoadTracker::new(LoadSettings::default());
    let directory = directory(None, 2);
    for number in 0..10 {
        book.record_answer(start(), &name(1), number % 2 == 0);
        book.record_answer(start(), &name(2), false);
    }
    assert_eq!(choose(&book, &directory), Some(name(2)));
}

#[test_case(0, true; "at once")]
#[test_case(200, true; "within the hold")]
#[test_case(300, false; "after the hold")]
fn an_unreachable_server_is_left_alone_for_a_while(after: u64, is_unavailable: bool) {
    let mut book = LoadTracker::new(LoadSettings::default());
    book.record_unreachable(start(), &name(1));
    let now = start();
    assert_eq!(
        book.is_unavailable(now + milliseconds(after), &server(1, None)),
        is_unavailable
    );
}

#[test]
fn an_unreachable_server_is_better_than_none() {
    let mut book = LoadTracker::new(LoadSettings::default());
    book.record_unreachable(start(), &name(1));
    assert_eq!(choose(&book, &directory(None, 1)), Some(name(1)));
}

#[test_case(0, 0.95, Some(1); "an idle engine")]
#[test_case(1, 0.95, Some(1); "room for two")]
#[test_case(2, 0.95, Some(1); "the third fits into nine thousand tokens")]
#[test_case(2, 0.8, None; "no room in the part for late streams")]
#[test_case(3, 2.0, None; "all slots are taken")]
fn an_engine_takes_what_fits(running: u16, part: f64, expected: Option<u16>) {
    let mut book = LoadTracker::new(LoadSettings::default());
    for _ in 0..running {
        book.add_stream(&name(1), STREAM);
    }
    let directory = directory(Some(ServerStage::Decode), 1);
    assert_eq!(choose_engine(&book, &directory, part), expected.map(name));
}

#[test]
fn an_engine_that_was_full_gets_nothing_for_a_moment() {
    let mut book = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 1);
    book.record_full(start(), &name(1));
    assert_eq!(choose_engine(&book, &directory, 0.95), None);
    assert!(!book.is_full(start() + milliseconds(150), &name(1)));
}

#[test]
fn entries_with_the_same_view_choose_different_engines() {
    let book = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 8);
    let data_centre = "north".into();
    let demand = DecodeDemand {
        shape: STREAM,
        memory_fraction: 0.95,
        subset: EngineSubset::ALL,
    };
    let chosen: std::collections::BTreeSet<ServerName> = (0..40)
        .filter_map(|salt| {
            let view = view_of(&data_centre, &directory, &book, salt);
            choose_decode(&view, &"notes".into(), &FACTS, demand, &[])
        })
        .collect();
    assert!(chosen.len() >= 6, "{chosen:?}");
}

/// Ten entries with a stream each see room at eight engines come at once: few engines are filled twice.
#[test]
fn room_is_dealt_out_among_the_entries_that_wait() {
    let book = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 8);
    let data_centre = "north".into();
    let mut taken: std::collections::BTreeMap<ServerName, u32> = Default::default();
    let turns = 200;
    for salt in 0..turns * 10 {
        let view = view_of(&data_centre, &directory, &book, salt);
        let demand = DecodeDemand {
            shape: STREAM,
            memory_fraction: 0.95,
            subset: EngineSubset::new(salt, 1, 9),
        };
        if let Some(server) = choose_decode(&view, &"notes".into(), &FACTS, demand, &[]) {
            *taken.entry(server).or_default() += 1;
        }
    }
    let starts: u32 = taken.values().sum();
    // Each turn ten entries take eight engines' room at the most, and much of it is used.
    assert!(
        (turns * 4..=turns * 8).contains(&u64::from(starts)),
        "{starts}"
    );
}

#[test]
fn peers_streams_take_room_and_grow_meanwhile() {
    let mut book = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Decode), 1);
    let work = ServerWork {
        load: ServerLoad::default(),
        streams: vec![STREAM, STREAM],
    };
    book.apply_peer_digest(
        start(),
        &"entry-2".into(),
        vec![(name(1), work)],
        WaitingCounts::default(),
    );
    assert_eq!(choose_engine(&book, &directory, 0.95), Some(name(1)));
    assert_eq!(choose_engine(&book, &directory, 0.85), None);
    let later = book.streams(start() + milliseconds(500), &name(1));
    assert!(
        later
            .iter()
            .all(|shape| shape.held_tokens > STREAM.held_tokens
                && shape.remaining_tokens < STREAM.remaining_tokens)
    );
}

#[test]
fn an_ended_stream_gives_its_room_back() {
    let mut book = LoadTracker::new(LoadSettings::default());
    let key = book.add_stream(&name(1), STREAM);
    book.grow_stream(&name(1), key, 100);
    assert_eq!(book.streams(start(), &name(1))[0].held_tokens, 2_100);
    book.remove_stream(&name(1), key);
    assert!(book.own_digest().is_empty());
}

#[test]
fn prompts_are_read_where_the_queue_is_shortest() {
    let mut book = LoadTracker::new(LoadSettings::default());
    let directory = directory(Some(ServerStage::Prefill), 2);
    let load = ServerLoad {
        requests: 1,
        prompt_tokens: 5_000,
    };
    book.add(&name(1), load);
    let data_centre = "north".into();
    let view = view_of(&data_centre, &directory, &book, 1);
    let chosen = choose_prefill(&view, &"notes".into(), &name(1), &[]);
    assert_eq!(chosen, Some(name(2)));
}
