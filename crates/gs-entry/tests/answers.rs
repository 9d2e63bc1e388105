//! A caller gets the whole answer to its own request, once, or an explicit error.

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

/// What happens to the engine that runs a stream.
#[derive(Clone, Copy, Debug)]
enum EngineFault {
    Cut,
    Killed,
    Paused,
    Silent,
}

async fn ask(harness: &DeploymentHarness, prompt: &str) -> Result<StreamedText, HarnessError> {
    let entry = harness.entries[0].process.address;
    let body = completion(prompt, TOKENS, true);
    Ok(harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &body)
        .await?
        .parse_stream())
}

/// How long a stream runs before its engine fails: some of its tokens have come by then.
const HEAD_START: Duration = Duration::from_millis(300);

/// The index among the servers of the engine that runs a stream.
async fn busy_decoder(harness: &DeploymentHarness) -> Option<usize> {
    for (index, server) in harness.servers.iter().enumerate().skip(1) {
        let report: Result<Value, _> = harness
            .client
            .get(server.process.address, "/control/runs")
            .await;
        let runs = report
            .map(|report| report["runs"].clone())
            .unwrap_or_default();
        let busy = |run: &Value| run["streamsStarted"] == 1 && run["streamsEnded"] == 0;
        if runs.as_array().is_some_and(|runs| runs.iter().any(busy)) {
            return Some(index);
        }
    }
    None
}

async fn bring_about(harness: &DeploymentHarness, index: usize, fault: EngineFault) -> TestResult {
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

#[test_case(EngineFault::Cut; "connection cut")]
#[test_case(EngineFault::Killed; "engine killed")]
#[test_case(EngineFault::Paused; "engine paused")]
#[test_case(EngineFault::Silent; "engine silent")]
fn a_broken_stream_goes_on_elsewhere(fault: EngineFault) {
    let check = async {
        let harness =
            support::start_with(2, 1, &json!({ "timeouts": { "engineSilentMs": 500 } })).await?;
        let expected = ask(&harness, "wash notes").await?;
        assert!(expected.complete, "before any fault: {:?}", expected.error);
        for name in ["notes-decode-0", "notes-decode-1"] {
            support::set_faults(&harness, name, &json!({ "slowFactor": 10.0 })).await?;
        }
        let (answer, broken) = futures_util::future::join(ask(&harness, "wash notes"), async {
            harness
                .wait_for("a stream", async || busy_decoder(&harness).await.is_some())
                .await?;
            let index = busy_decoder(&harness)
                .await
                .expect("the stream runs for two seconds");
            bring_about(&harness, index, fault).await
        })
        .await;
        broken?;
        assert_eq!(answer?, expected, "no token is lost or doubled");
        assert_eq!(expected.tokens.len(), TOKENS as usize);
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the answer is whole");
}

/// Computing the prompt anew takes longer than an engine may be silent within a stream.
#[actix_rt::test]
async fn a_stream_with_a_long_prompt_is_resumed() -> TestResult {
    let harness =
        support::start_with(2, 1, &json!({ "timeouts": { "engineSilentMs": 500 } })).await?;
    let prompt = "word ".repeat(2800);
    for name in ["notes-decode-0", "notes-decode-1"] {
        support::set_faults(&harness, name, &json!({ "slowFactor": 30.0 })).await?;
    }
    let (answer, killed) = futures_util::future::join(ask(&harness, &prompt), async {
        harness
            .wait_for("a stream", async || busy_decoder(&harness).await.is_some())
            .await?;
        tokio::time::sleep(HEAD_START * 3).await;
        let index = busy_decoder(&harness).await.expect("the stream still runs");
        let other = harness.servers[3 - index].name.as_str();
        support::set_faults(&harness, other, &json!({ "slowFactor": 100.0 })).await?;
        harness.servers[index].process.signal(ProcessSignal::Kill)?;
        Ok::<_, HarnessError>(other)
    })
    .await;
    let other = killed?;
    support::set_faults(&harness, other, &json!({ "slowFactor": 1.0 })).await?;
    // Asked last, so that no engine has the prompt in its cache before.
    let expected = ask(&harness, &prompt).await?;
    assert_eq!(answer?, expected, "no token is lost or doubled");
    Ok(())
}

#[actix_rt::test]
async fn an_answer_that_cannot_go_on_ends_in_an_error() -> TestResult {
    let harness = support::start(1, &json!({ "timeouts": { "engineSilentMs": 500 } })).await?;
    support::set_faults(&harness, "notes-decode-0", &json!({ "slowFactor": 10.0 })).await?;
    let (answer, killed) = futures_util::future::join(ask(&harness, "wash notes"), async {
        harness
            .wait_for("a stream", async || busy_decoder(&harness).await.is_some())
            .await?;
        tokio::time::sleep(HEAD_START).await;
        harness.servers[1].process.signal(ProcessSignal::Kill)
    })
    .await;
    killed?;
    let answer = answer?;
    assert!(!answer.complete);
    let error = answer.error.expect("the stream says that it broke");
    assert_eq!(error["outcome"], "unknown");
    harness
        .wait_for("freed engines", async || held(&harness).await.is_empty())
        .await
}

#[actix_rt::test]
async fn many_callers_at_once_get_their_own_answers() -> TestResult {
    let harness = support::start_with(2, 1, &json!({})).await?;
    let prompts: Vec<_> = (0..12).map(|number| format!("ticket {number}")).collect();
    let mut alone = Vec::new();
    for prompt in &prompts {
        alone.push(ask(&harness, prompt).await?);
    }
    let together = prompts.iter().map(|prompt| ask(&harness, prompt));
    let together = futures_util::future::try_join_all(together).await?;
    assert_eq!(together, alone);
    let first = &together[0];
    assert!(
        together[1..]
            .iter()
            .all(|other| other.tokens != first.tokens)
    );
    Ok(())
}

#[actix_rt::test]
async fn entries_with_the_same_seed_make_attempts_of_their_own() -> TestResult {
    let harness = support::start(2, &json!({ "seed": 1 })).await?;
    let mut asked = Vec::new();
    for number in 0..24 {
        let entry = harness.entries[number % 2].process.address;
        let body = completion(&format!("ticket {number}"), 20, true);
        let client = harness.client.clone();
        asked.push(async move { client.post_as(entry, "/v1/completions", CLERK, &body).await });
    }
    for answer in futures_util::future::join_all(asked).await {
        assert!(answer?.parse_stream().complete);
    }
    let prefill = support::server(&harness, "notes-prefill");
    let report: EngineRuns = harness.client.get(prefill, "/control/runs").await?;
    assert_eq!(report.runs.len(), 24, "each request has its own attempt");
    Ok(())
}
