//! A caller receives the complete answer to its own request exactly once, or an explicit error.

mod support;

use std::time::Duration;

use gs_standin::engine::EngineRuns;
use gs_standin::harness::{DeploymentHarness, HarnessError, ProcessSignal, StreamedText};
use serde_json::{Value, json};
use support::{CLERK, completion, held};
use test_case::test_case;

type TestResult = Result<(), HarnessError>;

/// Tokens of each answer.
const TOKENS: u32 = 200;

/// Fault of the engine that runs a stream.
#[derive(Clone, Copy, Debug)]
enum EngineFault {
    Cut,
    Killed,
    Paused,
    Silent,
}

async fn stream_completion(
    harness: &DeploymentHarness,
    prompt: &str,
) -> Result<StreamedText, HarnessError> {
    let entry = harness.entries[0].process.address;
    let body = completion(prompt, TOKENS, true);
    Ok(harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &body)
        .await?
        .parse_stream())
}

/// Time that a stream runs before its engine fails, so that some of its tokens have arrived.
const HEAD_START: Duration = Duration::from_millis(300);

/// Finds the index in `harness.servers` of the decode engine that runs a stream.
async fn find_busy_decoder(harness: &DeploymentHarness) -> Option<usize> {
    for (index, server) in harness.servers.iter().enumerate().skip(1) {
        let report: Result<Value, _> = harness
            .client
            .get(server.process.address, "/control/runs")
            .await;
        let runs = report
            .map(|report| report["runs"].clone())
            .unwrap_or_default();
        let is_busy = |run: &Value| run["streamsStarted"] == 1 && run["streamsEnded"] == 0;
        if runs.as_array().is_some_and(|runs| runs.iter().any(is_busy)) {
            return Some(index);
        }
    }
    None
}

async fn inject_fault(harness: &DeploymentHarness, index: usize, fault: EngineFault) -> TestResult {
    let name = harness.servers[index].name.as_str();
    let process = &harness.servers[index].process;
    match fault {
        EngineFault::Cut => {
            support::set_faults(harness, name, &json!({ "cutStreamsAfter": 1 })).await
        }
        EngineFault::Killed => process.signal(ProcessSignal::Kill),
        EngineFault::Paused => process.signal(ProcessSignal::Stop),
        EngineFault::Silent => support::set_faults(harness, name, &json!({ "silent": true })).await,
    }
}

/// Starts two decode engines that generate slowly from now on. Returns also the answer to the prompt
/// `wash notes` from before.
async fn start_slow_engines(
    slow_factor: f64,
) -> Result<(DeploymentHarness, StreamedText), HarnessError> {
    let harness =
        support::start_with(2, 1, &json!({ "timeouts": { "engineSilentMs": 500 } })).await?;
    let expected = stream_completion(&harness, "wash notes").await?;
    assert!(expected.complete, "before any fault: {:?}", expected.error);
    assert_eq!(expected.tokens.len(), TOKENS as usize);
    for name in ["notes-decode-0", "notes-decode-1"] {
        support::set_faults(&harness, name, &json!({ "slowFactor": slow_factor })).await?;
    }
    Ok((harness, expected))
}

/// Waits until a decode engine runs a stream; returns its index in `harness.servers`.
async fn wait_for_busy_decoder(harness: &DeploymentHarness) -> Result<usize, HarnessError> {
    harness
        .wait_for("a stream", async || {
            find_busy_decoder(harness).await.is_some()
        })
        .await?;
    Ok(find_busy_decoder(harness)
        .await
        .expect("the stream runs for seconds"))
}

#[test_case(EngineFault::Cut; "connection cut")]
#[test_case(EngineFault::Killed; "engine killed")]
#[test_case(EngineFault::Paused; "engine paused")]
#[test_case(EngineFault::Silent; "engine silent")]
fn a_broken_stream_is_resumed_on_another_engine(fault: EngineFault) {
    let check = async {
        let (harness, expected) = start_slow_engines(10.0).await?;
        let (answer, injected) =
            futures_util::future::join(stream_completion(&harness, "wash notes"), async {
                let index = wait_for_busy_decoder(&harness).await?;
                inject_fault(&harness, index, fault).await
            })
            .await;
        injected?;
        assert_eq!(answer?, expected, "no token is lost or repeated");
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the answer is complete");
}

/// The engine accepts the stream and stops before its first token, when an entry expects no event yet.
#[actix_rt::test]
async fn a_stream_without_a_first_token_is_restarted_on_another_engine() -> TestResult {
    let (harness, expected) = start_slow_engines(100_000.0).await?;
    let (answer, paused) =
        futures_util::future::join(stream_completion(&harness, "wash notes"), async {
            let index = wait_for_busy_decoder(&harness).await?;
            let other = harness.servers[3 - index].name.as_str();
            support::set_faults(&harness, other, &json!({ "slowFactor": 1.0 })).await?;
            harness.servers[index].process.signal(ProcessSignal::Stop)
        })
        .await;
    paused?;
    assert_eq!(answer?, expected, "no token is lost or repeated");
    Ok(())
}

/// Guards against a resumed stream that times out: recomputing the prompt takes longer than an
/// engine may be silent within a stream.
#[actix_rt::test]
async fn a_stream_with_a_long_prompt_is_resumed() -> TestResult {
    let harness =
        support::start_with(2, 1, &json!({ "timeouts": { "engineSilentMs": 500 } })).await?;
    let prompt = "word ".repeat(2800);
    for name in ["notes-decode-0", "notes-decode-1"] {
        support::set_faults(&harness, name, &json!({ "slowFactor": 30.0 })).await?;
    }
    let (answer, killed) =
        futures_util::future::join(stream_completion(&harness, &prompt), async {
            harness
                .wait_for("a stream", async || {
                    find_busy_decoder(&harness).await.is_some()
                })
                .await?;
            tokio::time::sleep(HEAD_START * 3).await;
            let index = find_busy_decoder(&harness)
                .await
                .expect("the stream still runs");
            let other = harness.servers[3 - index].name.as_str();
            support::set_faults(&harness, other, &json!({ "slowFactor": 100.0 })).await?;
            harness.servers[index].process.signal(ProcessSignal::Kill)?;
            Ok::<_, HarnessError>(other)
        })
        .await;
    let other = killed?;
    support::set_faults(&harness, other, &json!({ "slowFactor": 1.0 })).await?;
    // Sent last, so that no engine has cached the prompt during the test.
    let expected = stream_completion(&harness, &prompt).await?;
    assert_eq!(answer?, expected, "no token is lost or repeated");
    Ok(())
}

#[actix_rt::test]
async fn an_answer_without_a_usable_engine_ends_in_an_error() -> TestResult {
    let harness = support::start(1, &json!({ "timeouts": { "engineSilentMs": 500 } })).await?;
    support::set_faults(&harness, "notes-decode-0", &json!({ "slowFactor": 10.0 })).await?;
    let (answer, killed) =
        futures_util::future::join(stream_completion(&harness, "wash notes"), async {
            harness
                .wait_for("a stream", async || {
                    find_busy_decoder(&harness).await.is_some()
                })
                .await?;
            tokio::time::sleep(HEAD_START).await;
            harness.servers[1].process.signal(ProcessSignal::Kill)
        })
        .await;
    killed?;
    let answer = answer?;
    assert!(!answer.complete);
    let error = answer.error.expect("the stream ends with an error event");
    assert_eq!(error["outcome"], "unknown");
    harness
        .wait_for("released engine resources", async || {
            held(&harness).await.is_empty()
        })
        .await
}

#[actix_rt::test]
async fn concurrent_callers_receive_their_own_answers() -> TestResult {
    let harness = support::start_with(2, 1, &json!({})).await?;
    let prompts: Vec<_> = (0..12).map(|number| format!("ticket {number}")).collect();
    let mut sequential = Vec::new();
    for prompt in &prompts {
        sequential.push(stream_completion(&harness, prompt).await?);
    }
    let concurrent = prompts
        .iter()
        .map(|prompt| stream_completion(&harness, prompt));
    let concurrent = futures_util::future::try_join_all(concurrent).await?;
    assert_eq!(concurrent, sequential);
    let first = &concurrent[0];
    assert!(
        concurrent[1..]
            .iter()
            .all(|other| other.tokens != first.tokens)
    );
    Ok(())
}

#[actix_rt::test]
async fn entries_with_the_same_seed_generate_distinct_attempts() -> TestResult {
    let harness = support::start(2, &json!({ "seed": 1 })).await?;
    let mut requests = Vec::new();
    for number in 0..24 {
        let entry = harness.entries[number % 2].process.address;
        let body = completion(&format!("ticket {number}"), 20, true);
        let client = harness.client.clone();
        requests.push(async move { client.post_as(entry, "/v1/completions", CLERK, &body).await });
    }
    for answer in futures_util::future::join_all(requests).await {
        assert!(answer?.parse_stream().complete);
    }
    let prefill = support::server(&harness, "notes-prefill");
    let report: EngineRuns = harness.client.get(prefill, "/control/runs").await?;
    assert_eq!(report.runs.len(), 24, "each request has its own attempt");
    Ok(())
}
