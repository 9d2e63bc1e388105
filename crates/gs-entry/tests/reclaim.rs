//! Engines release the resources of requests that ended, whatever the cause.

mod support;

use std::time::Duration;

use gs_protocol::engine::{HeldResource, ResourceKind};
use gs_standin::harness::{DeploymentHarness, HarnessError, ProcessSignal};
use serde_json::{Value, json};
use support::{CLERK, completion, held};
use test_case::test_case;

type TestResult = Result<(), HarnessError>;

/// Stage at which the request ends.
#[derive(Clone, Copy, Debug)]
enum EndStage {
    Prefill,
    Stream,
    Transfer,
}

/// Cause of the request's end.
#[derive(Clone, Copy, Debug)]
enum EndCause {
    CallerDisconnects,
    EntryKilled,
}

async fn set_faults(harness: &DeploymentHarness, faults: &Value) -> TestResult {
    for engine in ["notes-prefill", "notes-decode-0"] {
        support::set_faults(harness, engine, faults).await?;
    }
    Ok(())
}

/// Whether the held resources show that the request reached a stage.
fn has_reached(stage: EndStage, records: &[HeldResource]) -> bool {
    let holds = |kind| records.iter().any(|record| record.kind == kind);
    match stage {
        EndStage::Prefill => holds(ResourceKind::Prefill),
        EndStage::Stream => holds(ResourceKind::Stream) && !holds(ResourceKind::Result),
        EndStage::Transfer => holds(ResourceKind::Stream) && holds(ResourceKind::Result),
    }
}

#[test_case(EndStage::Prefill, EndCause::CallerDisconnects; "caller disconnects during the prefill")]
#[test_case(EndStage::Transfer, EndCause::CallerDisconnects; "caller disconnects during the transfer")]
#[test_case(EndStage::Stream, EndCause::CallerDisconnects; "caller disconnects during the stream")]
#[test_case(EndStage::Prefill, EndCause::EntryKilled; "entry is killed during the prefill")]
#[test_case(EndStage::Transfer, EndCause::EntryKilled; "entry is killed during the transfer")]
#[test_case(EndStage::Stream, EndCause::EntryKilled; "entry is killed during the stream")]
fn engine_resources_are_released(stage: EndStage, cause: EndCause) {
    let check = async {
        let mut harness = support::start(2, &json!({})).await?;
        // The engines do not detect orphans by themselves, and the first cancel to each is lost.
        set_faults(&harness, &json!({ "keepOrphans": true, "dropCancels": 1 })).await?;
        let slow = match stage {
            EndStage::Prefill | EndStage::Stream => json!({ "slowFactor": 50.0 }),
            EndStage::Transfer => json!({ "stallTransfers": true }),
        };
        set_faults(&harness, &slow).await?;
        let entry = harness.entries[0].process.address;
        let client = harness.client.clone();
        let request = actix_rt::spawn(async move {
            let body = completion(&"word ".repeat(600), 400, true);
            client.post_as(entry, "/v1/completions", CLERK, &body).await
        });
        harness
            .wait_for("the stage", async || {
                has_reached(stage, &held(&harness).await)
            })
            .await?;
        match cause {
            EndCause::CallerDisconnects => request.abort(),
            EndCause::EntryKilled => harness.entries.remove(0).process.close(),
        }
        // Without a cancel, the resources would be held for longer than the test waits.
        set_faults(&harness, &json!({ "slowFactor": 500.0 })).await?;
        harness
            .wait_for("released engine resources", async || {
                held(&harness).await.is_empty()
            })
            .await
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("all resources are released");
}

#[actix_rt::test]
async fn a_paused_entry_holds_no_resources_after_it_continues() -> TestResult {
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
            has_reached(EndStage::Stream, &held(&harness).await)
        })
        .await?;
    harness.entries[0].process.signal(ProcessSignal::Stop)?;
    set_faults(&harness, &json!({ "slowFactor": 500.0 })).await?;
    harness
        .wait_for("released engine resources", async || {
            held(&harness).await.is_empty()
        })
        .await?;
    harness.entries[0].process.signal(ProcessSignal::Continue)?;
    set_faults(&harness, &json!({ "slowFactor": 1.0 })).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    harness
        .wait_for("released engine resources", async || {
            held(&harness).await.is_empty()
        })
        .await
}

#[actix_rt::test]
async fn disconnected_callers_do_not_occupy_slots() -> TestResult {
    let harness = support::start(1, &json!({})).await?;
    let entry = harness.entries[0].process.address;
    // More requests than the slots of the only decode engine.
    for number in 0..30 {
        let client = harness.client.clone();
        let request = actix_rt::spawn(async move {
            let body = completion(&format!("label {number}"), 400, true);
            client.post_as(entry, "/v1/completions", CLERK, &body).await
        });
        harness
            .wait_for("the stream", async || {
                has_reached(EndStage::Stream, &held(&harness).await)
            })
            .await?;
        request.abort();
        harness
            .wait_for("released engine resources", async || {
                held(&harness).await.is_empty()
            })
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
