//! Engines are freed of requests that have ended, however they ended.

mod support;

use std::time::Duration;

use gs_protocol::engine::{HeldKind, HeldRecord};
use gs_standin::harness::{DeploymentHarness, HarnessError, ProcessSignal};
use serde_json::{Value, json};
use support::{CLERK, completion, held};
use test_case::test_case;

type TestResult = Result<(), HarnessError>;

/// At which stage the request goes.
#[derive(Clone, Copy, Debug)]
enum GoneAt {
    Prefill,
    Stream,
    Transfer,
}

/// How the request goes.
#[derive(Clone, Copy, Debug)]
enum GoneBy {
    CallerLeft,
    EntryKilled,
}

async fn set_faults(harness: &DeploymentHarness, faults: &Value) -> TestResult {
    for engine in ["notes-prefill", "notes-decode-0"] {
        support::set_faults(harness, engine, faults).await?;
    }
    Ok(())
}

/// What an engine holds once the request has come to a stage.
fn has_reached(stage: GoneAt, records: &[HeldRecord]) -> bool {
    let holds = |kind| records.iter().any(|record| record.kind == kind);
    match stage {
        GoneAt::Prefill => holds(HeldKind::Prefill),
        GoneAt::Stream => holds(HeldKind::Stream) && !holds(HeldKind::Result),
        GoneAt::Transfer => holds(HeldKind::Stream) && holds(HeldKind::Result),
    }
}

#[test_case(GoneAt::Prefill, GoneBy::CallerLeft; "caller leaves during the prefill")]
#[test_case(GoneAt::Transfer, GoneBy::CallerLeft; "caller leaves during the transfer")]
#[test_case(GoneAt::Stream, GoneBy::CallerLeft; "caller leaves during the stream")]
#[test_case(GoneAt::Prefill, GoneBy::EntryKilled; "entry is killed during the prefill")]
#[test_case(GoneAt::Transfer, GoneBy::EntryKilled; "entry is killed during the transfer")]
#[test_case(GoneAt::Stream, GoneBy::EntryKilled; "entry is killed during the stream")]
fn engines_are_freed(stage: GoneAt, cause: GoneBy) {
    let check = async {
        let mut harness = support::start(2, &json!({})).await?;
        // The engines do not notice by themselves, and the first cancel of each is lost.
        set_faults(&harness, &json!({ "keepOrphans": true, "dropCancels": 1 })).await?;
        let slow = match stage {
            GoneAt::Prefill | GoneAt::Stream => json!({ "slowFactor": 50.0 }),
            GoneAt::Transfer => json!({ "stallTransfers": true }),
        };
        set_faults(&harness, &slow).await?;
        let entry = harness.entries[0].process.address;
        let client = harness.client.clone();
        let asked = actix_rt::spawn(async move {
            let body = completion(&"word ".repeat(600), 400, true);
            client.post_as(entry, "/v1/completions", CLERK, &body).await
        });
        harness
            .wait_for("the stage", async || {
                has_reached(stage, &held(&harness).await)
            })
            .await?;
        match cause {
            GoneBy::CallerLeft => asked.abort(),
            GoneBy::EntryKilled => harness.entries.remove(0).process.close(),
        }
        // What is not cancelled stays for longer than the test waits.
        set_faults(&harness, &json!({ "slowFactor": 500.0 })).await?;
        harness
            .wait_for("freed engines", async || held(&harness).await.is_empty())
            .await
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("everything is freed");
}

#[actix_rt::test]
async fn a_paused_entry_that_goes_on_holds_nothing_for_long() -> TestResult {
    let harness = support::start(2, &json!({})).await?;
    set_faults(
        &harness,
        &json!({ "keepOrphans": true, "slowFactor": 20.0 }),
    )
    .await?;
    let entry = harness.entries[0].process.address;
    let client = harness.client.clone();
    actix_rt::spawn(async move {
        let body = completion("label", 300, true);
        client.post_as(entry, "/v1/completions", CLERK, &body).await
    });
    harness
        .wait_for("the stream", async || {
            has_reached(GoneAt::Stream, &held(&harness).await)
        })
        .await?;
    harness.entries[0].process.signal(ProcessSignal::Stop)?;
    set_faults(&harness, &json!({ "slowFactor": 500.0 })).await?;
    harness
        .wait_for("freed engines", async || held(&harness).await.is_empty())
        .await?;
    harness.entries[0].process.signal(ProcessSignal::Continue)?;
    set_faults(&harness, &json!({ "slowFactor": 1.0 })).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    harness
        .wait_for("freed engines", async || held(&harness).await.is_empty())
        .await
}

#[actix_rt::test]
async fn callers_that_leave_take_no_room_from_others() -> TestResult {
    let harness = support::start(1, &json!({})).await?;
    let entry = harness.entries[0].process.address;
    // More than the slots of the only decode engine.
    for number in 0..30 {
        let client = harness.client.clone();
        let asked = actix_rt::spawn(async move {
            let body = completion(&format!("label {number}"), 400, true);
            client.post_as(entry, "/v1/completions", CLERK, &body).await
        });
        harness
            .wait_for("the stream", async || {
                has_reached(GoneAt::Stream, &held(&harness).await)
            })
            .await?;
        asked.abort();
        harness
            .wait_for("freed engines", async || held(&harness).await.is_empty())
            .await?;
    }
    let body = completion("label", 20, true);
    let answer = harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &body)
        .await?;
    assert!(answer.parse_stream().complete, "{:?}", answer.body);
    Ok(())
}
