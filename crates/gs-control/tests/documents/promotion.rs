//! Several operators on one store, with every call lost, late, refused or cut short by a crash.

use std::time::Duration;

use gs_control::documents::{
    BackoffPolicy, PromotionAction, PromotionEnd, PromotionPlan, PromotionState, PromotionStep,
    RetryPolicy, StoreCall,
};
use gs_document::digest_document;
use gs_protocol::ids::{OperationId, OperatorName, SequenceNumber};
use gs_protocol::refusal::RequestOutcome;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use test_case::test_case;
use uuid::Uuid;

use crate::store::{CallFate, PRODUCTION, TRIAL, World};
use crate::support::check;

const OPERATORS: usize = 4;
const DOCUMENTS: [&[u8]; 3] = [b"{\"a\":1}", b"{\"b\":2}", b"{\"c\":3}"];

#[derive(Clone, Copy, Debug)]
enum Intent {
    Try(usize),
    Promote(usize),
    RollBack(&'static str, u64),
}

/// What an operator sets out to do, and which sequence number it has seen; none for the present one.
#[derive(Clone, Copy, Debug)]
struct Wish {
    intent: Intent,
    stale: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Call(CallFate),
    Crash(CallFate),
    DeliverLate(usize),
}

/// One operator: its operation, the open run, and what each finished run told.
struct Actor {
    wish: Wish,
    operation: OperationId,
    expected: Option<SequenceNumber>,
    open: Option<(usize, PromotionState, StoreCall)>,
    told: Vec<(usize, PromotionEnd)>,
}

impl Actor {
    fn new(place: usize, wish: Wish) -> Self {
        Self {
            wish,
            operation: OperationId(Uuid::from_u128(place as u128 + 1)),
            expected: None,
            open: None,
            told: Vec::new(),
        }
    }

    fn environment(&self) -> &'static str {
        match self.wish.intent {
            Intent::Try(_) => TRIAL,
            Intent::Promote(_) => PRODUCTION,
            Intent::RollBack(environment, _) => environment,
        }
    }

    fn plan(&mut self, world: &World) -> PromotionPlan {
        let environment = self.environment();
        let seen = world.head(environment).map_or(0, |head| head.sequence.0);
        let stale = self.wish.stale;
        let expected = *self
            .expected
            .get_or_insert(SequenceNumber(stale.unwrap_or(seen)));
        let action = match self.wish.intent {
            Intent::Try(document) => PromotionAction::Try {
                bytes: DOCUMENTS[document].into(),
            },
            Intent::Promote(document) => PromotionAction::Promote {
                digest: digest_document(DOCUMENTS[document]),
                trial: TRIAL.to_owned(),
            },
            Intent::RollBack(_, sequence) => PromotionAction::RollBack {
                sequence: SequenceNumber(sequence),
            },
        };
        PromotionPlan {
            environment: environment.to_owned(),
            proving: environment == TRIAL,
            action,
            operator: OperatorName::new(self.operation.to_string()),
            operation: self.operation,
            expected,
            accepted_at_ms: 1,
            retry: RetryPolicy {
                tries: 3,
                backoff: BackoffPolicy {
                    first: Duration::ZERO,
                    max: Duration::ZERO,
                },
            },
        }
    }

    fn take_step(&mut self, run: usize, state: PromotionState, step: PromotionStep) {
        match step {
            PromotionStep::Call { call, .. } => self.open = Some((run, state, call)),
            PromotionStep::End(end) => self.told.push((run, end)),
        }
    }

    /// Starts a run, or makes the open run's call.
    fn advance(&mut self, world: &mut World, runs: &mut usize, fate: CallFate) {
        let Some((run, mut state, call)) = self.open.take() else {
            *runs += 1;
            let (state, step) = PromotionState::start(self.plan(world));
            return self.take_step(*runs, state, step);
        };
        let reply = world.call(run, &call, fate);
        let step = state.handle(reply);
        self.take_step(run, state, step);
    }

    fn crash(&mut self, world: &mut World, fate: CallFate) {
        if let Some((run, _, call)) = self.open.take() {
            world.call(run, &call, fate);
        }
    }

    /// Runs the operation once more to its end, with no faults.
    fn settle(&mut self, world: &mut World, runs: &mut usize) {
        self.advance(world, runs, CallFate::Answered);
        while self.open.is_some() {
            self.advance(world, runs, CallFate::Answered);
        }
    }

    /// Whatever the operator was told is true.
    fn check_told(&self, world: &World) -> Result<(), TestCaseError> {
        let commits = world.commits(self.environment());
        let own = commits
            .iter()
            .find(|commit| commit.head.operation == self.operation);
        for (run, end) in &self.told {
            match end {
                PromotionEnd::Accepted { head, .. } => {
                    prop_assert_eq!(Some(head), own.map(|commit| &commit.head));
                }
                PromotionEnd::Overtaken { winner, .. } => {
                    prop_assert!(own.is_none());
                    let expected = self.expected.expect("started").0 as usize;
                    prop_assert_eq!(winner, &commits[expected].head);
                }
                PromotionEnd::Unavailable { outcome, .. } => {
                    let ran = own.is_some_and(|commit| commit.run == *run);
                    prop_assert!(!ran || *outcome == RequestOutcome::Unknown);
                }
                PromotionEnd::NotProven
                | PromotionEnd::NotReached { .. }
                | PromotionEnd::NoSuchSequence => {
                    prop_assert!(own.is_none_or(|commit| commit.run != *run));
                }
                PromotionEnd::OperationReused { .. } => prop_assert!(false, "{:?}", end),
            }
        }
        Ok(())
    }
}

fn wishes() -> impl Strategy<Value = Vec<Wish>> {
    let environment = prop::sample::select(vec![TRIAL, PRODUCTION]);
    let intent = prop_oneof![
        3 => (0..DOCUMENTS.len()).prop_map(Intent::Try),
        3 => (0..DOCUMENTS.len()).prop_map(Intent::Promote),
        1 => (environment, 0..4_u64).prop_map(|(name, sequence)| Intent::RollBack(name, sequence)),
    ];
    let stale = prop_oneof![4 => Just(None), 1 => (0..4_u64).prop_map(Some)];
    let wish = (intent, stale).prop_map(|(intent, stale)| Wish { intent, stale });
    prop::collection::vec(wish, OPERATORS)
}

fn moves() -> impl Strategy<Value = Vec<(usize, Move)>> {
    let fate = prop_oneof![
        8 => Just(CallFate::Answered),
        2 => Just(CallFate::AnswerLost),
        1 => Just(CallFate::CallLost),
        2 => Just(CallFate::Late),
        1 => Just(CallFate::Refused),
    ];
    let chosen = prop_oneof![
        12 => fate.clone().prop_map(Move::Call),
        1 => fate.prop_map(Move::Crash),
        2 => (0..8_usize).prop_map(Move::DeliverLate),
    ];
    prop::collection::vec((0..OPERATORS, chosen), 0..120)
}

#[test]
fn one_winner_for_each_sequence_and_everyone_is_told_the_truth() {
    check(2_000, &(wishes(), moves()), |(wishes, moves)| {
        let mut world = World::default();
        let mut runs = 0;
        let actors = wishes.into_iter().enumerate();
        let mut actors: Vec<Actor> = actors
            .map(|(place, wish)| Actor::new(place, wish))
            .collect();
        for (place, chosen) in moves {
            match chosen {
                Move::Call(fate) => actors[place].advance(&mut world, &mut runs, fate),
                Move::Crash(fate) => actors[place].crash(&mut world, fate),
                Move::DeliverLate(which) => world.deliver_late(which),
            }
        }
        world.deliver_all_late();
        for actor in &mut actors {
            actor.settle(&mut world, &mut runs);
            let settled = actor.told.last().map(|(_, end)| end);
            let open = matches!(settled, None | Some(PromotionEnd::Unavailable { .. }));
            prop_assert!(!open, "not settled: {:?}", settled);
        }
        actors.iter().try_for_each(|actor| actor.check_told(&world))
    });
}

fn run_alone(world: &mut World, place: usize, intent: Intent) -> (PromotionEnd, usize) {
    let mut actor = Actor::new(
        place,
        Wish {
            intent,
            stale: None,
        },
    );
    let mut calls = 0;
    actor.advance(world, &mut 0, CallFate::Answered);
    while actor.open.is_some() {
        actor.advance(world, &mut 0, CallFate::Answered);
        calls += 1;
    }
    let (_, end) = actor.told.remove(0);
    (end, calls)
}

#[test_case(&[Intent::Try(0)], 3; "the first document")]
#[test_case(&[Intent::Try(0), Intent::Try(1)], 5; "a further document in trial")]
#[test_case(&[Intent::Try(0), Intent::Promote(0)], 3; "the first promotion")]
#[test_case(&[Intent::Try(0), Intent::Promote(0), Intent::Try(1), Intent::Promote(1)], 4; "a further promotion")]
#[test_case(&[Intent::Try(0), Intent::Try(1), Intent::Promote(0)], 4; "a document that trial has replaced")]
#[test_case(&[Intent::Try(0), Intent::Try(1), Intent::RollBack(TRIAL, 1)], 5; "a roll-back")]
fn an_operation_takes_few_calls(intents: &[Intent], expected_calls: usize) {
    let mut world = World::default();
    let ran = intents.iter().enumerate();
    let ends: Vec<_> = ran
        .map(|(place, intent)| run_alone(&mut world, place, *intent))
        .collect();
    let all_accepted = ends.iter().all(|(end, _)| {
        matches!(
            end,
            PromotionEnd::Accepted {
                repeated: false,
                ..
            }
        )
    });
    assert!(all_accepted, "{ends:?}");
    assert_eq!(ends.last().map(|(_, calls)| *calls), Some(expected_calls));
}

#[test]
fn a_document_that_trial_never_accepted_is_not_promoted() {
    let mut world = World::default();
    let (end, _) = run_alone(&mut world, 0, Intent::Promote(0));
    assert_eq!(end, PromotionEnd::NotProven);
}
