//! The deployment that a soak runs.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::context::SoakContext;
use super::fleet::EngineSlot;
use crate::harness::{DeploymentHarness, HarnessError, ProgramDirectory, ServerSpec};

/// The number of entries.
pub const ENTRY_SLOTS: usize = 3;

/// The number of engines; prefill engines have the first slots.
pub const ENGINE_SLOTS: usize = 5;

/// The number of prefill engines.
const PREFILL_SLOTS: usize = 2;

/// The number of services.
pub const SERVICE_SLOTS: usize = 2;

/// The data centre of all processes.
pub const DATA_CENTRE: &str = "north";

/// The server kind of the engines.
pub const ENGINE_KIND: &str = "notes";

/// The server kind of the services.
const SERVICE_KIND: &str = "desk";

/// The bearer tokens of the callers; the first belongs to the urgent one.
pub const CALLER_TOKENS: [&str; 2] = ["soak-clerk", "soak-batch"];

/// The time limit of entries for a completion, in milliseconds.
pub const COMPLETION_MS: u64 = 30_000;

/// The deadline of both service routes, in milliseconds.
const CHARGE_DEADLINE_MS: u64 = 5_000;

/// Arguments of an engine whose streams last a few hundred milliseconds.
const ENGINE_ARGUMENTS: &[&str] = &[
    "--prefill-rate",
    "40000",
    "--step-base-us",
    "3000",
    "--step-stream-us",
    "100",
];

/// Builds a document; each `number` gives a different one.
pub fn document(number: u64) -> Value {
    let caller = |token: &str, rank: &str| {
        json!({
            "tokenDigests": [format!("sha256:{:x}", Sha256::digest(token))],
            "rank": rank,
            "firstTokenMs": 20_000,
            "betweenTokensMs": 10_000,
            "guaranteedShare": 0.2,
            "models": [ENGINE_KIND],
            "services": [SERVICE_KIND],
        })
    };
    json!({
        "callers": {
            "batch": caller(CALLER_TOKENS[1], "normal"),
            "clerk": caller(CALLER_TOKENS[0], "urgent"),
        },
        "models": {
            ENGINE_KIND: { "serverKind": ENGINE_KIND, "maxPromptTokens": 4000, "maxOutputTokens": 400 },
        },
        "services": {
            SERVICE_KIND: {
                "serverKind": SERVICE_KIND,
                "routes": [
                    { "method": "GET", "path": "/tickets/*", "idempotent": true, "deadlineMs": CHARGE_DEADLINE_MS },
                    { "method": "POST", "path": "/charges", "idempotent": false, "deadlineMs": CHARGE_DEADLINE_MS },
                ],
            },
        },
        "serverKinds": {
            SERVICE_KIND: { "protocol": "service" },
            ENGINE_KIND: { "protocol": "engine", "checksFence": true },
        },
        "keyRetentionS": 86_400 + number,
    })
}

/// The settings of an entry that differ from the defaults of the test harness.
pub fn entry_settings() -> Value {
    json!({
        "limits": { "entryListTtlS": 1 },
        "timeouts": { "completionMs": COMPLETION_MS, "engineSilentMs": 1_000 },
        "claims": { "shards": 4, "leaseMs": 1_000 },
    })
}

/// Starts all processes and waits until all entries are ready.
pub async fn start(
    programs: ProgramDirectory,
    context: &SoakContext,
) -> Result<DeploymentHarness, HarnessError> {
    let mut harness = DeploymentHarness::start(programs, &[])?;
    for slot in 0..ENGINE_SLOTS {
        add_engine(&mut harness, context, slot, 0).await?;
    }
    for slot in 0..SERVICE_SLOTS {
        let spec = ServerSpec::Service { kind: SERVICE_KIND };
        harness
            .add_server(&format!("desk-{slot}"), DATA_CENTRE, &spec)
            .await?;
    }
    harness.promote_document(&document(0)).await?;
    for slot in 0..ENTRY_SLOTS {
        let name = format!("entry-{slot}");
        harness
            .add_entry(&name, DATA_CENTRE, &entry_settings())
            .await?;
        let address = harness.entries[slot].process.address;
        context.fleet.borrow_mut().record_start(slot, address);
    }
    harness.wait_ready().await?;
    Ok(harness)
}

/// Starts an engine for a slot. Slots must be filled in ascending order at first. `number` keeps
/// the names of replacements distinct.
pub async fn add_engine(
    harness: &mut DeploymentHarness,
    context: &SoakContext,
    slot: usize,
    number: u32,
) -> Result<(), HarnessError> {
    let role = if slot < PREFILL_SLOTS {
        "prefill"
    } else {
        "decode"
    };
    let name = format!("notes-{role}-{slot}-{number}");
    let spec = ServerSpec::Engine {
        role,
        model: ENGINE_KIND,
        arguments: ENGINE_ARGUMENTS,
    };
    harness.add_server(&name, DATA_CENTRE, &spec).await?;
    if let Some(handle) = harness.servers.pop() {
        let engine = EngineSlot {
            address: handle.process.address,
            responsive: true,
        };
        harness.servers.insert(slot, handle);
        let engines = &mut context.fleet.borrow_mut().engines;
        match engines.get_mut(slot) {
            Some(current) => *current = engine,
            None => engines.push(engine),
        }
    }
    Ok(())
}
