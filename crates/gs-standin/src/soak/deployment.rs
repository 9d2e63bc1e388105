//! The deployment that a soak runs.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::board::EnginePlace;
use super::shared::SoakShared;
use crate::harness::{DeploymentHarness, HarnessError, ProgramDirectory, ServerSpec};

/// Entries.
pub const ENTRY_SLOTS: usize = 3;

/// Engines: the prefill engines come first.
pub const ENGINE_SLOTS: usize = 5;

/// Engines that prefill.
const PREFILL_SLOTS: usize = 2;

/// Services.
pub const SERVICE_SLOTS: usize = 2;

/// The data centre of all processes.
pub const DATA_CENTRE: &str = "north";

/// The server kind of the engines.
pub const ENGINE_KIND: &str = "notes";

/// The server kind of the services.
const SERVICE_KIND: &str = "desk";

/// The tokens of the callers, the urgent one first.
pub const CALLER_TOKENS: [&str; 2] = ["soak-clerk", "soak-batch"];

/// How long an entry works on a completion, in milliseconds.
pub const COMPLETION_MS: u64 = 30_000;

/// The deadline of the non-idempotent route, in milliseconds.
const CHARGE_DEADLINE_MS: u64 = 5_000;

/// Engines whose streams last a few hundred milliseconds.
const ENGINE_ARGUMENTS: &[&str] = &[
    "--prefill-rate",
    "40000",
    "--step-base-us",
    "3000",
    "--step-stream-us",
    "100",
];

/// The document number `number`, which differs from the others.
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

/// What the settings of an entry differ in from the rig's.
pub fn entry_changes() -> Value {
    json!({
        "limits": { "entryListTtlS": 1 },
        "timeouts": { "completionMs": COMPLETION_MS, "engineSilentMs": 1_000 },
        "claims": { "shards": 4, "leaseMs": 1_000 },
    })
}

/// Starts everything and waits until all entries are ready.
pub async fn start(
    programs: ProgramDirectory,
    shared: &SoakShared,
) -> Result<DeploymentHarness, HarnessError> {
    let mut harness = DeploymentHarness::start(programs, &[])?;
    for slot in 0..ENGINE_SLOTS {
        add_engine(&mut harness, shared, slot, 0).await?;
    }
    for slot in 0..SERVICE_SLOTS {
        let shape = ServerSpec::Service { kind: SERVICE_KIND };
        harness
            .add_server(&format!("desk-{slot}"), DATA_CENTRE, &shape)
            .await?;
    }
    harness.promote_document(&document(0)).await?;
    for slot in 0..ENTRY_SLOTS {
        let name = format!("entry-{slot}");
        harness
            .add_entry(&name, DATA_CENTRE, &entry_changes())
            .await?;
        let address = harness.entries[slot].process.address;
        shared.board.borrow_mut().enter(slot, address);
    }
    harness.wait_ready().await?;
    Ok(harness)
}

/// Starts an engine for a slot, in the order of slots.
pub async fn add_engine(
    harness: &mut DeploymentHarness,
    shared: &SoakShared,
    slot: usize,
    number: u32,
) -> Result<(), HarnessError> {
    let role = if slot < PREFILL_SLOTS {
        "prefill"
    } else {
        "decode"
    };
    let name = format!("notes-{role}-{slot}-{number}");
    let shape = ServerSpec::Engine {
        role,
        model: ENGINE_KIND,
        arguments: ENGINE_ARGUMENTS,
    };
    harness.add_server(&name, DATA_CENTRE, &shape).await?;
    if let Some(handle) = harness.servers.pop() {
        let place = EnginePlace {
            address: handle.process.address,
            answers: true,
        };
        harness.servers.insert(slot, handle);
        let engines = &mut shared.board.borrow_mut().engines;
        match engines.get_mut(slot) {
            Some(found) => *found = place,
            None => engines.push(place),
        }
    }
    Ok(())
}
