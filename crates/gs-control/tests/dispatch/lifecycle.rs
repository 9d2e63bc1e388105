//! Single requests from arrival to completion.

use std::time::Duration;

use gs_control::dispatch::{AttemptEnd, DispatchEvent, DispatchSettings, RequestStage};
use gs_document::document::CallerRank;
use gs_protocol::engine::{EngineReason, EngineRole};
use gs_protocol::refusal::RefusalReason;
use test_case::test_case;

use crate::fixture::{DispatchHarness, MAX_STREAMS, StartedAttempt, caller, idle_report, request};

/// First-token target of the caller.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(500);

const COMPLETED: AttemptEnd = AttemptEnd::Completed { tokens: 20 };

fn harness() -> DispatchHarness {
    let callers = [("clerks", caller(CallerRank::Urgent, 0.5, 500))];
    DispatchHarness::new(DispatchSettings::default(), &callers).with_servers(2, 2)
}

fn take_only_start(harness: &mut DispatchHarness) -> StartedAttempt {
    let mut starts = harness.take_starts();
    assert_eq!(starts.len(), 1, "{starts:?}");
    starts.remove(0)
}

#[test]
fn a_request_starts_and_ends() {
    let mut harness = harness();
    harness.send_request(1, "clerks", 500);
    let started = take_only_start(&mut harness);
    assert_eq!(started.request, request(1));
    harness.send(DispatchEvent::PrefillDone {
        attempt: started.attempt,
        cached_tokens: 0,
    });
    harness.send(DispatchEvent::FirstToken(started.attempt));
    harness.end_attempt(started.attempt, COMPLETED);
    harness.end_attempt(started.attempt, COMPLETED);
    assert!(harness.state.is_idle());
    assert!(harness.effects.is_empty());
}

#[test_case(RequestStage::Reserve; "reserve")]
#[test_case(RequestStage::Prefill; "prefill")]
fn a_request_refused_by_a_full_server_moves_to_another(stage: RequestStage) {
    let mut harness = harness();
    harness.send_request(1, "clerks", 500);
    let first = take_only_start(&mut harness);
    harness.end_attempt(
        first.attempt,
        AttemptEnd::Refused {
            stage,
            reason: EngineReason::Full,
        },
    );
    let second = take_only_start(&mut harness);
    assert_ne!(first.attempt, second.attempt);
    match stage {
        RequestStage::Reserve => assert_ne!(first.decode, second.decode),
        _ => assert_ne!(first.prefill, second.prefill),
    }
}

#[test]
fn a_request_that_did_not_reach_a_dead_server_is_not_blamed() {
    let mut harness = harness();
    harness.send_request(1, "clerks", 500);
    let first = take_only_start(&mut harness);
    harness.send(DispatchEvent::PrefillDone {
        attempt: first.attempt,
        cached_tokens: 0,
    });
    harness.send(DispatchEvent::FirstToken(first.attempt));
    harness.advance_ms(300);
    let lost = |stage| AttemptEnd::Lost { stage, tokens: 6 };
    harness.end_attempt(first.attempt, lost(RequestStage::Stream));
    let second = take_only_start(&mut harness);
    harness.end_attempt(second.attempt, lost(RequestStage::Reserve));
    harness.send(DispatchEvent::ServerDown(second.decode));
    assert_eq!(harness.state.count_suspects(harness.now), 0);
}

#[test]
fn a_broken_stream_resumes_on_another_server() {
    let mut harness = harness();
    harness.send_request(1, "clerks", 500);
    let first = take_only_start(&mut harness);
    harness.send(DispatchEvent::FirstToken(first.attempt));
    harness.end_attempt(
        first.attempt,
        AttemptEnd::Lost {
            stage: RequestStage::Stream,
            tokens: 3,
        },
    );
    assert_ne!(first.decode, take_only_start(&mut harness).decode);
}

#[test]
fn a_late_resume_gets_a_full_first_token_target() {
    let mut harness = harness();
    harness.send_request(1, "clerks", 500);
    let first = take_only_start(&mut harness);
    harness.send(DispatchEvent::FirstToken(first.attempt));
    harness.advance_ms(1_500);
    harness.report_load(idle_report("d0", EngineRole::Decode));
    harness.report_load(idle_report("d1", EngineRole::Decode));
    harness.end_attempt(
        first.attempt,
        AttemptEnd::Lost {
            stage: RequestStage::Stream,
            tokens: 15,
        },
    );
    let second = take_only_start(&mut harness);
    // One target from the resume, and one more that every attempt is granted.
    assert_eq!(second.first_token_within, FIRST_TOKEN_TARGET * 2);
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let callers = [("clerks", caller(CallerRank::Urgent, 0.5, 60_000))];
    let settings = DispatchSettings {
        retry_burst: 2,
        ..DispatchSettings::default()
    };
    let mut harness = DispatchHarness::new(settings, &callers).with_servers(1, 3);
    harness.send_request(1, "clerks", 500);
    for _ in 0..3 {
        let started = take_only_start(&mut harness);
        let lost = AttemptEnd::Lost {
            stage: RequestStage::Reserve,
            tokens: 0,
        };
        harness.end_attempt(started.attempt, lost);
        harness.advance_ms(1_000);
    }
    assert_eq!(
        harness.take_refusals(),
        [(request(1), RefusalReason::ServerFailed)]
    );
}

#[test]
fn requests_wait_for_a_slot_until_their_deadline() {
    let callers = [("clerks", caller(CallerRank::Urgent, 0.5, 500))];
    let mut harness =
        DispatchHarness::new(DispatchSettings::default(), &callers).with_servers(1, 1);
    for number in 0..u64::from(MAX_STREAMS) + 2 {
        harness.send_request(number, "clerks", 16);
    }
    let starts = harness.take_starts();
    assert_eq!(starts.len(), MAX_STREAMS as usize);
    harness.end_attempt(starts[0].attempt, COMPLETED);
    assert_eq!(
        take_only_start(&mut harness).request,
        request(u64::from(MAX_STREAMS))
    );
    harness.advance_ms(500);
    let last = request(u64::from(MAX_STREAMS) + 1);
    assert_eq!(harness.take_refusals(), [(last, RefusalReason::TooLate)]);
}

#[test_case("nobody", 500 => RefusalReason::Forbidden; "an unknown caller")]
#[test_case("clerks", 200_000 => RefusalReason::PromptTooLong; "a prompt over the limit")]
#[test_case("clerks", 50_000 => RefusalReason::TooLate; "a prompt that no server can prefill in time")]
fn refused_on_arrival(caller: &str, prompt_tokens: u32) -> RefusalReason {
    let mut harness = harness();
    harness.send_request(1, caller, prompt_tokens);
    harness.take_refusals()[0].1
}

#[test]
fn leaving_and_lost_servers_get_no_new_work() {
    let mut harness = harness();
    harness.send(DispatchEvent::ServerLeaving("d0".into()));
    harness.send(DispatchEvent::ServerLost("p0".into()));
    for number in 0..3 {
        harness.send_request(number, "clerks", 16);
    }
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.decode.as_str() == "d1"));
    assert!(starts.iter().all(|start| start.prefill.as_str() == "p1"));
}
