//! An in-memory platform with fault injection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use gs_protocol::ids::ObjectVersion;
use gs_protocol::platform::{ObjectList, WatchAnswer};
use gs_protocol::vm::VmRecord;
use tokio::sync::Notify;

use super::ObjectStore;
use crate::{ObjectValue, Platform, PlatformError, WriteCondition};

/// An injected fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost before it takes effect.
    CallLost,
    /// The platform refuses the call with status 503.
    OutOfService,
    /// The connection cannot be established.
    Unreachable,
}

/// An in-memory [`Platform`] for one thread. Each call consumes one queued fault, in order.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    state: RefCell<MemoryState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct MemoryState {
    store: ObjectStore,
    faults: VecDeque<Option<CallFault>>,
    default_fault: Option<CallFault>,
    vms: Vec<VmRecord>,
}

impl MemoryPlatform {
    /// Queues the result of one call: success (`None`) or a fault.
    pub fn queue_fault(&self, fault: Option<CallFault>) {
        self.state.borrow_mut().faults.push_back(fault);
    }

    /// Sets the fault of calls for which none is queued; `None` lets them succeed.
    pub fn set_default_fault(&self, fault: Option<CallFault>) {
        self.state.borrow_mut().default_fault = fault;
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.borrow_mut().vms = vms;
    }

    /// Returns a copy of the object store.
    pub fn snapshot(&self) -> ObjectStore {
        self.state.borrow().store.clone()
    }

    fn call<T>(
        &self,
        key: &str,
        operation: impl FnOnce(&mut MemoryState) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let mut state = self.state.borrow_mut();
        let queued_fault = state.faults.pop_front();
        let fault = queued_fault.unwrap_or(state.default_fault);
        let unsettled = PlatformError::Unsettled {
            key: key.to_owned(),
        };
        match fault {
            None => {}
            Some(CallFault::AnswerLost) => {
                let result = operation(&mut state);
                self.changed.notify_waiters();
                return result.and(Err(unsettled.clone())).or(Err(unsettled));
            }
            Some(CallFault::CallLost) => return Err(unsettled),
            Some(CallFault::OutOfService) => return Err(PlatformError::Refused { status: 503 }),
            Some(CallFault::Unreachable) => {
                return Err(PlatformError::Unreachable {
                    address: "memory".to_owned(),
                });
            }
        }
        let answer = operation(&mut state);
        self.changed.notify_waiters();
        answer
    }
}

impl Platform for MemoryPlatform {
    async fn read(&self, key: &str) -> Result<Option<ObjectValue>, PlatformError> {
        self.call(key, |state| Ok(state.store.read(key)))
    }

    async fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError> {
        self.call(key, |state| state.store.write(key, value, condition))
    }

    async fn remove(&self, key: &str, version: ObjectVersion) -> Result<(), PlatformError> {
        self.call(key, |state| state.store.remove(key, version))
    }

    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        self.call(prefix, |state| Ok(state.store.list(prefix)))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<WatchAnswer, PlatformError> {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let changed = self.changed.notified();
            let answer = self.call(prefix, |state| Ok(state.store.changes_after(prefix, after)))?;
            if !answer.changes.is_empty() {
                return Ok(answer);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Ok(answer);
            }
        }
    }

    async fn list_vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.call("vms", |state| Ok(state.vms.clone()))
    }
}
