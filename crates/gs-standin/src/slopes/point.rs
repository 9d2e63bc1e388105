//! Measures one point: a test deployment of a given size under a given load.

use std::time::Duration;

use bytes::Bytes;
use gs_protocol::caller::EntryList;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::load::{sample_open_streams, send_load};
use super::report::SweepKind;
use super::sample::DeploymentSample;
use super::{SlopesError, SlopesOptions};
use crate::harness::{DeploymentHarness, ProgramDirectory, ServerSpec};

/// The bearer token of the only caller.
pub(super) const TOKEN: &str = "slopes-caller";

/// Rate limit of the platform stand-in, in calls per second: high enough that no call is refused.
const PLATFORM_RATE_LIMIT: &str = "1000000";

/// Arguments of engines that are never the bottleneck.
const ENGINE_ARGUMENTS: &[&str] = &[
    "--prefill-rate",
    "0",
    "--link-rate",
    "0",
    "--step-base-us",
    "2000",
    "--step-stream-us",
    "0",
];

/// Arguments of engines that hold many slow streams.
const SLOW_ENGINE_ARGUMENTS: &[&str] = &[
    "--prefill-rate",
    "0",
    "--link-rate",
    "0",
    "--step-base-us",
    "30000",
    "--step-stream-us",
    "0",
    "--max-streams",
    "2000",
    "--pieces",
    "100000",
];

/// The size and load of a point.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PointShape {
    /// The number of entries.
    pub entries: usize,
    /// The number of engines, alternately prefill and decode engines.
    pub engines: usize,
    /// Requests per second, or the number of open streams in the sweep over streams; 0 for an idle
    /// deployment.
    pub rate: u32,
    /// Output tokens per request.
    pub tokens: u32,
}

/// The mean cost of an entry, and the calls of the platform's service, at a point.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PointCosts {
    /// Processor time of the control thread, in cores.
    pub control_cores: f64,
    /// Processor time of all other threads, in cores.
    pub other_cores: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Bytes of frames from and to other entries, per second.
    pub peer_bytes_per_s: f64,
    /// Frames to other entries, per second.
    pub peer_frames_per_s: f64,
    /// Bytes of answer bodies of engine polls, per second.
    pub poll_bytes_per_s: f64,
    /// Engine polls per second.
    pub polls_per_s: f64,
    /// Reads of the platform's service by all entries, per second.
    pub platform_reads_per_s: f64,
    /// Writes to the platform's service by all entries, per second.
    pub platform_writes_per_s: f64,
    /// Watches that all entries start at the platform's service, per second.
    pub platform_watches_per_s: f64,
    /// Size of the VM list, in bytes.
    pub vm_list_bytes: f64,
    /// Complete answers per second.
    pub answers_per_s: f64,
}

/// A measured point.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SlopePoint {
    /// The sweep that the point belongs to.
    pub sweep: SweepKind,
    /// The size and load.
    pub shape: PointShape,
    /// The measured costs.
    pub costs: PointCosts,
}

/// Starts a deployment, measures it and ends it.
pub async fn measure(
    options: &SlopesOptions,
    sweep: SweepKind,
    shape: PointShape,
) -> Result<SlopePoint, SlopesError> {
    let harness = start(sweep, shape).await?;
    wait_complete(&harness, shape.entries).await?;
    tokio::time::sleep(Duration::from_secs(options.settle_seconds)).await;
    let before = DeploymentSample::collect(&harness).await?;
    let (after, answers) = if shape.rate == 0 {
        tokio::time::sleep(Duration::from_secs(options.seconds)).await;
        (DeploymentSample::collect(&harness).await?, 0)
    } else if sweep == SweepKind::Streams {
        sample_open_streams(&harness, shape).await?
    } else {
        let answers = send_load(&harness, options.seconds, shape).await?;
        (DeploymentSample::collect(&harness).await?, answers)
    };
    let vms = harness
        .client
        .get::<Value>(harness.platform.address, "/vms")
        .await?;
    let vm_list_bytes = vms.to_string().len() as f64;
    let costs = compare(&before, &after, answers, vm_list_bytes);
    Ok(SlopePoint {
        sweep,
        shape,
        costs,
    })
}

async fn start(sweep: SweepKind, shape: PointShape) -> Result<DeploymentHarness, SlopesError> {
    let program = std::env::current_exe().unwrap_or_default();
    let programs = ProgramDirectory::containing(program);
    let limits = [
        "--reads-per-s",
        PLATFORM_RATE_LIMIT,
        "--writes-per-s",
        PLATFORM_RATE_LIMIT,
    ];
    let mut harness = DeploymentHarness::start(programs, &limits)?;
    let arguments = match sweep {
        SweepKind::Streams => SLOW_ENGINE_ARGUMENTS,
        _ => ENGINE_ARGUMENTS,
    };
    for number in 0..shape.engines {
        let role = ["prefill", "decode"][number % 2];
        let engine = ServerSpec::Engine {
            role,
            model: "base",
            arguments,
        };
        harness
            .add_server(&format!("engine-{number}"), "north", &engine)
            .await?;
    }
    harness.promote_document(&document()).await?;
    let intervals = json!({ "intervals": { "vmPollMs": 1000, "headPollMs": 2000 } });
    for number in 0..shape.entries {
        harness
            .add_entry(&format!("entry-{number}"), "north", &intervals)
            .await?;
    }
    harness.wait_ready().await?;
    Ok(harness)
}

fn document() -> Value {
    let digest = format!("sha256:{:x}", Sha256::digest(TOKEN));
    json!({
        "callers": {
            "slopes": {
                "tokenDigests": [digest],
                "rank": "urgent",
                "firstTokenMs": 10_000,
                "betweenTokensMs": 1_000,
                "guaranteedShare": 0.5,
                "models": ["base"],
                "services": [],
            },
        },
        "models": {
            "base": { "serverKind": "base", "maxPromptTokens": 4_000, "maxOutputTokens": 400 },
        },
        "services": {},
        "serverKinds": { "base": { "protocol": "engine", "checksFence": true } },
    })
}

/// Waits until the entry list of every entry contains all entries.
async fn wait_complete(harness: &DeploymentHarness, entries: usize) -> Result<(), SlopesError> {
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    for entry in &harness.entries {
        let address = entry.process.address;
        harness
            .wait_for("a complete list of entries", async || {
                let call =
                    harness
                        .client
                        .call(address, "GET", "/v1/entries", &headers, Bytes::new());
                let list = call.await.and_then(|answer| answer.json::<EntryList>());
                list.is_ok_and(|list| list.entries.len() == entries)
            })
            .await?;
    }
    Ok(())
}

fn compare(
    before: &DeploymentSample,
    after: &DeploymentSample,
    answers: u64,
    vm_list_bytes: f64,
) -> PointCosts {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let (old, new) = (&before.entry, &after.entry);
    let rate = |old: f64, new: f64| (new - old) / seconds;
    let count = |old: u64, new: u64| (new - old) as f64 / seconds;
    let control_cores = rate(old.control_s, new.control_s);
    let (old_calls, new_calls) = (&before.platform, &after.platform);
    PointCosts {
        control_cores,
        other_cores: rate(old.process_s, new.process_s) - control_cores,
        resident_bytes: new.resident_bytes,
        peer_bytes_per_s: rate(old.peer_bytes, new.peer_bytes),
        peer_frames_per_s: rate(old.peer_frames, new.peer_frames),
        poll_bytes_per_s: rate(old.poll_bytes, new.poll_bytes),
        polls_per_s: rate(old.polls, new.polls),
        platform_reads_per_s: count(old_calls.reads, new_calls.reads),
        platform_writes_per_s: count(old_calls.writes, new_calls.writes),
        platform_watches_per_s: count(old_calls.watches, new_calls.watches),
        vm_list_bytes,
        answers_per_s: count(0, answers),
    }
}
