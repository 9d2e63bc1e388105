//! Tests of the engine stand-in over its HTTP protocol.

mod support;

use std::net::SocketAddr;

use futures_util::StreamExt;
use gs_protocol::engine::{
    CacheChange, CacheEvents, CancelRequest, EngineOrder, EnginePriority, EngineReason,
    EngineRefusal, KvSource, OrderKind, PrefillAnswer, ResourceKind, StreamEvent,
};
use gs_protocol::ids::FenceNumber;
use gs_standin::engine::{EngineRuns, token_text};
use serde_json::json;
use support::{
    attempt, get, parse_events, post, prefill_order, reserve_order, set_faults, start_engine,
    stream_order, wait_held,
};
use test_case::test_case;

const PROMPT_TOKENS: usize = 160;

fn prompt() -> String {
    "abcd".repeat(PROMPT_TOKENS)
}

fn refusal_reason(body: &[u8]) -> EngineReason {
    let refusal: EngineRefusal = serde_json::from_slice(body).expect("refusal");
    refusal.reason
}

async fn cancel(address: SocketAddr, number: u128) {
    let order = CancelRequest {
        attempt: attempt(number),
    };
    let (status, _) = post(address, "/v1/cancels", &order).await;
    assert_eq!(status, 200);
}

/// Reserves a slot and streams 6 tokens; returns the events.
async fn stream(
    address: SocketAddr,
    number: u128,
    source: KvSource,
    from_index: u32,
) -> Vec<StreamEvent> {
    let (status, _) = post(address, "/v1/reservations", &reserve_order(attempt(number))).await;
    assert_eq!(status, 200);
    let order = stream_order(attempt(number), source, from_index, 6);
    let (status, body) = post(address, "/v1/streams", &order).await;
    assert_eq!(status, 200);
    parse_events(&body)
}

/// The events of a complete stream of 6 tokens that starts at `from_index`.
fn complete_events(number: u128, from_index: u32) -> Vec<StreamEvent> {
    let attempt = attempt(number);
    let mut events: Vec<_> = (from_index..6)
        .map(|index| StreamEvent::Token {
            attempt,
            index,
            text: token_text(7, index),
        })
        .collect();
    events.push(StreamEvent::End { attempt, tokens: 6 });
    events
}

#[actix_rt::test]
async fn full_batch_refuses_until_a_cancel_frees_a_slot() {
    let decode = start_engine(&["--max-streams", "1"]);
    let (status, _) = post(decode, "/v1/reservations", &reserve_order(attempt(1))).await;
    assert_eq!(status, 200);
    let (status, body) = post(decode, "/v1/reservations", &reserve_order(attempt(2))).await;
    assert_eq!((status, refusal_reason(&body)), (409, EngineReason::Full));
    cancel(decode, 1).await;
    let (status, _) = post(decode, "/v1/reservations", &reserve_order(attempt(2))).await;
    assert_eq!(status, 200);
    let (status, body) = post(decode, "/v1/reservations", &reserve_order(attempt(1))).await;
    assert_eq!(
        (status, refusal_reason(&body)),
        (409, EngineReason::Cancelled)
    );
}

#[actix_rt::test]
async fn decode_engine_streams_a_pulled_result_and_frees_it() {
    let prefill = start_engine(&["--role", "prefill", "--kv-ttl-ms", "20000"]);
    let decode = start_engine(&["--step-base-us", "0"]);
    let order = prefill_order(attempt(1), EnginePriority::Urgent, &prompt());
    let (status, _) = post(prefill, "/v1/prefills", &order).await;
    assert_eq!(status, 200);
    wait_held(prefill, |held| {
        held.iter().all(|held| held.kind == ResourceKind::Result)
    })
    .await;
    let source = KvSource::Engine { address: prefill };
    assert_eq!(stream(decode, 1, source, 0).await, complete_events(1, 0));
    wait_held(prefill, <[_]>::is_empty).await;
    wait_held(decode, <[_]>::is_empty).await;
}

#[actix_rt::test]
async fn unused_result_expires_after_its_time_to_live() {
    let prefill = start_engine(&["--role", "prefill", "--kv-ttl-ms", "30"]);
    let decode = start_engine(&[]);
    let order = prefill_order(attempt(1), EnginePriority::Urgent, &prompt());
    post(prefill, "/v1/prefills", &order).await;
    wait_held(prefill, <[_]>::is_empty).await;
    let source = KvSource::Engine { address: prefill };
    let failed = StreamEvent::Failed {
        attempt: attempt(1),
        reason: EngineReason::KvLost,
    };
    assert_eq!(stream(decode, 1, source, 0).await, vec![failed]);
    let runs: EngineRuns = get(prefill, "/control/runs").await;
    assert_eq!(runs.totals.wasted_tokens, PROMPT_TOKENS as u64);
}

#[test_case(0; "from the start")]
#[test_case(4; "from a later token")]
#[actix_rt::test]
async fn resumed_stream_continues_with_the_same_tokens(from_index: u32) {
    let decode = start_engine(&["--step-base-us", "0"]);
    let source = KvSource::Recompute { prompt: prompt() };
    let events = stream(decode, 1, source, from_index).await;
    assert_eq!(events, complete_events(1, from_index));
}

#[test_case(&[], 409; "is refused")]
#[test_case(&["--ignore-fence"], 200; "is accepted if fences are ignored")]
#[actix_rt::test]
async fn order_with_an_old_fence(arguments: &[&str], expected: u16) {
    let engine = start_engine(arguments);
    let order = |fence| EngineOrder {
        fence: FenceNumber(fence),
        order: OrderKind::SetLeaving { leaving: fence < 5 },
    };
    let (status, _) = post(engine, "/v1/orders", &order(5)).await;
    assert_eq!(status, 200);
    let (status, _) = post(engine, "/v1/orders", &order(4)).await;
    assert_eq!(status, expected);
    let (status, _) = post(engine, "/v1/reservations", &reserve_order(attempt(1))).await;
    assert_eq!(status == 200, expected == 409);
}

#[test_case(false; "and frees its slot")]
#[test_case(true; "only after a cancel if orphans are kept")]
#[actix_rt::test]
async fn client_disconnect_ends_a_stream(keep_orphans: bool) {
    let decode = start_engine(&["--step-base-us", "5000"]);
    set_faults(decode, json!({ "keepOrphans": keep_orphans })).await;
    post(decode, "/v1/reservations", &reserve_order(attempt(1))).await;
    let prompt = prompt();
    let order = stream_order(attempt(1), KvSource::Recompute { prompt }, 0, 64);
    let client = awc::Client::new();
    let call = client.post(format!("http://{decode}/v1/streams"));
    let answer = call.send_json(&order).await.expect("answer");
    set_faults(decode, json!({ "slowFactor": 1000.0 })).await;
    drop(answer);
    drop(client);
    if keep_orphans {
        wait_held(decode, |held| held.len() == 1).await;
        cancel(decode, 1).await;
    }
    wait_held(decode, <[_]>::is_empty).await;
}

#[actix_rt::test]
async fn client_disconnect_cancels_a_prefill() {
    let prefill = start_engine(&["--role", "prefill", "--prefill-rate", "1"]);
    let order = prefill_order(attempt(1), EnginePriority::Normal, &prompt());
    let client = awc::Client::new();
    let call = client.post(format!("http://{prefill}/v1/prefills"));
    let call = actix_rt::spawn(call.send_json(&order));
    wait_held(prefill, |held| held.len() == 1).await;
    call.abort();
    drop(client);
    wait_held(prefill, <[_]>::is_empty).await;
}

#[actix_rt::test]
async fn urgent_prefill_preempts_between_chunks() {
    let arguments = ["--role", "prefill", "--prefill-rate", "1600"];
    let prefill = start_engine(&[&arguments[..], &["--prefill-chunk", "16"]].concat());
    let long = prefill_order(attempt(1), EnginePriority::Normal, &prompt().repeat(8));
    let long = actix_rt::spawn(async move { post(prefill, "/v1/prefills", &long).await });
    wait_held(prefill, |held| held.iter().any(|held| held.blocks > 0)).await;
    let short = prefill_order(attempt(2), EnginePriority::Urgent, "short");
    let (status, _) = post(prefill, "/v1/prefills", &short).await;
    assert_eq!((status, long.is_finished()), (200, false));
    let (status, _) = long.await.expect("task");
    assert_eq!(status, 200);
}

#[actix_rt::test]
async fn prefix_cache_is_used_and_evicted() {
    let arguments = ["--role", "prefill", "--pieces", "10", "--kv-ttl-ms", "1"];
    let lossless = ["--cache-event-gap", "0", "--cache-event-lag-ms", "0"];
    let prefill = start_engine(&[&arguments[..], &lossless].concat());
    let cached_tokens = async |number, prompt: &str| {
        let order = prefill_order(attempt(number), EnginePriority::Urgent, prompt);
        let (_, body) = post(prefill, "/v1/prefills", &order).await;
        let answer: PrefillAnswer = serde_json::from_slice(&body).expect("answer");
        wait_held(prefill, <[_]>::is_empty).await;
        answer.cached_tokens
    };
    assert_eq!(cached_tokens(1, &prompt()).await, 0);
    assert_eq!(cached_tokens(2, &prompt()).await, 160);
    assert_eq!(cached_tokens(3, &"wxyz".repeat(80)).await, 0);
    assert_eq!(cached_tokens(4, &prompt()).await, 80);
    let events: CacheEvents = get(prefill, "/v1/cache-events?after=0").await;
    let changes = |change| {
        events
            .events
            .iter()
            .filter(move |event| event.change == change)
    };
    assert_eq!(changes(CacheChange::Stored).count(), 20);
    assert_eq!(changes(CacheChange::Evicted).count(), 10);
}

#[actix_rt::test]
async fn cut_stream_has_no_end_event() {
    let decode = start_engine(&["--step-base-us", "0"]);
    set_faults(decode, json!({ "cutStreamsAfter": 2 })).await;
    post(decode, "/v1/reservations", &reserve_order(attempt(1))).await;
    let source = KvSource::Recompute { prompt: prompt() };
    let call = awc::Client::new().post(format!("http://{decode}/v1/streams"));
    let call = call.send_json(&stream_order(attempt(1), source, 0, 6));
    let answer = call.await.expect("answer");
    let parts: Vec<_> = answer.collect().await;
    // The client reports no error for a body that was cut between two chunks.
    let body: Vec<_> = parts.into_iter().flatten().flatten().collect();
    assert_eq!(parse_events(&body), complete_events(1, 0)[..2]);
    wait_held(decode, <[_]>::is_empty).await;
}

#[actix_rt::test]
async fn stalled_transfer_is_cancelled_at_both_ends() {
    let prefill = start_engine(&["--role", "prefill", "--kv-ttl-ms", "20000"]);
    let decode = start_engine(&[]);
    set_faults(prefill, json!({ "stallTransfers": true })).await;
    let order = prefill_order(attempt(1), EnginePriority::Urgent, &prompt());
    post(prefill, "/v1/prefills", &order).await;
    let source = KvSource::Engine { address: prefill };
    let stalled = actix_rt::spawn(stream(decode, 1, source, 0));
    wait_held(decode, |held| {
        held.iter().any(|held| held.kind == ResourceKind::Stream)
    })
    .await;
    cancel(decode, 1).await;
    cancel(prefill, 1).await;
    let failed = StreamEvent::Failed {
        attempt: attempt(1),
        reason: EngineReason::Cancelled,
    };
    assert_eq!(stalled.await.expect("task"), vec![failed]);
    wait_held(decode, <[_]>::is_empty).await;
    wait_held(prefill, <[_]>::is_empty).await;
}
