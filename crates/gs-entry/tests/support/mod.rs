//! Starts deployments for the process tests of the entry.

#![allow(dead_code)]

use std::net::SocketAddr;

use gs_protocol::engine::HeldResource;
use gs_standin::harness::{DeploymentHarness, HarnessError, ProgramDirectory, ServerSpec};
use serde_json::{Value, json};

/// Token of the urgent caller.
pub const CLERK: &str = "test-clerk";

/// Token of the normal caller.
pub const BATCH: &str = "test-batch";

/// Returns a document with an urgent and a normal caller, one model and one service.
pub fn document() -> Value {
    let caller = |token: &str, rank: &str, first_token_ms: u64| {
        json!({
            "tokenDigests": [gs_document::digest_token(token)],
            "rank": rank,
            "firstTokenMs": first_token_ms,
            "betweenTokensMs": 1000,
            "guaranteedShare": 0.2,
            "models": ["notes"],
            "services": ["desk"],
        })
    };
    json!({
        "callers": {
            "batch": caller(BATCH, "normal", 10_000),
            "clerk": caller(CLERK, "urgent", 5_000),
        },
        "models": {
            "notes": { "serverKind": "notes", "maxPromptTokens": 4000, "maxOutputTokens": 400 },
        },
        "services": {
            "desk": {
                "serverKind": "desk",
                "routes": [
                    { "method": "GET", "path": "/tickets/*", "idempotent": true },
                    { "method": "POST", "path": "/charges", "idempotent": false },
                ],
            },
        },
        "serverKinds": {
            "desk": { "protocol": "service" },
            "notes": { "protocol": "engine", "checksFence": true },
        },
    })
}

/// Arguments of engines that are fast enough for a short test.
pub const FAST_ENGINE: &[&str] = &[
    "--prefill-rate",
    "100000",
    "--step-base-us",
    "1000",
    "--step-stream-us",
    "50",
];

/// Starts one prefill and one decode engine, a service, and entries.
pub async fn start(entries: usize, changes: &Value) -> Result<DeploymentHarness, HarnessError> {
    start_with(1, entries, changes).await
}

/// Starts a prefill engine, decode engines, a service, and entries. `harness.servers` has this order.
pub async fn start_with(
    decoders: usize,
    entries: usize,
    changes: &Value,
) -> Result<DeploymentHarness, HarnessError> {
    start_document(&document(), decoders, entries, changes).await
}

/// Starts the same deployment with another document.
pub async fn start_document(
    document: &Value,
    decoders: usize,
    entries: usize,
    changes: &Value,
) -> Result<DeploymentHarness, HarnessError> {
    let programs = ProgramDirectory::containing(env!("CARGO_BIN_EXE_gs-entry"));
    let mut harness = DeploymentHarness::start(programs, &[])?;
    let engine = |role| ServerSpec::Engine {
        role,
        model: "notes",
        arguments: FAST_ENGINE,
    };
    harness
        .add_server("notes-prefill", "north", &engine("prefill"))
        .await?;
    for number in 0..decoders {
        harness
            .add_server(
                &format!("notes-decode-{number}"),
                "north",
                &engine("decode"),
            )
            .await?;
    }
    harness
        .add_server("desk-1", "north", &ServerSpec::Service { kind: "desk" })
        .await?;
    harness.promote_document(document).await?;
    for number in 0..entries {
        harness
            .add_entry(&format!("entry-{number}"), "north", changes)
            .await?;
    }
    harness.wait_ready().await?;
    Ok(harness)
}

/// The address of a server.
pub fn server(harness: &DeploymentHarness, name: &str) -> SocketAddr {
    let found = harness
        .servers
        .iter()
        .find(|server| server.name.as_str() == name);
    found.expect("the harness has the server").process.address
}

/// Sets faults of a server.
pub async fn set_faults(
    harness: &DeploymentHarness,
    name: &str,
    faults: &Value,
) -> Result<(), HarnessError> {
    harness
        .client
        .post(server(harness, name), "/control/faults", faults)
        .await?;
    Ok(())
}

/// Held resources of all engines.
pub async fn held(harness: &DeploymentHarness) -> Vec<HeldResource> {
    let mut records = Vec::new();
    for server in harness
        .servers
        .iter()
        .filter(|server| server.name.as_str().starts_with("notes"))
    {
        let held = harness
            .client
            .get::<Vec<HeldResource>>(server.process.address, "/v1/held")
            .await;
        records.extend(held.unwrap_or_default());
    }
    records
}

/// Body of a completion request for the model `notes`.
pub fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({ "model": "notes", "prompt": prompt, "max_tokens": max_tokens, "stream": stream })
}
