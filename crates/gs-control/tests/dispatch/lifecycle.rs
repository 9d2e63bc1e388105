//! One request at a time, from arrival to end.

use std::time::Duration;

use gs_control::dispatch::{AttemptEnd, DispatchEvent, DispatchSettings, RequestStage};
use gs_document::document::CallerRank;
use gs_protocol::engine::{EngineReason, EngineRole};
use gs_protocol::refusal::RefusalReason;
use test_case::test_case;

use crate::fixture::{Bench, MAX_STREAMS, Started, caller, idle_report, request};

/// The first-token target of the caller.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(500);

const WHOLE: AttemptEnd = AttemptEnd::Completed { tokens: 20 };

fn bench() -> Bench {
    let callers = [("clerks", caller(CallerRank::Urgent, 0.5, 500))];
    Bench::new(DispatchSettings::default(), &callers).with_servers(2, 2)
}

fn one_start(bench: &mut Bench) -> Started {
    let mut starts = bench.take_starts();
    assert_eq!(starts.len(), 1, "{starts:?}");
    starts.remove(0)
}

#[test]
fn a_request_starts_and_ends() {
    let mut bench = bench();
    bench.arrive(1, "clerks", 500);
    let started = one_start(&mut bench);
    assert_eq!(started.request, request(1));
    bench.send(DispatchEvent::PrefillDone {
        attempt: started.attempt,
        cached_tokens: 0,
    });
    bench.send(DispatchEvent::FirstToken(started.attempt));
    bench.end(started.attempt, WHOLE);
    bench.end(started.attempt, WHOLE);
    assert!(bench.state.is_idle());
    assert!(bench.effects.is_empty());
}

#[test_case(RequestStage::Reserve; "reserve")]
#[test_case(RequestStage::Prefill; "prefill")]
fn a_full_server_is_left_for_another(stage: RequestStage) {
    let mut bench = bench();
    bench.arrive(1, "clerks", 500);
    let first = one_start(&mut bench);
    bench.end(
        first.attempt,
        AttemptEnd::Refused {
            stage,
            reason: EngineReason::Full,
        },
    );
    let second = one_start(&mut bench);
    assert_ne!(first.attempt, second.attempt);
    match stage {
        RequestStage::Reserve => assert_ne!(first.decode, second.decode),
        _ => assert_ne!(first.prefill, second.prefill),
    }
}

#[test]
fn a_broken_stream_resumes_on_another_server() {
    let mut bench = bench();
    bench.arrive(1, "clerks", 500);
    let first = one_start(&mut bench);
    bench.send(DispatchEvent::FirstToken(first.attempt));
    bench.end(
        first.attempt,
        AttemptEnd::Lost {
            stage: RequestStage::Stream,
            tokens: 3,
        },
    );
    assert_ne!(first.decode, one_start(&mut bench).decode);
}

#[test]
fn a_late_resume_has_a_whole_target_for_its_first_token() {
    let mut bench = bench();
    bench.arrive(1, "clerks", 500);
    let first = one_start(&mut bench);
    bench.send(DispatchEvent::FirstToken(first.attempt));
    bench.pass(1_500);
    bench.see(idle_report("d0", EngineRole::Decode));
    bench.see(idle_report("d1", EngineRole::Decode));
    bench.end(
        first.attempt,
        AttemptEnd::Lost {
            stage: RequestStage::Stream,
            tokens: 15,
        },
    );
    let second = one_start(&mut bench);
    // One target, and one more as for each try.
    assert_eq!(second.first_token_within, FIRST_TOKEN_TARGET * 2);
}

#[test]
fn retries_end_with_the_budget() {
    let callers = [("clerks", caller(CallerRank::Urgent, 0.5, 60_000))];
    let settings = DispatchSettings {
        retry_floor: 2,
        ..DispatchSettings::default()
    };
    let mut bench = Bench::new(settings, &callers).with_servers(1, 3);
    bench.arrive(1, "clerks", 500);
    for _ in 0..3 {
        let started = one_start(&mut bench);
        let lost = AttemptEnd::Lost {
            stage: RequestStage::Reserve,
            tokens: 0,
        };
        bench.end(started.attempt, lost);
        bench.pass(1_000);
    }
    assert_eq!(
        bench.take_refusals(),
        [(request(1), RefusalReason::ServerFailed)]
    );
}

#[test]
fn full_slots_are_waited_for_until_the_deadline() {
    let callers = [("clerks", caller(CallerRank::Urgent, 0.5, 500))];
    let mut bench = Bench::new(DispatchSettings::default(), &callers).with_servers(1, 1);
    for number in 0..u64::from(MAX_STREAMS) + 2 {
        bench.arrive(number, "clerks", 16);
    }
    let starts = bench.take_starts();
    assert_eq!(starts.len(), MAX_STREAMS as usize);
    bench.end(starts[0].attempt, WHOLE);
    assert_eq!(
        one_start(&mut bench).request,
        request(u64::from(MAX_STREAMS))
    );
    bench.pass(500);
    let last = request(u64::from(MAX_STREAMS) + 1);
    assert_eq!(bench.take_refusals(), [(last, RefusalReason::TooLate)]);
}

#[test_case("nobody", 500 => RefusalReason::Forbidden; "an unknown caller")]
#[test_case("clerks", 200_000 => RefusalReason::PromptTooLong; "a prompt over the limit")]
#[test_case("clerks", 50_000 => RefusalReason::TooLate; "a prompt that no engine can compute in time")]
fn refused_at_arrival(caller: &str, prompt_tokens: u32) -> RefusalReason {
    let mut bench = bench();
    bench.arrive(1, caller, prompt_tokens);
    bench.take_refusals()[0].1
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut bench = bench();
    bench.send(DispatchEvent::ServerLeaving("d0".into()));
    bench.send(DispatchEvent::ServerLost("p0".into()));
    for number in 0..3 {
        bench.arrive(number, "clerks", 16);
    }
    let starts = bench.take_starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.decode.as_str() == "d1"));
    assert!(starts.iter().all(|start| start.prefill.as_str() == "p1"));
}
