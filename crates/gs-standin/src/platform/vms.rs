//! The lagging list of VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::vm::VmRecord;
use serde::{Deserialize, Serialize};

/// A change of the VM list, by the VM's address.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum VmChange {
    /// Adds a record or replaces the one with the same address.
    Set(VmRecord),
    /// Removes the record with this address.
    Remove(SocketAddr),
}

/// Records by the time at which they show.
#[derive(Debug, Default)]
pub(super) struct VmList {
    shown: Vec<VmRecord>,
    coming: Vec<(Instant, VmChange)>,
}

impl VmList {
    /// Makes a change that shows after a lag.
    pub fn change(&mut self, change: VmChange, now: Instant, lag: Duration) {
        self.coming.push((now + lag, change));
    }

    /// The list as it shows now.
    pub fn read(&mut self, now: Instant) -> Vec<VmRecord> {
        let (due, coming) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition(|(shows_at, _)| *shows_at <= now);
        self.coming = coming;
        for (_, change) in due {
            self.apply(change);
        }
        self.shown.clone()
    }

    fn apply(&mut self, change: VmChange) {
        match change {
            VmChange::Set(record) => {
                self.shown.retain(|shown| shown.address != record.address);
                self.shown.push(record);
            }
            VmChange::Remove(address) => self.shown.retain(|shown| shown.address != address),
        }
    }
}
