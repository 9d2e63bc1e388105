//! The VM list, whose changes become visible after a lag.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::vm::VmRecord;
use serde::{Deserialize, Serialize};

/// A change of the VM list; a VM is identified by its address.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum VmChange {
    /// Adds a record or replaces the one with the same address.
    Set(VmRecord),
    /// Removes the record with this address.
    Remove(SocketAddr),
}

/// Visible records, and changes with the time at which they become visible.
#[derive(Debug, Default)]
pub(super) struct VmList {
    visible: Vec<VmRecord>,
    pending: Vec<(Instant, VmChange)>,
}

impl VmList {
    /// Schedules a change that becomes visible after `lag`.
    pub fn schedule_change(&mut self, change: VmChange, now: Instant, lag: Duration) {
        self.pending.push((now + lag, change));
    }

    /// Applies the changes that are due and returns the visible list.
    pub fn read(&mut self, now: Instant) -> Vec<VmRecord> {
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(visible_at, _)| *visible_at <= now);
        self.pending = pending;
        for (_, change) in due {
            self.apply(change);
        }
        self.visible.clone()
    }

    fn apply(&mut self, change: VmChange) {
        match change {
            VmChange::Set(record) => {
                self.visible
                    .retain(|listed| listed.address != record.address);
                self.visible.push(record);
            }
            VmChange::Remove(address) => self.visible.retain(|listed| listed.address != address),
        }
    }
}
