//! Runs the ledger slice's store operations on the platform's service.

use std::rc::Rc;

use actix::Addr;
use bytes::Bytes;
use gs_control::ledger::{LedgerEffect, LedgerEvent, StoreOperationId, StoreReply};
use gs_platform::{HttpPlatform, Platform, PlatformError, WriteCondition};
use gs_protocol::ids::ObjectVersion;

use crate::control::{ControlActor, ControlMessage};

/// An operation of the object store in the platform's service.
enum StoreOperation {
    Read(String),
    Remove(String, ObjectVersion),
    Write(String, Bytes, Option<ObjectVersion>),
}

/// Starts an operation. Its result is sent to the control thread as an event.
pub fn start_operation(
    effect: LedgerEffect,
    platform: &Rc<HttpPlatform>,
    control: &Addr<ControlActor>,
) {
    let Some((id, operation)) = store_operation(effect) else {
        return;
    };
    let (platform, control) = (Rc::clone(platform), control.clone());
    actix_rt::spawn(async move {
        let reply = run_operation(platform.as_ref(), operation).await;
        control.do_send(ControlMessage::Ledger(LedgerEvent::OperationCompleted {
            operation: id,
            reply,
        }));
    });
}

/// Starts to list the heads below a prefix. The result is sent to the control thread as an event.
pub fn list_heads(prefix: String, platform: &Rc<HttpPlatform>, control: &Addr<ControlActor>) {
    let (platform, control) = (Rc::clone(platform), control.clone());
    actix_rt::spawn(async move {
        let listed = platform.list(&prefix).await.ok();
        let event = LedgerEvent::HeadsListed(listed.map(|list| list.objects));
        control.do_send(ControlMessage::Ledger(event));
    });
}

fn store_operation(effect: LedgerEffect) -> Option<(StoreOperationId, StoreOperation)> {
    match effect {
        LedgerEffect::Read { operation, key } => Some((operation, StoreOperation::Read(key))),
        LedgerEffect::Write {
            operation,
            key,
            value,
            expected,
        } => Some((
            operation,
            StoreOperation::Write(key, value.into(), expected),
        )),
        LedgerEffect::Remove {
            operation,
            key,
            version,
        } => Some((operation, StoreOperation::Remove(key, version))),
        _ => None,
    }
}

async fn run_operation(platform: &impl Platform, operation: StoreOperation) -> StoreReply {
    let result = match operation {
        StoreOperation::Read(key) => platform.read(&key).await.map(|found| {
            StoreReply::Read(found.map(|found| (found.version, found.value.to_vec())))
        }),
        StoreOperation::Remove(key, version) => {
            let removed = platform.remove(&key, version).await;
            removed.map(|()| StoreReply::Removed)
        }
        StoreOperation::Write(key, value, expected) => {
            let condition = expected.map_or(WriteCondition::Absent, WriteCondition::Version);
            let written = platform.write(&key, value, condition).await;
            written.map(StoreReply::Written)
        }
    };
    result.unwrap_or_else(|error| failed_reply(&error))
}

/// Converts an error to the reply that states whether the operation may have taken effect.
fn failed_reply(error: &PlatformError) -> StoreReply {
    log::debug!(target: "ledger", "Store operation failed: {error}.");
    match error {
        PlatformError::Conflict { .. } => StoreReply::Conflict,
        PlatformError::Refused { .. }
        | PlatformError::TooLarge { .. }
        | PlatformError::Unreachable { .. } => StoreReply::Refused,
        PlatformError::Malformed { .. } | PlatformError::Unsettled { .. } => StoreReply::Unsettled,
    }
}
