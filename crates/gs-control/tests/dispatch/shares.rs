//! Property tests of the shares of callers and ranks while all of them have waiting requests.

use std::collections::VecDeque;

use gs_control::dispatch::{AttemptEnd, DispatchEvent, DispatchSettings, RequestStage};
use gs_document::document::{CallerEntry, CallerRank};
use gs_protocol::engine::EngineReason;
use gs_protocol::ids::RequestId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::fixture::{DispatchHarness, MAX_STREAMS, StartedAttempt, caller, demand};

const NAMES: [&str; 4] = ["clerks", "desk", "vans", "batch"];
const RANKS: [CallerRank; 4] = [
    CallerRank::Urgent,
    CallerRank::Urgent,
    CallerRank::Normal,
    CallerRank::Normal,
];
const REQUESTS_EACH: usize = 60;
const ROUNDS: usize = 100;
const FULL_BACKOFF_MS: u64 = 1_000;
const MAX_TOKENS: u32 = 200;
const CASES: u32 = 64;

/// Guaranteed shares of the callers, output tokens of their requests, and the rounds in which a
/// full server refuses the starts.
#[derive(Clone, Debug)]
struct RandomLoad {
    shares: [f64; 4],
    tokens: Vec<[u32; 4]>,
    refused: Vec<bool>,
}

fn any_load() -> impl Strategy<Value = RandomLoad> {
    let shares = prop::array::uniform4(0.0_f64..0.25);
    let tokens = prop::collection::vec(prop::array::uniform4(1..MAX_TOKENS), REQUESTS_EACH);
    let refused = prop::collection::vec(prop::bool::weighted(0.2), ROUNDS);
    (shares, tokens, refused).prop_map(|(shares, tokens, refused)| RandomLoad {
        shares,
        tokens,
        refused,
    })
}

/// Engine time of a request with one prompt token, in microseconds.
fn cost_us(tokens: u32) -> f64 {
    let step_us = 10_000 + 500 * u64::from(MAX_STREAMS);
    (100 + u64::from(tokens) * step_us / u64::from(MAX_STREAMS)) as f64
}

/// Cumulative engine time started for each caller, one array per start.
fn serve_load(load: &RandomLoad) -> Vec<[f64; 4]> {
    let entries: Vec<(&str, CallerEntry)> = (0..4)
        .map(|index| {
            (
                NAMES[index],
                caller(RANKS[index], load.shares[index], 10_000_000),
            )
        })
        .collect();
    let mut harness =
        DispatchHarness::new(DispatchSettings::default(), &entries).with_servers(1, 1);
    fill_slots(&mut harness);
    let mut tokens = Vec::new();
    for round_tokens in &load.tokens {
        for (index, name) in NAMES.iter().enumerate() {
            let mut demand = demand(tokens.len() as u64 + 100, name, 1);
            demand.max_tokens = round_tokens[index];
            tokens.push((index, round_tokens[index]));
            harness.send(DispatchEvent::RequestArrived(demand));
        }
    }
    let mut served = [0.0; 4];
    let mut history = Vec::new();
    let mut running: VecDeque<StartedAttempt> = harness.take_starts().into();
    for is_refused in &load.refused {
        let Some(oldest) = running.pop_front() else {
            break;
        };
        harness.end_attempt(oldest.attempt, AttemptEnd::Completed { tokens: 1 });
        let mut starts = harness.take_starts();
        if *is_refused {
            starts = refuse_starts(&mut harness, starts);
        }
        for started in starts {
            let (index, tokens) = tokens[request_number(started.request) - 100];
            served[index] += cost_us(tokens);
            history.push(served);
            running.push_back(started);
        }
    }
    history
}

/// Refuses every start because the server is full, and returns the starts after the backoff.
fn refuse_starts(
    harness: &mut DispatchHarness,
    starts: Vec<StartedAttempt>,
) -> Vec<StartedAttempt> {
    let (stage, reason) = (RequestStage::Reserve, EngineReason::Full);
    for started in starts {
        harness.end_attempt(started.attempt, AttemptEnd::Refused { stage, reason });
    }
    harness.advance_ms(FULL_BACKOFF_MS);
    harness.take_starts()
}

/// Occupies every slot, so that all following requests have to wait.
fn fill_slots(harness: &mut DispatchHarness) {
    for number in 0..u64::from(MAX_STREAMS) {
        harness.send_request(number, NAMES[0], 1);
    }
}

fn request_number(request: RequestId) -> usize {
    request.0.as_u64_pair().1 as usize
}

/// Checks a property after each start under random loads. The property gets the load, the work
/// started for each caller and its sum.
fn check_property(property: impl Fn(&RandomLoad, &[f64; 4], f64) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(&any_load(), |load| {
        let history = serve_load(&load);
        prop_assert!(history.len() > REQUESTS_EACH / 2);
        for served in history.iter().take(REQUESTS_EACH) {
            property(&load, served, served.iter().sum())?;
        }
        Ok(())
    });
    outcome.expect("property holds in every case");
}

#[test]
fn callers_keep_their_guaranteed_share_while_they_have_work() {
    check_property(|load, served, total| {
        let slack = 2.0 * cost_us(MAX_TOKENS);
        for index in 0..4 {
            let bound = load.shares[index] * total - slack;
            prop_assert!(
                served[index] >= bound,
                "{} was started for {} us, bound {bound} us",
                NAMES[index],
                served[index]
            );
        }
        Ok(())
    });
}

#[test]
fn normal_work_precedes_urgent_work_only_within_its_share() {
    check_property(|load, served, total| {
        for index in 2..4 {
            let bound = load.shares[index] * total + 2.0 * cost_us(MAX_TOKENS);
            prop_assert!(
                served[index] <= bound,
                "{} was started for {} us, bound {bound} us",
                NAMES[index],
                served[index]
            );
        }
        Ok(())
    });
}

#[test]
fn callers_of_equal_rank_and_worth_split_the_surplus_evenly() {
    check_property(|load, served, total| {
        let surplus = |index: usize| served[index] - load.shares[index] * total;
        let difference = (surplus(0) - surplus(1)).abs();
        prop_assert!(
            difference <= 4.0 * cost_us(MAX_TOKENS),
            "surplus differs by {difference} us"
        );
        Ok(())
    });
}
