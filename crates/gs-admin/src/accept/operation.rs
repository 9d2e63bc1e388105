//! Runs operations against the object store of the platform's service.

use std::time::{Duration, Instant};

use bytes::Bytes;
use gs_control::documents::{
    PromotionEnd, PromotionPlan, PromotionState, PromotionStep, StoreCall, StoreCondition,
    StoreFault, StoreReply,
};
use gs_platform::{Platform, PlatformError, WriteCondition};

use crate::telemetry;

/// Runs an operation until it ends, or abandons it after `limit`.
pub async fn run_operation(
    platform: &impl Platform,
    plan: PromotionPlan,
    limit: Duration,
) -> PromotionEnd {
    let started = Instant::now();
    let deadline = tokio::time::Instant::now() + limit;
    let (mut state, mut step) = PromotionState::start(plan);
    let mut calls = 0;
    loop {
        let (call, after) = match step {
            PromotionStep::Call { call, after } => (call, after),
            PromotionStep::End(end) => {
                telemetry::record_operation(calls, started.elapsed());
                return end;
            }
        };
        calls += 1;
        let delayed_call = async {
            if after > Duration::ZERO {
                tokio::time::sleep(after).await;
            }
            make_call(platform, call).await
        };
        match tokio::time::timeout_at(deadline, delayed_call).await {
            Ok(reply) => step = state.handle(reply),
            Err(_) => return state.abandon(),
        }
    }
}

/// Makes a call to the object store and maps its result for the state machine.
async fn make_call(platform: &impl Platform, call: StoreCall) -> StoreReply {
    match call {
        StoreCall::Read { key } => match platform.read(&key).await {
            Ok(object) => {
                StoreReply::Read(object.map(|object| (object.version, object.value[..].into())))
            }
            Err(error) => StoreReply::Failed(map_fault(&error)),
        },
        StoreCall::Write {
            key,
            value,
            condition,
        } => {
            let condition = match condition {
                StoreCondition::Absent => WriteCondition::Absent,
                StoreCondition::Version(version) => WriteCondition::Version(version),
            };
            let value = Bytes::copy_from_slice(&value);
            match platform.write(&key, value, condition).await {
                Ok(_) => StoreReply::Written,
                Err(PlatformError::Conflict { .. }) => StoreReply::Conflict,
                Err(error) => StoreReply::Failed(map_fault(&error)),
            }
        }
    }
}

fn map_fault(error: &PlatformError) -> StoreFault {
    match error {
        PlatformError::Refused { .. } => StoreFault::Refused,
        PlatformError::Unreachable { .. } => StoreFault::Unreachable,
        PlatformError::Unsettled { .. } => StoreFault::Unsettled,
        PlatformError::Conflict { .. }
        | PlatformError::Malformed { .. }
        | PlatformError::TooLarge { .. } => StoreFault::Malformed,
    }
}
