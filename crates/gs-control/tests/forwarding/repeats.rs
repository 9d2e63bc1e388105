//! Tests of which failed requests are retried, and of the retry budget.

use std::time::Duration;

use gs_control::forwarding::{
    AttemptFailure, AttemptHistory, FinalAnswer, NextStep, RetryBudget, RouteKind, next_step,
};
use proptest::prelude::*;
use test_case::test_case;

use super::support::{milliseconds, start};

const RESUMABLE: RouteKind = RouteKind::Streaming {
    is_resumable: true,
    gap_target: None,
};

const NOT_RESUMABLE: RouteKind = RouteKind::Streaming {
    is_resumable: false,
    gap_target: None,
};

const BUDGETED_RETRY: NextStep = NextStep::Retry { needs_budget: true };

fn history(runs: u32, sends: u32) -> AttemptHistory {
    AttemptHistory { runs, sends }
}

#[test_case(RouteKind::Unsafe, AttemptFailure::Unknown, history(1, 1), NextStep::Answer(FinalAnswer::Unknown); "a charge that may have run")]
#[test_case(RouteKind::Unsafe, AttemptFailure::ServerError, history(1, 1), NextStep::Answer(FinalAnswer::ServersOwn); "a charge that failed")]
#[test_case(RouteKind::Unsafe, AttemptFailure::NotExecuted, history(0, 1), BUDGETED_RETRY; "a charge that was not executed")]
#[test_case(RouteKind::Unsafe, AttemptFailure::NotSent, history(0, 0), NextStep::Retry { needs_budget: false }; "a charge that was not sent")]
#[test_case(RouteKind::Safe, AttemptFailure::Unknown, history(1, 1), BUDGETED_RETRY; "a lookup")]
#[test_case(RouteKind::Safe, AttemptFailure::ServerError, history(2, 2), NextStep::Answer(FinalAnswer::ServersOwn); "a lookup after all attempts")]
#[test_case(RouteKind::Safe, AttemptFailure::NotExecuted, history(2, 3), NextStep::Answer(FinalAnswer::Unknown); "a lookup that was not executed after all attempts")]
#[test_case(NOT_RESUMABLE, AttemptFailure::Unknown, history(1, 1), NextStep::Answer(FinalAnswer::Unknown); "a stream that is not resumable")]
#[test_case(RESUMABLE, AttemptFailure::Unknown, history(1, 1), BUDGETED_RETRY; "a resumable stream")]
fn the_next_step_depends_on_the_kind_of_route(
    kind: RouteKind,
    failure: AttemptFailure,
    history: AttemptHistory,
    expected: NextStep,
) {
    assert_eq!(next_step(kind, 2, history, failure), expected);
}

fn kind() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Safe),
        Just(RouteKind::Unsafe),
        Just(NOT_RESUMABLE),
        Just(RESUMABLE),
    ]
}

fn failure() -> impl Strategy<Value = AttemptFailure> {
    prop_oneof![
        Just(AttemptFailure::NotSent),
        Just(AttemptFailure::NotExecuted),
        Just(AttemptFailure::ServerError),
        Just(AttemptFailure::Unknown),
    ]
}

proptest! {
    /// Non-idempotent requests run at most once, others at most as often as their route allows, and
    /// a client is told "not run" only if no server may have run the request.
    #[test]
    fn runs_stay_within_the_limit_of_the_route(
        kind in kind(),
        max_attempts in 1..4u32,
        failures in prop::collection::vec(failure(), 1..12),
    ) {
        let mut history = AttemptHistory::default();
        for failure in failures {
            history.sends += u32::from(failure != AttemptFailure::NotSent);
            history.runs += u32::from(!failure.is_not_run());
            let allowed = if kind.is_idempotent() { max_attempts } else { 1 };
            prop_assert!(history.runs <= allowed);
            match next_step(kind, max_attempts, history, failure) {
                NextStep::Retry { .. } => {}
                NextStep::Answer(answer) => {
                    prop_assert_eq!(answer == FinalAnswer::NotRun, history.runs == 0);
                    return Ok(());
                }
            }
        }
    }

    /// No sliding window contains more retries than this entry's share of the budget.
    #[test]
    fn retries_stay_within_the_budget_of_the_window(
        events in prop::collection::vec((any::<bool>(), 0..700u64), 1..200),
    ) {
        let window = Duration::from_secs(10);
        let mut budget = RetryBudget::new(0.2, 12.0, window);
        let mut now = start();
        let mut spent = Vec::new();
        let mut requests = Vec::new();
        for (is_request, pause) in events {
            now += milliseconds(pause);
            if is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_spend(now, 3) {
                spent.push(now);
                // The budget keeps complete buckets, so it covers slightly more than the window.
                let since = now - window - Duration::from_secs(1);
                let retries = spent.iter().filter(|at| **at > now - window).count();
                let counted_requests = requests.iter().filter(|at| **at >= since).count();
                prop_assert!(retries as f64 <= 0.2 * counted_requests as f64 + 4.0);
            }
        }
    }
}
