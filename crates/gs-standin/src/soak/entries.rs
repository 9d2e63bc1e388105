//! Kills, terminates, restarts and replaces entries.

use std::process::ExitStatus;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use super::deployment::{DATA_CENTRE, entry_settings};
use super::faults::FaultInjector;
use super::journal::SoakInvariant;
use crate::harness::{EntryHandle, HarnessError, ProcessSignal};

/// Time limit of a graceful shutdown, far longer than the longest request.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(150);

/// Interval at which the exit of an entry is polled.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl FaultInjector {
    /// Kills an entry.
    pub(super) fn kill_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        self.context.fleet.borrow_mut().mark_killed(slot);
        self.harness.entries[slot]
            .process
            .signal(ProcessSignal::Kill)
    }

    /// Sends `SIGTERM` to an entry.
    pub(super) fn terminate_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        self.context.fleet.borrow_mut().mark_terminated(slot);
        let process = &self.harness.entries[slot].process;
        process.signal(ProcessSignal::Terminate)
    }

    /// Restarts a killed entry under its name, and at its addresses if they are still free.
    pub(super) async fn restart_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        let (address, peer_address) = {
            let process = &self.harness.entries[slot].process;
            (process.address, process.peer_address)
        };
        let name = self.remove_process(slot);
        let mut settings = entry_settings();
        settings["listen"] = json!(address);
        settings["peerListen"] = json!(peer_address);
        if self.start_entry(slot, &name, &settings).await.is_ok() {
            return Ok(());
        }
        self.context.record_event(&format!(
            "{name} gets new addresses, as its old ones are in use"
        ));
        self.harness.remove_vm(address).await?;
        self.start_entry(slot, &name, &entry_settings()).await
    }

    /// Waits for the exit of a terminated entry and starts another one in its slot.
    pub(super) async fn replace_entry(&mut self, slot: usize) -> Result<(), HarnessError> {
        let status = self.wait_exit(slot).await?;
        let name = self.harness.entries[slot].name.to_string();
        if !status.is_some_and(|status| status.success()) {
            let detail = format!("graceful shutdown of {name}: exit status {status:?}");
            self.context
                .record_violation(SoakInvariant::Shutdown, detail);
        }
        self.context.journal.borrow_mut().count_check("shutdowns");
        let address = self.harness.entries[slot].process.address;
        self.remove_process(slot);
        self.harness.remove_vm(address).await?;
        self.replacements += 1;
        let name = format!("entry-{slot}-{}", self.replacements);
        self.start_entry(slot, &name, &entry_settings()).await
    }

    async fn wait_exit(&mut self, slot: usize) -> Result<Option<ExitStatus>, HarnessError> {
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while Instant::now() < deadline {
            let status = self.harness.entries[slot].process.exit_status()?;
            if status.is_some() {
                return Ok(status);
            }
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        Ok(None)
    }

    /// Kills the process in a slot, keeps its log and returns the entry's name.
    fn remove_process(&mut self, slot: usize) -> String {
        let EntryHandle { name, process } = self.harness.entries.remove(slot);
        self.logs.push((name.to_string(), process.log()));
        process.close();
        name.to_string()
    }

    /// Starts an entry in a slot that [`Self::remove_process`] has emptied.
    async fn start_entry(
        &mut self,
        slot: usize,
        name: &str,
        settings: &Value,
    ) -> Result<(), HarnessError> {
        self.harness.add_entry(name, DATA_CENTRE, settings).await?;
        if let Some(handle) = self.harness.entries.pop() {
            let address = handle.process.address;
            self.harness.entries.insert(slot, handle);
            self.context.fleet.borrow_mut().record_start(slot, address);
        }
        Ok(())
    }
}
