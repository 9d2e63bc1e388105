//! Carries out the ledger's calls of the platform's service.

use std::rc::Rc;

use actix::Addr;
use bytes::Bytes;
use gs_control::ledger::{LedgerEffect, LedgerEvent, StoreOperationId, StoreReply};
use gs_platform::{HttpPlatform, Platform, PlatformError, WriteCondition};
use gs_protocol::ids::ObjectVersion;

use crate::control::{ControlActor, ControlMessage};

/// One call of the platform's service.
enum StoreCall {
    Read(String),
    Remove(String, ObjectVersion),
    Write(String, Bytes, Option<ObjectVersion>),
}

/// Starts a call; its end comes back to the control thread as an event.
pub fn start_call(effect: LedgerEffect, platform: &Rc<HttpPlatform>, control: &Addr<ControlActor>) {
    let Some((operation, call)) = read_call(effect) else {
        return;
    };
    let (platform, control) = (Rc::clone(platform), control.clone());
    actix_rt::spawn(async move {
        let reply = run_call(platform.as_ref(), call).await;
        control.do_send(ControlMessage::Ledger(LedgerEvent::OperationCompleted {
            operation,
            reply,
        }));
    });
}

/// Starts a listing; its end comes back to the control thread as an event.
pub fn start_probe(prefix: String, platform: &Rc<HttpPlatform>, control: &Addr<ControlActor>) {
    let (platform, control) = (Rc::clone(platform), control.clone());
    actix_rt::spawn(async move {
        let listed = platform.list(&prefix).await.ok();
        let event = LedgerEvent::HeadsListed(listed.map(|list| list.objects));
        control.do_send(ControlMessage::Ledger(event));
    });
}

fn read_call(effect: LedgerEffect) -> Option<(StoreOperationId, StoreCall)> {
    match effect {
        LedgerEffect::Read { operation, key } => Some((operation, StoreCall::Read(key))),
        LedgerEffect::Write {
            operation,
            key,
            value,
            expected,
        } => Some((operation, StoreCall::Write(key, value.into(), expected))),
        LedgerEffect::Remove {
            operation,
            key,
            version,
        } => Some((operation, StoreCall::Remove(key, version))),
        _ => None,
    }
}

async fn run_call(platform: &impl Platform, call: StoreCall) -> StoreReply {
    let ended = match call {
        StoreCall::Read(key) => platform.read(&key).await.map(|found| {
            StoreReply::Read(found.map(|found| (found.version, found.value.to_vec())))
        }),
        StoreCall::Remove(key, version) => {
            let removed = platform.remove(&key, version).await;
            removed.map(|()| StoreReply::Removed)
        }
        StoreCall::Write(key, value, expected) => {
            let condition = expected.map_or(WriteCondition::Absent, WriteCondition::Version);
            let written = platform.write(&key, value, condition).await;
            written.map(StoreReply::Written)
        }
    };
    ended.unwrap_or_else(|error| failed_reply(&error))
}

/// What a failed call leaves open.
fn failed_reply(error: &PlatformError) -> StoreReply {
    log::debug!(target: "ledger", "Call of the platform failed: {error}.");
    match error {
        PlatformError::Conflict { .. } => StoreReply::Conflict,
        PlatformError::Refused { .. }
        | PlatformError::TooLarge { .. }
        | PlatformError::Unreachable { .. } => StoreReply::Refused,
        PlatformError::Malformed { .. } | PlatformError::Unsettled { .. } => StoreReply::Unsettled,
    }
}
