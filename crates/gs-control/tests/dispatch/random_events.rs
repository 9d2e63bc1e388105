//! Random events in any order, lost, late and repeated, against the invariants of every request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::dispatch::{
    AttemptEnd, DispatchEffect, DispatchEvent, DispatchSettings, RequestStage,
};
use gs_document::document::CallerRank;
use gs_document::settings::PlacementPolicy;
use gs_protocol::engine::{
    CacheChange, CacheEvent, CacheEvents, EngineReason, EngineRole, LoadReport,
};
use gs_protocol::ids::{AttemptId, RequestId, ServerName};
use gs_protocol::prefix::PrefixHash;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

use crate::fixture::{Bench, MAX_STREAMS, caller, demand, idle_report, sighting};

const CALLERS: [&str; 3] = ["clerks", "vans", "batch"];
const FIRST_TOKEN: Duration = Duration::from_millis(500);
const RETRY_FLOOR: u32 = 3;
const RETRY_SHARE: f64 = 0.25;
const CASES: u32 = 256;

/// One step of a random run. Attempts are named by their place in the order of starts.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        caller: usize,
        prompt_tokens: u32,
        shared: bool,
    },
    Withdraw(prop::sample::Index),
    PrefillDone(prop::sample::Index),
    FirstToken(prop::sample::Index),
    End(prop::sample::Index, AttemptEnd),
    Fleet(FleetStep),
    Pass(u64),
}

/// One change of the fleet. Servers with even numbers prefill.
#[derive(Clone, Copy, Debug)]
enum FleetStep {
    Load {
        server: usize,
        streams: u32,
        prefill_tokens: u32,
        leaving: bool,
        boot: u64,
    },
    Cache {
        server: usize,
        piece: u64,
        number: u64,
        stored: bool,
    },
    Leaving(usize),
    Lost(usize),
    Entries(u32),
}

impl FleetStep {
    fn event(self) -> DispatchEvent {
        match self {
            Self::Load {
                server,
                streams,
                prefill_tokens,
                leaving,
                boot,
            } => {
                let role = [EngineRole::Prefill, EngineRole::Decode][server % 2];
                let idle = idle_report(&server_name(server), role);
                let report = LoadReport {
                    streams,
                    prefill_tokens,
                    leaving,
                    boot,
                    ..idle
                };
                DispatchEvent::LoadSeen(sighting(report))
            }
            Self::Cache {
                server,
                piece,
                number,
                stored,
            } => {
                let change = match stored {
                    true => CacheChange::Stored,
                    false => CacheChange::Evicted,
                };
                let event = CacheEvent {
                    number,
                    change,
                    prefix: PrefixHash(piece),
                };
                let events = CacheEvents {
                    events: vec![event],
                    last: number,
                    boot: 1,
                };
                let server = server_name(server).as_str().into();
                DispatchEvent::CacheSeen { server, events }
            }
            Self::Leaving(server) => {
                DispatchEvent::ServerLeaving(server_name(server).as_str().into())
            }
            Self::Lost(server) => DispatchEvent::ServerLost(server_name(server).as_str().into()),
            Self::Entries(entries) => DispatchEvent::EntriesSeen(entries),
        }
    }
}

fn server_name(server: usize) -> String {
    format!(
        "{}{}",
        if server.is_multiple_of(2) { "p" } else { "d" },
        server / 2
    )
}

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    let stage = prop_oneof![
        Just(RequestStage::Reserve),
        Just(RequestStage::Prefill),
        Just(RequestStage::Transfer),
        Just(RequestStage::Stream),
    ];
    let reason = prop_oneof![
        4 => Just(EngineReason::Full),
        1 => Just(EngineReason::Leaving),
        1 => Just(EngineReason::KvLost),
        1 => Just(EngineReason::BadRequest),
    ];
    prop_oneof![
        3 => Just(AttemptEnd::Whole { tokens: 20 }),
        2 => (stage.clone(), reason).prop_map(|(stage, reason)| AttemptEnd::Refused { stage, reason }),
        2 => (stage, 0_u32..5).prop_map(|(stage, tokens)| AttemptEnd::Lost { stage, tokens }),
        1 => Just(AttemptEnd::Withdrawn),
    ]
}

fn any_fleet_step() -> impl Strategy<Value = FleetStep> {
    let load = (
        0_usize..8,
        0..MAX_STREAMS + 2,
        0_u32..9_000,
        0_u8..10,
        1_u64..3,
    );
    let cache = (0_usize..8, 0_u64..64, 1_u64..50, any::<bool>());
    prop_oneof![
        3 => load.prop_map(|(server, streams, prefill_tokens, leaving, boot)| {
            let leaving = leaving == 0;
            FleetStep::Load { server, streams, prefill_tokens, leaving, boot }
        }),
        1 => cache.prop_map(|(server, piece, number, stored)| {
            FleetStep::Cache { server, piece, number, stored }
        }),
        1 => (0_usize..8).prop_map(FleetStep::Leaving),
        1 => (0_usize..8).prop_map(FleetStep::Lost),
        1 => (1_u32..8).prop_map(FleetStep::Entries),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    let arrival = (0..CALLERS.len(), 1_u32..4_000, any::<bool>());
    prop_oneof![
        8 => arrival.prop_map(|(caller, prompt_tokens, shared)| {
            Step::Arrive { caller, prompt_tokens, shared }
        }),
        1 => index().prop_map(Step::Withdraw),
        3 => index().prop_map(Step::PrefillDone),
        3 => index().prop_map(Step::FirstToken),
        6 => (index(), any_end()).prop_map(|(index, end)| Step::End(index, end)),
        7 => any_fleet_step().prop_map(Step::Fleet),
        6 => (1_u64..120).prop_map(Step::Pass),
    ]
}

/// What the run knows of a request.
#[derive(Clone, Debug, Default)]
struct Seen {
    due: Option<Instant>,
    running: Option<AttemptId>,
    starts: u32,
    ends: u32,
    was_wasted: bool,
}

/// A run that checks every effect.
struct Run {
    bench: Bench,
    requests: BTreeMap<RequestId, Seen>,
    attempts: Vec<(AttemptId, RequestId)>,
    streams: BTreeMap<AttemptId, ServerName>,
    retries: u32,
    log: Vec<DispatchEffect>,
}

impl Run {
    fn new(policy: PlacementPolicy) -> Self {
        let settings = DispatchSettings {
            policy,
            retry_floor: RETRY_FLOOR,
            retry_share: RETRY_SHARE,
            ..DispatchSettings::default()
        };
        let ranks = [CallerRank::Urgent, CallerRank::Normal, CallerRank::Normal];
        let callers: Vec<_> = CALLERS
            .iter()
            .zip(ranks)
            .map(|(name, rank)| (*name, caller(rank, 0.2, FIRST_TOKEN.as_millis() as u64)))
            .collect();
        Self {
            bench: Bench::new(settings, &callers).with_servers(4, 4),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            streams: BTreeMap::new(),
            retries: 0,
            log: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive {
                caller,
                prompt_tokens,
                shared,
            } => {
                self.arrive(caller, prompt_tokens, shared);
            }
            Step::Withdraw(index) => self.withdraw(index),
            Step::PrefillDone(index) => {
                let done = |attempt| DispatchEvent::PrefillDone {
                    attempt,
                    cached_tokens: 0,
                };
                self.with_attempt(index, done);
            }
            Step::FirstToken(index) => self.with_attempt(index, DispatchEvent::FirstToken),
            Step::End(index, end) => self.end(index, end),
            Step::Pass(millis) => self.bench.pass(millis),
            Step::Fleet(step) => self.bench.send(step.event()),
        }
        self.check_effects();
        self.check_deadlines();
        self.check_budget();
    }

    fn arrive(&mut self, caller: usize, prompt_tokens: u32, shared: bool) {
        let number = self.requests.len() as u64 + 1;
        let mut demand = demand(number, CALLERS[caller], prompt_tokens);
        if shared {
            let pieces = 0..demand.pieces.len() as u64;
            demand.pieces = pieces.map(PrefixHash).collect();
        }
        let due = Some(self.bench.now + FIRST_TOKEN);
        let seen = Seen {
            due,
            ..Seen::default()
        };
        self.requests.insert(demand.request, seen);
        self.bench.send(DispatchEvent::Arrived(demand));
    }

    fn withdraw(&mut self, index: prop::sample::Index) {
        if self.requests.is_empty() {
            return;
        }
        let position = index.index(self.requests.len());
        let (request, seen) = self.requests.iter_mut().nth(position).expect("a request");
        seen.ends = 1;
        if let Some(attempt) = seen.running.take() {
            self.streams.remove(&attempt);
        }
        self.bench.send(DispatchEvent::Withdrawn(*request));
    }

    fn with_attempt(
        &mut self,
        index: prop::sample::Index,
        event: impl FnOnce(AttemptId) -> DispatchEvent,
    ) {
        if !self.attempts.is_empty() {
            let (attempt, _) = self.attempts[index.index(self.attempts.len())];
            self.bench.send(event(attempt));
        }
    }

    fn end(&mut self, index: prop::sample::Index, end: AttemptEnd) {
        if self.attempts.is_empty() {
            return;
        }
        let (attempt, request) = self.attempts[index.index(self.attempts.len())];
        if let Some(seen) = self
            .requests
            .get_mut(&request)
            .filter(|seen| seen.running == Some(attempt))
        {
            seen.running = None;
            self.streams.remove(&attempt);
            let is_over = matches!(end, AttemptEnd::Whole { .. } | AttemptEnd::Withdrawn);
            seen.ends += u32::from(is_over);
            seen.was_wasted = matches!(
                end,
                AttemptEnd::Lost { .. }
                    | AttemptEnd::Refused {
                        reason: EngineReason::KvLost,
                        ..
                    }
            );
        }
        self.bench.end(attempt, end);
    }

    fn check_effects(&mut self) {
        for effect in std::mem::take(&mut self.bench.effects) {
            match &effect {
                DispatchEffect::Start {
                    request,
                    attempt,
                    decode,
                    ..
                } => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    assert_eq!(seen.ends, 0, "{request} was started after its end");
                    assert_eq!(seen.running.replace(*attempt), None, "{request} runs twice");
                    seen.starts += 1;
                    self.retries += u32::from(std::mem::take(&mut seen.was_wasted));
                    self.attempts.push((*attempt, *request));
                    self.streams.insert(*attempt, decode.clone());
                    let beside = self
                        .streams
                        .values()
                        .filter(|server| *server == decode)
                        .count();
                    assert!(
                        beside <= MAX_STREAMS as usize,
                        "{beside} streams on {decode}"
                    );
                }
                DispatchEffect::Refuse { request, .. } => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    seen.ends += 1;
                    if let Some(attempt) = seen.running.take() {
                        self.streams.remove(&attempt);
                    }
                }
            }
            self.log.push(effect);
        }
        for (request, seen) in &self.requests {
            assert!(seen.ends <= 1, "{request} ended {} times", seen.ends);
        }
    }

    /// What has never been started is gone by its deadline.
    fn check_deadlines(&self) {
        for (request, seen) in &self.requests {
            let is_waiting = seen.ends == 0 && seen.starts == 0;
            let is_late = seen.due.is_some_and(|due| due <= self.bench.now);
            assert!(
                !(is_waiting && is_late),
                "{request} waits beyond its deadline"
            );
        }
    }

    /// Retries after work was done stay within the budget.
    fn check_budget(&self) {
        let first = self
            .requests
            .values()
            .filter(|seen| seen.starts > 0)
            .count();
        let allowed = f64::from(RETRY_FLOOR) + first as f64 * RETRY_SHARE;
        assert!(
            f64::from(self.retries) <= allowed,
            "{} retries, {allowed} allowed",
            self.retries
        );
    }

    /// Lets time pass until nothing is left.
    fn close(mut self) -> Vec<DispatchEffect> {
        let mut rounds = 0;
        while !self.bench.state.is_idle() {
            rounds += 1;
            assert!(rounds < 10_000, "the state never comes to rest");
            let wakeup = self
                .bench
                .state
                .next_wakeup()
                .expect("a wake-up while work is left");
            self.bench.now = self.bench.now.max(wakeup);
            self.step(Step::Pass(1));
        }
        for (request, seen) in &self.requests {
            assert_eq!(seen.ends, 1, "{request} never ended");
        }
        self.log
    }
}

fn run(policy: PlacementPolicy, steps: &[Step]) -> Vec<DispatchEffect> {
    let mut run = Run::new(policy);
    for step in steps {
        run.step(*step);
    }
    run.close()
}

#[test_case(PlacementPolicy::Cost; "cost")]
#[test_case(PlacementPolicy::LeastLoad; "least load")]
#[test_case(PlacementPolicy::RoundRobin; "round robin")]
#[test_case(PlacementPolicy::TwoChoices; "two choices")]
fn every_request_ends_once_and_in_time(policy: PlacementPolicy) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec(any_step(), 1..200);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&steps, |steps| {
        let log = run(policy, &steps);
        prop_assert_eq!(log, run(policy, &steps));
        Ok(())
    });
    outcome.expect("every case holds");
}
