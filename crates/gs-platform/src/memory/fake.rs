//! A platform in memory whose calls can be made to fail.

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

/// How a call fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// The answer is lost after the call took effect.
    AnswerLost,
    /// The call is lost before it had any effect.
    CallLost,
    /// The service refuses the call.
    OutOfService,
    /// No connection can be made.
    Unreachable,
}

/// The object service in memory, on one thread. Faults are used up one a call, in order.
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
    /// Makes one later call go well (`None`) or fail.
    pub fn queue_fault(&self, fault: Option<CallFault>) {
        self.state.borrow_mut().faults.push_back(fault);
    }

    /// Makes every call fail for which no fault is queued, or ends this.
    pub fn set_default_fault(&self, fault: Option<CallFault>) {
        self.state.borrow_mut().default_fault = fault;
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.borrow_mut().vms = vms;
    }

    /// A copy of the objects as they are now.
    pub fn snapshot(&self) -> ObjectStore {
        self.state.borrow().store.clone()
    }

    fn call<T>(
        &self,
        key: &str,
        act: impl FnOnce(&mut MemoryState) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let mut state = self.state.borrow_mut();
        let queued = state.faults.pop_front();
        let fault = queued.unwrap_or(state.default_fault);
        let unsettled = PlatformError::Unsettled {
            key: key.to_owned(),
        };
        match fault {
            None => {}
            Some(CallFault::AnswerLost) => {
                let effect = act(&mut state);
                self.changed.notify_waiters();
                return effect.and(Err(unsettled.clone())).or(Err(unsettled));
            }
            Some(CallFault::CallLost) => return Err(unsettled),
            Some(CallFault::OutOfService) => return Err(PlatformError::Refused { status: 503 }),
            Some(CallFault::Unreachable) => {
                return Err(PlatformError::Unreachable {
                    address: "memory".to_owned(),
                });
            }
        }
        let answer = act(&mut state);
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
