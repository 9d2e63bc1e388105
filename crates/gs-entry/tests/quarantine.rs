//! A request that crashes engines is refused after two crashes, and concurrent requests are
//! answered.

mod support;

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use gs_protocol::caller::EntryList;
use gs_protocol::engine::LoadReport;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_standin::harness::{DeploymentHarness, HarnessError, ProgramDirectory, ServerSpec};
use serde_json::{Value, json};
use support::{BATCH, CLERK, FAST_ENGINE, completion, document};
use test_case::test_case;

type TestResult = Result<(), HarnessError>;

const ENTRIES: usize = 3;
const CRASHING_ENGINES: usize = 4;
const OTHER_ENGINES: usize = 2;
const ATTEMPTS: usize = 9;
const STREAMS: usize = 12;
const TOKENS: u32 = 100;
/// Tokens of requests that crash no engine.
const SHORT_TOKENS: u32 = 5;

/// Delay between an answer to the crashing request and its caller's next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Text in a prompt that crashes an engine.
const CRASH_TEXT: &str = "poison";

/// Role of the engines that the text crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashingRole {
    Decode,
    Prefill,
}

impl CrashingRole {
    fn role(self) -> &'static str {
        match self {
            Self::Decode => "decode",
            Self::Prefill => "prefill",
        }
    }
}

async fn start_engine(
    harness: &mut DeploymentHarness,
    role: &str,
    number: usize,
    faults: &Value,
) -> TestResult {
    let shape = ServerSpec::Engine {
        role,
        model: "notes",
        arguments: FAST_ENGINE,
    };
    let name = format!("notes-{role}-{number}");
    harness.add_server(&name, "north", &shape).await?;
    support::set_faults(harness, &name, faults).await
}

/// The faults of engines that crash on [`CRASH_TEXT`].
fn crash_on_text() -> Value {
    // Steps are slow enough that streams run while engines crash.
    json!({ "crashOn": CRASH_TEXT, "slowFactor": 10.0 })
}

/// Starts entries and engines, of which those of one role have `faults`.
async fn start_fleet(
    crashing_role: CrashingRole,
    faults: &Value,
) -> Result<DeploymentHarness, HarnessError> {
    let programs = ProgramDirectory::containing(env!("CARGO_BIN_EXE_gs-entry"));
    let mut harness = DeploymentHarness::start(programs, &[])?;
    for role in ["decode", "prefill"] {
        let sound = json!({ "slowFactor": 10.0 });
        let (engines, faults) = match role == crashing_role.role() {
            true => (CRASHING_ENGINES, faults),
            false => (OTHER_ENGINES, &sound),
        };
        for number in 0..engines {
            start_engine(&mut harness, role, number, faults).await?;
        }
    }
    harness.promote_document(&document()).await?;
    for number in 0..ENTRIES {
        harness
            .add_entry(&format!("entry-{number}"), "north", &json!({}))
            .await?;
    }
    harness.wait_ready().await?;
    wait_for_peers(&harness).await?;
    Ok(harness)
}

/// Waits until every entry lists all entries.
async fn wait_for_peers(harness: &DeploymentHarness) -> TestResult {
    for entry in &harness.entries {
        let address = entry.process.address;
        harness
            .wait_for("a complete list of entries", async || {
                let bearer = format!("Bearer {CLERK}");
                let headers = [("authorization", bearer.as_str())];
                let listed = harness
                    .client
                    .call(address, "GET", "/v1/entries", &headers, Bytes::new())
                    .await;
                let list = listed.and_then(|answer| answer.json::<EntryList>());
                list.is_ok_and(|list| list.entries.len() == ENTRIES)
            })
            .await?;
    }
    Ok(())
}

/// Number of engines that answer.
async fn count_alive(harness: &DeploymentHarness) -> usize {
    let mut alive = 0;
    for server in &harness.servers {
        let load = harness
            .client
            .get::<LoadReport>(server.process.address, "/v1/load")
            .await;
        alive += usize::from(load.is_ok());
    }
    alive
}

/// Streams harmless requests through all entries until `stop` is set; returns how many were
/// answered.
async fn stream_harmless_requests(
    harness: &DeploymentHarness,
    stream: usize,
    stop: &Cell<bool>,
) -> Result<usize, HarnessError> {
    let mut answered = 0;
    while !stop.get() {
        let prompt = format!("wash notes of ward {stream}, day {answered}");
        let entry = harness.entries[(stream + answered) % ENTRIES]
            .process
            .address;
        let body = completion(&prompt, TOKENS, true);
        let answer = harness
            .client
            .post_as(entry, "/v1/completions", CLERK, &body)
            .await?;
        let text = answer.parse_stream();
        assert!(
            text.complete,
            "stream {stream}: status {}, {:?}",
            answer.status, text.error
        );
        assert_eq!(text.tokens.len(), TOKENS as usize);
        answered += 1;
    }
    Ok(answered)
}

/// Sends the crashing request repeatedly, each time through the next entry.
async fn send_crashing_request(
    harness: &DeploymentHarness,
    attempts: usize,
) -> Result<Vec<RefusalReason>, HarnessError> {
    let body = completion(&format!("{CRASH_TEXT} of the well"), TOKENS, false);
    send_repeatedly(harness, attempts, &body).await
}

/// Sends a request that crashes engines repeatedly, each time through the next entry.
async fn send_repeatedly(
    harness: &DeploymentHarness,
    attempts: usize,
    body: &Value,
) -> Result<Vec<RefusalReason>, HarnessError> {
    let mut reasons = Vec::new();
    for number in 0..attempts {
        let entry = harness.entries[number % ENTRIES].process.address;
        let answer = harness
            .client
            .post_as(entry, "/v1/completions", BATCH, body)
            .await?;
        let problem = answer.parse_problem()?;
        if reasons.last() == Some(&RefusalReason::Quarantined) {
            assert_eq!(problem.reason, RefusalReason::Quarantined);
            assert_eq!(problem.outcome, RequestOutcome::NotRun);
        }
        reasons.push(problem.reason);
        // Peers receive the report on a crash before the caller's next attempt.
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Ok(reasons)
}

/// Sends the crashing request beside harmless ones; returns its refusals.
async fn send_beside_harmless_requests(
    harness: &DeploymentHarness,
) -> Result<Vec<RefusalReason>, HarnessError> {
    let stop = Cell::new(false);
    let harmless = (0..STREAMS).map(|stream| stream_harmless_requests(harness, stream, &stop));
    let crashing = async {
        let reasons = send_crashing_request(harness, ATTEMPTS).await;
        stop.set(true);
        reasons
    };
    let harmless = futures_util::future::try_join_all(harmless);
    let (reasons, answered) = futures_util::future::join(crashing, harmless).await;
    assert!(answered?.iter().all(|answered| *answered > 0));
    reasons
}

#[test_case(CrashingRole::Decode; "decode engines")]
#[test_case(CrashingRole::Prefill; "prefill engines")]
fn a_crashing_request_crashes_at_most_two_engines(crashing_role: CrashingRole) {
    let check = async {
        let mut harness = start_fleet(crashing_role, &crash_on_text()).await?;
        let reasons = send_beside_harmless_requests(&harness).await?;
        let crash_count = harness.servers.len() - count_alive(&harness).await;
        assert!(
            (1..=2).contains(&crash_count),
            "{crash_count} engines crashed: {reasons:?}"
        );
        assert_eq!(reasons.last(), Some(&RefusalReason::Quarantined));
        for number in CRASHING_ENGINES..CRASHING_ENGINES + crash_count {
            start_engine(&mut harness, crashing_role.role(), number, &crash_on_text()).await?;
        }
        let reasons = send_crashing_request(&harness, ENTRIES).await?;
        assert_eq!(reasons, vec![RefusalReason::Quarantined; ENTRIES]);
        assert_eq!(
            harness.servers.len() - count_alive(&harness).await,
            crash_count
        );
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the fleet keeps serving");
}

/// Sends a short completion of a prompt through all entries until `stop` is set; returns how many were answered.
async fn send_short_requests(
    harness: &DeploymentHarness,
    prompt: &str,
    stop: &Cell<bool>,
) -> Result<usize, HarnessError> {
    let mut answered = 0;
    while !stop.get() {
        let entry = harness.entries[answered % ENTRIES].process.address;
        let body = completion(prompt, SHORT_TOKENS, true);
        let answer = harness
            .client
            .post_as(entry, "/v1/completions", CLERK, &body)
            .await?;
        let text = answer.parse_stream();
        assert!(
            text.complete,
            "short request {answered}: status {}, {:?}",
            answer.status, text.error
        );
        answered += 1;
    }
    Ok(answered)
}

// Guards against a request that crashes engine after engine because a different one with its prompt is answered.
#[test]
fn a_crashing_request_is_refused_although_its_prompt_is_answered_with_fewer_tokens() {
    let check = async {
        let faults = json!({ "crashFromTokens": TOKENS, "slowFactor": 10.0 });
        let harness = start_fleet(CrashingRole::Decode, &faults).await?;
        let prompt = "wash notes of the well";
        let stop = Cell::new(false);
        let crashing = async {
            let body = completion(prompt, TOKENS, false);
            let reasons = send_repeatedly(&harness, ATTEMPTS, &body).await;
            stop.set(true);
            reasons
        };
        let short = send_short_requests(&harness, prompt, &stop);
        let (reasons, answered) = futures_util::future::join(crashing, short).await;
        let reasons = reasons?;
        let crash_count = harness.servers.len() - count_alive(&harness).await;
        assert!(
            (1..=2).contains(&crash_count),
            "{crash_count} engines crashed: {reasons:?}"
        );
        assert!(answered? > 0);
        assert_eq!(reasons.last(), Some(&RefusalReason::Quarantined));
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the fleet keeps serving");
}
