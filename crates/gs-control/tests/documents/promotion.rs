//! Several operators on one store, whose calls are lost, delayed, refused or interrupted by a
//! crash.

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

use crate::store::{CallOutcome, FaultyStore, PRODUCTION, TRIAL};
use crate::support::check;

const OPERATOR_COUNT: usize = 4;
const DOCUMENTS: [&[u8]; 3] = [b"{\"a\":1}", b"{\"b\":2}", b"{\"c\":3}"];

#[derive(Clone, Copy, Debug)]
enum Action {
    Try(usize),
    Promote(usize),
    RollBack(&'static str, u64),
}

/// The action of an operator, and the sequence number that it expects to be in force; none for the
/// one in force when its first run starts.
#[derive(Clone, Copy, Debug)]
struct OperationSpec {
    action: Action,
    expected_sequence: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum SimulationStep {
    Call(CallOutcome),
    Crash(CallOutcome),
    ApplyDelayed(usize),
}

/// One operator with its operation, the run in progress, and the end that each finished run
/// reported.
struct SimulatedOperator {
    spec: OperationSpec,
    operation: OperationId,
    /// The expected sequence number of all runs; none before the first run.
    expected: Option<SequenceNumber>,
    /// The run in progress: its number, its state and the next call.
    current: Option<(usize, PromotionState, StoreCall)>,
    /// The end of each finished run, with the run's number.
    ends: Vec<(usize, PromotionEnd)>,
}

impl SimulatedOperator {
    fn new(index: usize, spec: OperationSpec) -> Self {
        Self {
            spec,
            operation: OperationId(Uuid::from_u128(index as u128 + 1)),
            expected: None,
            current: None,
            ends: Vec::new(),
        }
    }

    fn environment(&self) -> &'static str {
        match self.spec.action {
            Action::Try(_) => TRIAL,
            Action::Promote(_) => PRODUCTION,
            Action::RollBack(environment, _) => environment,
        }
    }

    fn plan(&mut self, store: &FaultyStore) -> PromotionPlan {
        let environment = self.environment();
        let current_sequence = store.head(environment).map_or(0, |head| head.sequence.0);
        let expected_sequence = self.spec.expected_sequence;
        let expected = *self.expected.get_or_insert(SequenceNumber(
            expected_sequence.unwrap_or(current_sequence),
        ));
        let action = match self.spec.action {
            Action::Try(document) => PromotionAction::Try {
                bytes: DOCUMENTS[document].into(),
            },
            Action::Promote(document) => PromotionAction::Promote {
                digest: digest_document(DOCUMENTS[document]),
                trial: TRIAL.to_owned(),
            },
            Action::RollBack(_, sequence) => PromotionAction::RollBack {
                sequence: SequenceNumber(sequence),
            },
        };
        PromotionPlan {
            environment: environment.to_owned(),
            writes_proofs: environment == TRIAL,
            action,
            operator: OperatorName::new(self.operation.to_string()),
            operation: self.operation,
            expected,
            accepted_at_ms: 1,
            retry: RetryPolicy {
                max_failures: 3,
                backoff: BackoffPolicy {
                    initial: Duration::ZERO,
                    max: Duration::ZERO,
                },
            },
        }
    }

    fn record_step(&mut self, run: usize, state: PromotionState, step: PromotionStep) {
        match step {
            PromotionStep::Call { call, .. } => self.current = Some((run, state, call)),
            PromotionStep::End(end) => self.ends.push((run, end)),
        }
    }

    /// Starts a run, or makes the next call of the run in progress.
    fn advance(&mut self, store: &mut FaultyStore, runs: &mut usize, call_outcome: CallOutcome) {
        let Some((run, mut state, call)) = self.current.take() else {
            *runs += 1;
            let (state, step) = PromotionState::start(self.plan(store));
            return self.record_step(*runs, state, step);
        };
        let reply = store.call(run, &call, call_outcome);
        let step = state.handle(reply);
        self.record_step(run, state, step);
    }

    fn crash(&mut self, store: &mut FaultyStore, call_outcome: CallOutcome) {
        if let Some((run, _, call)) = self.current.take() {
            store.call(run, &call, call_outcome);
        }
    }

    /// Runs the operation to its end without faults, from its start or from where it is.
    fn run_to_end(&mut self, store: &mut FaultyStore, runs: &mut usize) {
        self.advance(store, runs, CallOutcome::Answered);
        while self.current.is_some() {
            self.advance(store, runs, CallOutcome::Answered);
        }
    }

    /// Checks that the reported ends agree with the heads that were written.
    fn check_ends(&self, store: &FaultyStore) -> Result<(), TestCaseError> {
        let commits = store.commits(self.environment());
        let own = commits
            .iter()
            .find(|commit| commit.head.operation == self.operation);
        for (run, end) in &self.ends {
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

fn specs() -> impl Strategy<Value = Vec<OperationSpec>> {
    let environment = prop::sample::select(vec![TRIAL, PRODUCTION]);
    let action = prop_oneof![
        3 => (0..DOCUMENTS.len()).prop_map(Action::Try),
        3 => (0..DOCUMENTS.len()).prop_map(Action::Promote),
        1 => (environment, 0..4_u64).prop_map(|(name, sequence)| Action::RollBack(name, sequence)),
    ];
    let expected_sequence = prop_oneof![4 => Just(None), 1 => (0..4_u64).prop_map(Some)];
    let spec = (action, expected_sequence).prop_map(|(action, expected_sequence)| OperationSpec {
        action,
        expected_sequence,
    });
    prop::collection::vec(spec, OPERATOR_COUNT)
}

fn steps() -> impl Strategy<Value = Vec<(usize, SimulationStep)>> {
    let call_outcome = prop_oneof![
        8 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::CallLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Refused),
    ];
    let step = prop_oneof![
        12 => call_outcome.clone().prop_map(SimulationStep::Call),
        1 => call_outcome.prop_map(SimulationStep::Crash),
        2 => (0..8_usize).prop_map(SimulationStep::ApplyDelayed),
    ];
    prop::collection::vec((0..OPERATOR_COUNT, step), 0..120)
}

#[test]
fn each_sequence_has_one_winner_and_reported_ends_are_true() {
    check(2_000, &(specs(), steps()), |(specs, steps)| {
        let mut store = FaultyStore::default();
        let mut runs = 0;
        let operators = specs.into_iter().enumerate();
        let mut operators: Vec<SimulatedOperator> = operators
            .map(|(index, spec)| SimulatedOperator::new(index, spec))
            .collect();
        for (index, step) in steps {
            match step {
                SimulationStep::Call(call_outcome) => {
                    operators[index].advance(&mut store, &mut runs, call_outcome);
                }
                SimulationStep::Crash(call_outcome) => {
                    operators[index].crash(&mut store, call_outcome);
                }
                SimulationStep::ApplyDelayed(call) => store.apply_delayed(call),
            }
        }
        store.apply_all_delayed();
        for operator in &mut operators {
            operator.run_to_end(&mut store, &mut runs);
            let last_end = operator.ends.last().map(|(_, end)| end);
            let has_no_result = matches!(last_end, None | Some(PromotionEnd::Unavailable { .. }));
            prop_assert!(!has_no_result, "no result without faults: {:?}", last_end);
        }
        operators
            .iter()
            .try_for_each(|operator| operator.check_ends(&store))
    });
}

fn run_alone(store: &mut FaultyStore, index: usize, action: Action) -> (PromotionEnd, usize) {
    let mut operator = SimulatedOperator::new(
        index,
        OperationSpec {
            action,
            expected_sequence: None,
        },
    );
    let mut calls = 0;
    operator.advance(store, &mut 0, CallOutcome::Answered);
    while operator.current.is_some() {
        operator.advance(store, &mut 0, CallOutcome::Answered);
        calls += 1;
    }
    let (_, end) = operator.ends.remove(0);
    (end, calls)
}

#[test_case(&[Action::Try(0)], 3; "the first document")]
#[test_case(&[Action::Try(0), Action::Try(1)], 5; "a further document in trial")]
#[test_case(&[Action::Try(0), Action::Promote(0)], 3; "the first promotion")]
#[test_case(&[Action::Try(0), Action::Promote(0), Action::Try(1), Action::Promote(1)], 4; "a further promotion")]
#[test_case(&[Action::Try(0), Action::Try(1), Action::Promote(0)], 4; "a document that trial has replaced")]
#[test_case(&[Action::Try(0), Action::Try(1), Action::RollBack(TRIAL, 1)], 5; "a roll-back")]
fn an_operation_makes_the_expected_number_of_calls(actions: &[Action], expected_calls: usize) {
    let mut store = FaultyStore::default();
    let actions = actions.iter().enumerate();
    let ends: Vec<_> = actions
        .map(|(index, action)| run_alone(&mut store, index, *action))
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
fn a_document_that_trial_has_not_accepted_is_not_promoted() {
    let mut store = FaultyStore::default();
    let (end, _) = run_alone(&mut store, 0, Action::Promote(0));
    assert_eq!(end, PromotionEnd::NotProven);
}
