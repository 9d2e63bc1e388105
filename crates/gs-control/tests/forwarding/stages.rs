//! How the engines are split between the stages, under the loads of both users.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_control::forwarding::{
    ServerEntry, ServerStage, StageChange, StageEstimate, StageNeed, StreamShape, next_stage_change,
};
use proptest::prelude::*;
use test_case::test_case;

use super::support::{milliseconds, server};

fn engines(prefills: u16, decodes: u16) -> Vec<ServerEntry> {
    let prefills = (0..prefills).map(|number| server(number, Some(ServerStage::Prefill)));
    let decodes = (0..decodes).map(|number| server(1_000 + number, Some(ServerStage::Decode)));
    prefills.chain(decodes).collect()
}

fn need(prefill_seconds: f64, decode_seconds: f64) -> StageNeed {
    StageNeed {
        prefill_seconds,
        decode_seconds,
    }
}

/// Carries out the moves one after another, as one entry does; returns the split in the end.
fn settle(need: StageNeed, engines: &mut [ServerEntry]) -> (usize, usize, usize) {
    let mut moves = 0;
    loop {
        let settled: Vec<&ServerEntry> = engines.iter().collect();
        let Some(StageChange { server, stage }) =
            next_stage_change(need, &settled, |_| true, &BTreeMap::new())
        else {
            break;
        };
        moves += 1;
        assert!(moves <= engines.len(), "it goes back and forth");
        let moved = engines.iter_mut().find(|entry| entry.name == server);
        moved.expect("a settled engine").stage = Some(stage);
    }
    let count = |stage| {
        let of_stage = engines.iter().filter(|entry| entry.stage == Some(stage));
        of_stage.count()
    };
    (
        count(ServerStage::Prefill),
        count(ServerStage::Decode),
        moves,
    )
}

/// Prompts of 5,200 tokens read in 94 ms; streams of 4 s that hold a ninth of an engine's memory.
#[test_case(16, 29, 11, 34; "the larger head office")]
#[test_case(4, 7, 3, 8; "the counter")]
#[test_case(3, 6, 3, 6; "the head office is split well")]
#[test_case(1, 1, 1, 1; "one of each")]
fn idle_prefill_engines_go_to_the_decode_stage(
    prefills: u16,
    decodes: u16,
    expected_prefills: usize,
    expected_decodes: usize,
) {
    let mut engines = engines(prefills, decodes);
    let (prefills, decodes, _) = settle(need(0.094, 0.45), &mut engines);
    assert_eq!((prefills, decodes), (expected_prefills, expected_decodes));
}

#[test]
fn a_shortage_of_prefill_engines_is_made_good() {
    let mut engines = engines(2, 43);
    let (prefills, _, moves) = settle(need(0.094, 0.45), &mut engines);
    assert!(prefills >= 5 && moves >= 3, "{prefills} after {moves}");
}

#[test]
fn engines_that_are_changing_count_where_they_go() {
    let mut engines = engines(16, 29);
    let moving: BTreeMap<_, _> = engines
        .drain(..5)
        .map(|entry| (entry.name, ServerStage::Decode))
        .collect();
    let settled: Vec<&ServerEntry> = engines.iter().collect();
    assert_eq!(
        next_stage_change(need(0.094, 0.45), &settled, |_| true, &moving),
        None
    );
}

#[test]
fn an_engine_that_may_not_be_asked_is_passed_over() {
    let engines = engines(16, 29);
    let settled: Vec<&ServerEntry> = engines.iter().collect();
    let need = need(0.094, 0.45);
    let first = next_stage_change(need, &settled, |_| true, &BTreeMap::new()).expect("a move");
    let second = next_stage_change(
        need,
        &settled,
        |entry| entry.name != first.server,
        &BTreeMap::new(),
    );
    let second = second.expect("another move");
    assert_ne!(first.server, second.server);
    assert_eq!(
        next_stage_change(need, &settled, |_| false, &BTreeMap::new()),
        None
    );
}

#[test]
fn nothing_is_moved_before_streams_were_seen() {
    let mut estimate = StageEstimate::default();
    let shape = StreamShape {
        held_tokens: 5_200,
        remaining_tokens: 4_130,
    };
    assert_eq!(estimate.need(66_117, 4.0), None);
    for _ in 0..3 {
        estimate.record_stream(shape);
        // Two of three were read behind others.
        estimate.record_prefill(5_200, Duration::from_millis(280));
    }
    estimate.record_prefill(5_200, milliseconds(94));
    let need = estimate.need(66_117, 4.0).expect("streams were seen");
    assert!((need.prefill_seconds - 0.094).abs() < 0.001, "{need:?}");
    assert!((need.decode_seconds - 0.488).abs() < 0.005, "{need:?}");
}

proptest! {
    /// Whatever is needed and however the engines are split, both stages keep an engine, no engine goes back
    /// and forth, and the split that is reached is not moved from again.
    #[test]
    fn a_split_is_reached_and_kept(
        prefills in 1_u16..60,
        decodes in 1_u16..60,
        prefill_ms in 1_u32..2_000,
        decode_ms in 1_u32..2_000,
    ) {
        let need = need(f64::from(prefill_ms) / 1_000.0, f64::from(decode_ms) / 1_000.0);
        let mut engines = engines(prefills, decodes);
        let (prefills, decodes, _) = settle(need, &mut engines);
        prop_assert!(prefills >= 1 && decodes >= 1);
        let (_, _, moves) = settle(need, &mut engines);
        prop_assert_eq!(moves, 0);
    }
}
