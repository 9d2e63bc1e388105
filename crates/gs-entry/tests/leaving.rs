//! A leaving entry completes its requests, and a leaving server receives no new work.

mod support;

use bytes::Bytes;
use gs_protocol::caller::EntryList;
use gs_protocol::ids::ServerKindName;
use gs_protocol::vm::{VmState, VmWorkload};
use gs_standin::harness::{DeploymentHarness, HarnessError, ProcessSignal};
use serde_json::{Value, json};
use support::{CLERK, completion, server};
use test_case::test_case;

type TestResult = Result<(), HarnessError>;

/// How the entry is informed that a server is leaving.
#[derive(Clone, Copy, Debug)]
enum LeaveSignal {
    EngineReport,
    OperatorDrain,
    VmList,
}

async fn list_entries(harness: &DeploymentHarness, entry: usize) -> Vec<String> {
    let bearer = format!("Bearer {CLERK}");
    let headers = [("authorization", bearer.as_str())];
    let address = harness.entries[entry].process.address;
    let call = harness
        .client
        .call(address, "GET", "/v1/entries", &headers, Bytes::new());
    let list = call.await.and_then(|answer| answer.json::<EntryList>());
    let entries = list.map(|list| list.entries).unwrap_or_default();
    entries.iter().map(|entry| entry.name.to_string()).collect()
}

/// Number of streams that an engine has started so far.
async fn count_started_streams(harness: &DeploymentHarness, name: &str) -> u64 {
    let report: Value = harness
        .client
        .get(server(harness, name), "/control/runs")
        .await
        .expect("runs");
    let runs = report["runs"].as_array().cloned().unwrap_or_default();
    runs.iter()
        .filter_map(|run| run["streamsStarted"].as_u64())
        .sum()
}

#[actix_rt::test]
async fn a_terminated_entry_completes_its_streams_and_leaves_the_list() -> TestResult {
    let mut harness = support::start(2, &json!({ "limits": { "entryListTtlS": 1 } })).await?;
    harness
        .wait_for("a list of two", async || {
            list_entries(&harness, 1).await.len() == 2
        })
        .await?;
    support::set_faults(&harness, "notes-decode-0", &json!({ "slowFactor": 10.0 })).await?;
    let leaving = harness.entries[0].process.address;
    let client = harness.client.clone();
    let request = actix_rt::spawn(async move {
        client
            .post_as(
                leaving,
                "/v1/completions",
                CLERK,
                &completion("label", 300, true),
            )
            .await
    });
    harness
        .wait_for("a stream", async || {
            count_started_streams(&harness, "notes-decode-0").await > 0
        })
        .await?;
    harness.entries[0]
        .process
        .signal(ProcessSignal::Terminate)?;
    harness
        .wait_for("a list of one", async || {
            list_entries(&harness, 1).await == ["entry-1"]
        })
        .await?;
    // Callers that hold the old list are served until it expires.
    let late = completion("late", 5, true);
    let late = harness
        .client
        .post_as(leaving, "/v1/completions", CLERK, &late)
        .await?;
    assert!(late.parse_stream().complete);
    let answer = request.await.expect("the caller task ends")?.parse_stream();
    assert!(answer.complete);
    assert_eq!(answer.tokens.len(), 300);
    assert!(harness.entries[0].process.wait()?.success());
    Ok(())
}

#[test_case(LeaveSignal::EngineReport; "by the engine's load report")]
#[test_case(LeaveSignal::OperatorDrain; "by an operator's drain")]
#[test_case(LeaveSignal::VmList; "by the list of VMs")]
fn a_leaving_server_receives_no_new_work(signal: LeaveSignal) {
    let check = async {
        let harness = support::start_with(2, 1, &json!({})).await?;
        let name = "notes-decode-0";
        match signal {
            LeaveSignal::EngineReport => {
                support::set_faults(&harness, name, &json!({ "leaving": true })).await?;
            }
            LeaveSignal::OperatorDrain => harness.drain_server(name).await?,
            LeaveSignal::VmList => {
                let kind = ServerKindName::from("notes");
                let workload = VmWorkload::Server {
                    name: name.into(),
                    kind,
                };
                harness
                    .publish_vm(workload, server(&harness, name), "north", VmState::Leaving)
                    .await?;
            }
        }
        // Documented maximum time until the signal takes effect.
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
        let before = count_started_streams(&harness, name).await;
        let entry = harness.entries[0].process.address;
        for number in 0..20 {
            let body = completion(&format!("ticket {number}"), 3, true);
            let answer = harness
                .client
                .post_as(entry, "/v1/completions", CLERK, &body)
                .await?;
            assert!(answer.parse_stream().complete);
        }
        assert_eq!(count_started_streams(&harness, name).await, before);
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the other server answers");
}
