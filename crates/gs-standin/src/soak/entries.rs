//! Kills, ends, restarts and replaces entries.

use std::process::ExitStatus;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use super::deployment::{DATA_CENTRE, entry_changes};
use super::faults::FaultDriver;
use super::journal::CheckPoint;
use crate::harness::{EntryHandle, HarnessError, ProcessSignal};

/// How long a graceful shutdown may take: longer than the longest request by far.
const SHUTDOWN_PATIENCE: Duration = Duration::from_secs(150);

/// Between two looks at an entry that is to end.
const SHUTDOWN_LOOK: Duration = Duration::from_millis(50);

impl FaultDriver {
    /// Kills an entry.
    pub(super) fn kill_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        self.shared.board.borrow_mut().kill(slot);
        self.harness.entries[slot]
            .process
            .signal(ProcessSignal::Kill)
    }

    /// Tells an entry to end.
    pub(super) fn terminate_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        self.shared.board.borrow_mut().terminate(slot);
        let process = &self.harness.entries[slot].process;
        process.signal(ProcessSignal::Terminate)
    }

    /// Starts a killed entry again under its name, and at its addresses if they are still free.
    pub(super) async fn restart_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        let (address, peer_address) = {
            let process = &self.harness.entries[slot].process;
            (process.address, process.peer_address)
        };
        let name = self.take_out(slot);
        let mut changes = entry_changes();
        changes["listen"] = json!(address);
        changes["peerListen"] = json!(peer_address);
        if self.start_entry(slot, &name, &changes).await.is_ok() {
            return Ok(());
        }
        self.shared
            .note(&format!("{name} gets other addresses: its own are taken"));
        self.harness.remove_vm(address).await?;
        self.start_entry(slot, &name, &entry_changes()).await
    }

    /// Waits for the end of an entry that was told to end, and starts another in its place.
    pub(super) async fn replace_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        let ended = self.wait_exit(slot).await?;
        let name = self.harness.entries[slot].name.to_string();
        if !ended.is_some_and(|status| status.success()) {
            let detail = format!("{name} ended with {ended:?} after a graceful shutdown");
            self.shared.violate(CheckPoint::Shutdown, detail);
        }
        self.shared.journal.borrow_mut().count_check("shutdowns");
        let address = self.harness.entries[slot].process.address;
        self.take_out(slot);
        self.harness.remove_vm(address).await?;
        self.replaced += 1;
        let name = format!("entry-{slot}-{}", self.replaced);
        self.start_entry(slot, &name, &entry_changes()).await
    }

    async fn wait_exit(&mut self, slot: usize) -> Result<Option<ExitStatus>, HarnessError> {
        let deadline = Instant::now() + SHUTDOWN_PATIENCE;
        while Instant::now() < deadline {
            let status = self.harness.entries[slot].process.exit_status()?;
            if status.is_some() {
                return Ok(status);
            }
            sleep(SHUTDOWN_LOOK).await;
        }
        Ok(None)
    }

    /// Ends the process in a slot and keeps its log.
    fn take_out(&mut self, slot: usize) -> String {
        let EntryHandle { name, process } = self.harness.entries.remove(slot);
        self.logs.push((name.to_string(), process.log()));
        process.close();
        name.to_string()
    }

    /// Starts an entry in a slot that was taken out.
    async fn start_entry(
        &mut self,
        slot: usize,
        name: &str,
        changes: &Value,
    ) -> Result<(), HarnessError> {
        self.harness.add_entry(name, DATA_CENTRE, changes).await?;
        if let Some(handle) = self.harness.entries.pop() {
            let address = handle.process.address;
            self.harness.entries.insert(slot, handle);
            self.shared.board.borrow_mut().enter(slot, address);
        }
        Ok(())
    }
}
