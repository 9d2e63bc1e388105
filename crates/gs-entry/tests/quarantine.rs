//! A request that crashes engines is refused after two deaths, and the requests beside it are answered.

mod support;

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use gs_protocol::caller::EntryList;
use gs_protocol::engine::LoadReport;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_standin::harness::{DeploymentHarness, HarnessError, ProgramDirectory, ServerSpec};
use serde_json::json;
use support::{BATCH, CLERK, FAST_ENGINE, completion, document};
use test_case::test_case;

type TestResult = Result<(), HarnessError>;

const ENTRIES: usize = 3;
const HARMED_ENGINES: usize = 4;
const OTHER_ENGINES: usize = 2;
const TRIES: usize = 9;
const STREAMS: usize = 12;
const TOKENS: u32 = 100;

/// Between an answer to the crashing request and its caller's next try.
const BETWEEN_TRIES: Duration = Duration::from_millis(200);

/// The text that ends an engine.
const POISON: &str = "poison";

/// Which engines the text ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Harmed {
    Decode,
    Prefill,
}

impl Harmed {
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
    crash_on: &str,
) -> TestResult {
    let shape = ServerSpec::Engine {
        role,
        model: "notes",
        arguments: FAST_ENGINE,
    };
    let name = format!("notes-{role}-{number}");
    harness.add_server(&name, "north", &shape).await?;
    // Steps are slow enough that streams run while engines die.
    let faults = json!({ "crashOn": crash_on, "slowFactor": 10.0 });
    support::set_faults(harness, &name, &faults).await
}

async fn start_fleet(harmed: Harmed) -> Result<DeploymentHarness, HarnessError> {
    let programs = ProgramDirectory::containing(env!("CARGO_BIN_EXE_gs-entry"));
    let mut harness = DeploymentHarness::start(programs, &[])?;
    for role in ["decode", "prefill"] {
        let (engines, crash_on) = match role == harmed.role() {
            true => (HARMED_ENGINES, POISON),
            false => (OTHER_ENGINES, ""),
        };
        for number in 0..engines {
            start_engine(&mut harness, role, number, crash_on).await?;
        }
    }
    harness.promote_document(&document()).await?;
    for number in 0..ENTRIES {
        harness
            .add_entry(&format!("entry-{number}"), "north", &json!({}))
            .await?;
    }
    harness.wait_ready().await?;
    wait_peers(&harness).await?;
    Ok(harness)
}

/// Waits until every entry lists all entries.
async fn wait_peers(harness: &DeploymentHarness) -> TestResult {
    for entry in &harness.entries {
        let address = entry.process.address;
        harness
            .wait_for("a whole list of entries", async || {
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

/// The engines that answer.
async fn alive(harness: &DeploymentHarness) -> usize {
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

/// Streams innocent requests through all entries until told to stop; returns how many were answered.
async fn stream_innocents(
    harness: &DeploymentHarness,
    lane: usize,
    stop: &Cell<bool>,
) -> Result<usize, HarnessError> {
    let mut answered = 0;
    while !stop.get() {
        let prompt = format!("wash notes of ward {lane}, day {answered}");
        let entry = harness.entries[(lane + answered) % ENTRIES].process.address;
        let body = completion(&prompt, TOKENS, true);
        let answer = harness
            .client
            .post_as(entry, "/v1/completions", CLERK, &body)
            .await?;
        let text = answer.parse_stream();
        assert!(
            text.complete,
            "lane {lane}: status {}, {:?}",
            answer.status, text.error
        );
        assert_eq!(text.tokens.len(), TOKENS as usize);
        answered += 1;
    }
    Ok(answered)
}

/// Sends the crashing request again and again, each time through the next entry.
async fn send_crasher(
    harness: &DeploymentHarness,
    tries: usize,
) -> Result<Vec<RefusalReason>, HarnessError> {
    let mut reasons = Vec::new();
    for number in 0..tries {
        let entry = harness.entries[number % ENTRIES].process.address;
        let body = completion(&format!("{POISON} of the well"), TOKENS, false);
        let answer = harness
            .client
            .post_as(entry, "/v1/completions", BATCH, &body)
            .await?;
        let problem = answer.parse_problem()?;
        if reasons.last() == Some(&RefusalReason::Quarantined) {
            assert_eq!(problem.reason, RefusalReason::Quarantined);
            assert_eq!(problem.outcome, RequestOutcome::NotRun);
        }
        reasons.push(problem.reason);
        // Peers hear of a death before the caller's next try.
        tokio::time::sleep(BETWEEN_TRIES).await;
    }
    Ok(reasons)
}

/// Sends the crashing request beside innocents; returns its refusals.
async fn send_beside_innocents(
    harness: &DeploymentHarness,
) -> Result<Vec<RefusalReason>, HarnessError> {
    let stop = Cell::new(false);
    let innocents = (0..STREAMS).map(|lane| stream_innocents(harness, lane, &stop));
    let crasher = async {
        let reasons = send_crasher(harness, TRIES).await;
        stop.set(true);
        reasons
    };
    let innocents = futures_util::future::try_join_all(innocents);
    let (reasons, answered) = futures_util::future::join(crasher, innocents).await;
    assert!(answered?.iter().all(|answered| *answered > 0));
    reasons
}

#[test_case(Harmed::Decode; "decode engines")]
#[test_case(Harmed::Prefill; "prefill engines")]
fn a_crashing_request_ends_at_most_two_engines(harmed: Harmed) {
    let check = async {
        let mut harness = start_fleet(harmed).await?;
        let reasons = send_beside_innocents(&harness).await?;
        let died = harness.servers.len() - alive(&harness).await;
        assert!((1..=2).contains(&died), "{died} engines died: {reasons:?}");
        assert_eq!(reasons.last(), Some(&RefusalReason::Quarantined));
        for number in HARMED_ENGINES..HARMED_ENGINES + died {
            start_engine(&mut harness, harmed.role(), number, POISON).await?;
        }
        let reasons = send_crasher(&harness, ENTRIES).await?;
        assert_eq!(reasons, vec![RefusalReason::Quarantined; ENTRIES]);
        assert_eq!(harness.servers.len() - alive(&harness).await, died);
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the fleet serves on");
}
