//! Tests of the split of engines between the stages, with the fleet sizes of two deployments.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_control::forwarding::{
    CapacityTracker, ListedServer, ServerStage, StageChange, StageEstimate, StageNeed, StreamShape,
    next_stage_change,
};
use proptest::prelude::*;
use test_case::test_case;

use super::capacity_choices::{directory_of, trained};
use super::support::{milliseconds, server};

fn engines(prefills: u16, decodes: u16) -> Vec<ListedServer> {
    let prefills = (0..prefills).map(|number| server(number, Some(ServerStage::Prefill)));
    let decodes = (0..decodes).map(|number| server(1_000 + number, Some(ServerStage::Decode)));
    prefills.chain(decodes).collect()
}

fn need(prefill_seconds: f64, decode_seconds: f64) -> StageNeed {
    StageNeed {
        prefill_seconds,
        decode_seconds,
        prefill_samples: 32,
    }
}

/// Applies stage changes one after another, as one entry does. Returns the final numbers of prefill
/// and decode engines, and the number of changes.
fn settle(need: StageNeed, engines: &mut [ListedServer]) -> (usize, usize, usize) {
    let mut changes = 0;
    loop {
        let settled: Vec<&ListedServer> = engines.iter().collect();
        let Some(StageChange { server, stage }) = next_stage_change(
            need,
            &settled,
            |_| true,
            &BTreeMap::new(),
            &CapacityTracker::default(),
        ) else {
            break;
        };
        changes += 1;
        assert!(changes <= engines.len(), "the split does not settle");
        let changed = engines.iter_mut().find(|engine| engine.name == server);
        changed.expect("a settled engine").stage = Some(stage);
    }
    let count = |stage| {
        let engines_in_stage = engines.iter().filter(|engine| engine.stage == Some(stage));
        engines_in_stage.count()
    };
    (
        count(ServerStage::Prefill),
        count(ServerStage::Decode),
        changes,
    )
}

/// Prefills of 5,200 tokens take 94 ms; streams of 4 s hold a ninth of an engine's memory.
#[test_case(16, 29, 11, 34; "a large deployment")]
#[test_case(4, 7, 3, 8; "a small deployment")]
#[test_case(3, 6, 3, 6; "a deployment that is already balanced")]
#[test_case(1, 1, 1, 1; "one engine in each stage")]
fn surplus_prefill_engines_change_to_the_decode_stage(
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
fn decode_engines_change_if_prefill_engines_are_short() {
    let mut engines = engines(2, 43);
    let (prefills, _, changes) = settle(need(0.094, 0.45), &mut engines);
    assert!(prefills >= 5 && changes >= 3, "{prefills} after {changes}");
}

#[test]
fn changing_engines_count_for_their_new_stage() {
    let mut engines = engines(16, 29);
    let changing: BTreeMap<_, _> = engines
        .drain(..5)
        .map(|engine| (engine.name, ServerStage::Decode))
        .collect();
    let settled: Vec<&ListedServer> = engines.iter().collect();
    assert_eq!(
        next_stage_change(
            need(0.094, 0.45),
            &settled,
            |_| true,
            &changing,
            &CapacityTracker::default()
        ),
        None
    );
}

#[test]
fn an_engine_that_cannot_change_is_skipped() {
    let engines = engines(16, 29);
    let settled: Vec<&ListedServer> = engines.iter().collect();
    let need = need(0.094, 0.45);
    let first = next_stage_change(
        need,
        &settled,
        |_| true,
        &BTreeMap::new(),
        &CapacityTracker::default(),
    )
    .expect("a stage change");
    let second = next_stage_change(
        need,
        &settled,
        |engine| engine.name != first.server,
        &BTreeMap::new(),
        &CapacityTracker::default(),
    );
    let second = second.expect("another stage change");
    assert_ne!(first.server, second.server);
    assert_eq!(
        next_stage_change(
            need,
            &settled,
            |_| false,
            &BTreeMap::new(),
            &CapacityTracker::default()
        ),
        None
    );
}

#[test]
fn there_is_no_estimate_before_enough_samples() {
    let mut estimate = StageEstimate::default();
    let shape = StreamShape {
        held_tokens: 5_200,
        remaining_tokens: 4_130,
    };
    assert_eq!(estimate.need(66_117, 4.0), None);
    for _ in 0..3 {
        estimate.record_stream(shape);
        // Includes time in the engine's queue, unlike the last prefills.
        estimate.record_prefill(5_200, Duration::from_millis(280));
    }
    estimate.record_prefill(5_200, milliseconds(94));
    estimate.record_prefill(5_200, milliseconds(94));
    let need = estimate
        .need(66_117, 4.0)
        .expect("enough streams were recorded");
    assert!((need.prefill_seconds - 0.094).abs() < 0.001, "{need:?}");
    assert!((need.decode_seconds - 0.488).abs() < 0.005, "{need:?}");
}

/// Prompts that an engine has cached are read within a few milliseconds.
#[test_case(3, 1; "one of four")]
#[test_case(26, 6; "six of thirty-two")]
fn cached_prompts_do_not_make_engines_look_fast(uncached: u32, cached: u32) {
    let mut estimate = StageEstimate::default();
    let shape = StreamShape {
        held_tokens: 5_200,
        remaining_tokens: 4_130,
    };
    for number in 0..uncached {
        estimate.record_stream(shape);
        estimate.record_prefill(5_200, milliseconds(94));
        if number < cached {
            estimate.record_prefill(5_200, milliseconds(5));
        }
    }
    let need = estimate
        .need(66_117, 4.0)
        .expect("enough streams were recorded");
    assert!((need.prefill_seconds - 0.094).abs() < 0.001, "{need:?}");
}

#[test]
fn a_few_queued_prefills_do_not_show_a_shortage() {
    let engines = engines(3, 8);
    let settled: Vec<&ListedServer> = engines.iter().collect();
    let need = StageNeed {
        prefill_samples: 3,
        ..need(0.45, 0.4)
    };
    assert_eq!(
        next_stage_change(
            need,
            &settled,
            |_| true,
            &BTreeMap::new(),
            &CapacityTracker::default()
        ),
        None
    );
}

proptest! {
    /// For any need and any initial split, both stages keep an engine, no engine changes back and
    /// forth, and the split is stable once it is reached.
    #[test]
    fn the_split_settles_and_remains_stable(
        prefills in 1_u16..60,
        decodes in 1_u16..60,
        prefill_ms in 1_u32..2_000,
        decode_ms in 1_u32..2_000,
    ) {
        let need = need(f64::from(prefill_ms) / 1_000.0, f64::from(decode_ms) / 1_000.0);
        let mut engines = engines(prefills, decodes);
        let (prefills, decodes, _) = settle(need, &mut engines);
        prop_assert!(prefills >= 1 && decodes >= 1);
        let (_, _, changes) = settle(need, &mut engines);
        prop_assert_eq!(changes, 0);
    }
}

/// If engines were only counted, fast prefill engines would leave capacity unused.
#[test]
fn engines_count_with_their_learned_speeds() {
    let engines = engines(5, 8);
    let directory = directory_of(&engines);
    let settled: Vec<&ListedServer> = engines.iter().collect();
    let need = need(0.094, 0.26);
    let alike = CapacityTracker::default();
    let next = |capacity: &CapacityTracker| {
        next_stage_change(need, &settled, |_| true, &BTreeMap::new(), capacity)
    };
    assert_eq!(next(&alike), None);
    let fast = trained(&directory, &engines, &[1.7, 1.7]);
    let change = next(&fast).expect("a stage change");
    assert_eq!(change.stage, ServerStage::Decode);
}
