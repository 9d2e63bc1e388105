//! Injects faults into the deployment and heals them.

use std::rc::Rc;
use std::time::Duration;

use gs_protocol::ids::ServerKindName;
use gs_protocol::vm::{VmState, VmWorkload};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::context::SoakContext;
use super::deployment::{self, DATA_CENTRE, ENGINE_KIND, ENGINE_SLOTS};
use super::leaving::LeavingCheck;
use super::schedule::{FaultKind, FaultStep, PlannedFault};
use crate::harness::{DeploymentHarness, HarnessError, ProcessSignal};

/// Attempts to delete a drain record after the first one has failed.
const DRAIN_RETRIES: u32 = 50;

/// Pause between two of these attempts.
const DRAIN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Injects and heals the planned faults.
pub struct FaultInjector {
    /// The processes.
    pub harness: DeploymentHarness,
    /// The logs of processes that have ended, with their names.
    pub logs: Vec<(String, String)>,
    /// The number of replaced processes.
    pub replacements: u32,
    pub(super) context: Rc<SoakContext>,
    platform_faults: Vec<FaultKind>,
    leaving_checks: Vec<LeavingCheck>,
    document_count: u64,
    leave_slack: Duration,
}

impl FaultInjector {
    /// Creates an injector for a running deployment. `leave_slack` is added to the time within
    /// which leaving takes effect.
    pub fn new(
        harness: DeploymentHarness,
        context: Rc<SoakContext>,
        leave_slack: Duration,
    ) -> Self {
        Self {
            harness,
            logs: Vec::new(),
            replacements: 0,
            context,
            platform_faults: Vec::new(),
            leaving_checks: Vec::new(),
            document_count: 0,
            leave_slack,
        }
    }

    /// Runs one step of the schedule.
    pub async fn run_step(&mut self, step: &FaultStep) -> Result<(), HarnessError> {
        self.run_faults(&step.faults, step.hold).await?;
        if let Some(pause) = step.repeat_after {
            sleep(pause).await;
            self.run_faults(&step.faults, step.hold).await?;
        }
        sleep(step.gap).await;
        Ok(())
    }

    async fn run_faults(
        &mut self,
        faults: &[PlannedFault],
        hold: Duration,
    ) -> Result<(), HarnessError> {
        for fault in faults {
            match self.inject(*fault).await {
                Ok(()) => self.context.journal.borrow_mut().count_fault(*fault),
                Err(error) => {
                    let reason = error.to_string();
                    self.context
                        .journal
                        .borrow_mut()
                        .skip_fault(*fault, &reason);
                }
            }
        }
        sleep(hold).await;
        self.check_leaving().await;
        // Platform faults are healed first, as healing the others may need the platform.
        let mut order = faults.to_vec();
        order.reverse();
        order.sort_by_key(|fault| !fault.kind.is_platform_fault());
        for fault in order {
            self.heal(fault).await?;
            self.context.record_event(&format!("healed: {fault}"));
        }
        Ok(())
    }

    async fn check_leaving(&mut self) {
        let outage = self
            .platform_faults
            .iter()
            .any(|kind| kind.blocks_platform_reads());
        for check in std::mem::take(&mut self.leaving_checks) {
            if outage {
                let reason = "leaving server: the platform is in an outage";
                check.skip(&self.context, reason);
            } else {
                check.check(&self.context).await;
            }
        }
    }

    async fn inject(&mut self, fault: PlannedFault) -> Result<(), HarnessError> {
        let slot = fault.slot;
        match fault.kind {
            FaultKind::EntryKilled => self.kill_entry(slot),
            FaultKind::EntryPaused => self.harness.entries[slot]
                .process
                .signal(ProcessSignal::Stop),
            FaultKind::EntryTerminated => self.terminate_entry(slot),
            FaultKind::EngineKilled => self.signal_engine(slot, ProcessSignal::Kill),
            FaultKind::EnginePaused => self.signal_engine(slot, ProcessSignal::Stop),
            FaultKind::EngineSilent => {
                self.context.fleet.borrow_mut().engines[slot].responsive = false;
                self.set_faults(slot, json!({ "silent": true })).await
            }
            FaultKind::DocumentAccepted => {
                self.document_count += 1;
                let document = deployment::document(self.document_count);
                self.harness.promote_document(&document).await.map(drop)
            }
            kind if kind.is_leaving() => self.inject_leaving(fault).await,
            kind if kind.is_platform_fault() => {
                self.platform_faults.push(kind);
                self.send_platform_faults().await
            }
            kind => match fault_settings(kind) {
                FaultSettings::Engine { on, .. } => self.set_faults(slot, on).await,
                FaultSettings::Service { on, .. } => self.set_service_faults(slot, on).await,
                FaultSettings::None => Ok(()),
            },
        }
    }

    async fn heal(&mut self, fault: PlannedFault) -> Result<(), HarnessError> {
        let slot = fault.slot;
        match fault.kind {
            FaultKind::EntryKilled => self.restart_entry(slot).await,
            FaultKind::EntryPaused => {
                let process = &self.harness.entries[slot].process;
                process.signal(ProcessSignal::Continue)
            }
            FaultKind::EntryTerminated => self.replace_entry(slot).await,
            FaultKind::EngineKilled => self.replace_engine(slot).await,
            FaultKind::EnginePaused => {
                self.context.fleet.borrow_mut().engines[slot].responsive = true;
                let process = &self.harness.servers[slot].process;
                process.signal(ProcessSignal::Continue)
            }
            FaultKind::EngineSilent => {
                self.context.fleet.borrow_mut().engines[slot].responsive = true;
                self.set_faults(slot, json!({ "silent": false })).await
            }
            FaultKind::DocumentAccepted => Ok(()),
            kind if kind.is_leaving() => self.heal_leaving(fault).await,
            kind if kind.is_platform_fault() => {
                self.platform_faults.retain(|other| *other != kind);
                self.send_platform_faults().await
            }
            kind => match fault_settings(kind) {
                FaultSettings::Engine { off, .. } => self.set_faults(slot, off).await,
                FaultSettings::Service { off, .. } => self.set_service_faults(slot, off).await,
                FaultSettings::None => Ok(()),
            },
        }
    }

    async fn inject_leaving(&mut self, fault: PlannedFault) -> Result<(), HarnessError> {
        let slot = fault.slot;
        match fault.kind {
            FaultKind::EngineLeaving => self.set_faults(slot, json!({ "leaving": true })).await?,
            FaultKind::ServerDrained => {
                let name = self.harness.servers[slot].name.to_string();
                self.harness.drain_server(&name).await?;
            }
            _ => self.publish_engine(slot, VmState::Leaving).await?,
        }
        let check = LeavingCheck::start(&self.context, slot, self.leave_slack);
        self.leaving_checks.push(check);
        Ok(())
    }

    async fn heal_leaving(&mut self, fault: PlannedFault) -> Result<(), HarnessError> {
        let slot = fault.slot;
        match fault.kind {
            FaultKind::EngineLeaving => self.set_faults(slot, json!({ "leaving": false })).await,
            FaultKind::ServerDrained => self.end_drain(slot).await,
            _ => self.publish_engine(slot, VmState::Live).await,
        }
    }

    /// Ends a drain, with retries, as the platform may lose answers at the same time.
    async fn end_drain(&self, slot: usize) -> Result<(), HarnessError> {
        let name = self.harness.servers[slot].name.to_string();
        let mut result = self.harness.end_drain(&name).await;
        for _ in 0..DRAIN_RETRIES {
            if result.is_ok() {
                break;
            }
            sleep(DRAIN_RETRY_PAUSE).await;
            result = self.harness.end_drain(&name).await;
        }
        result
    }

    async fn publish_engine(&self, slot: usize, state: VmState) -> Result<(), HarnessError> {
        let server = &self.harness.servers[slot];
        let workload = VmWorkload::Server {
            name: server.name.clone(),
            kind: ServerKindName::from(ENGINE_KIND),
        };
        let address = server.process.address;
        self.harness
            .publish_vm(workload, address, DATA_CENTRE, state)
            .await
    }

    fn signal_engine(&self, slot: usize, signal: ProcessSignal) -> Result<(), HarnessError> {
        self.context.fleet.borrow_mut().engines[slot].responsive = false;
        self.harness.servers[slot].process.signal(signal)
    }

    async fn replace_engine(&mut self, slot: usize) -> Result<(), HarnessError> {
        let old = self.harness.servers.remove(slot);
        self.logs.push((old.name.to_string(), old.process.log()));
        self.harness.remove_vm(old.process.address).await?;
        old.process.close();
        self.replacements += 1;
        deployment::add_engine(&mut self.harness, &self.context, slot, self.replacements).await
    }

    async fn set_faults(&self, slot: usize, faults: Value) -> Result<(), HarnessError> {
        let address = self.harness.servers[slot].process.address;
        let request = self
            .harness
            .client
            .post(address, "/control/faults", &faults);
        request.await.map(drop)
    }

    async fn set_service_faults(&self, slot: usize, faults: Value) -> Result<(), HarnessError> {
        self.set_faults(ENGINE_SLOTS + slot, faults).await
    }

    async fn send_platform_faults(&self) -> Result<(), HarnessError> {
        let mut faults = json!({});
        for kind in &self.platform_faults {
            match kind {
                FaultKind::PlatformAnswersLost => faults["loseAnswers"] = json!(5),
                FaultKind::PlatformCloses => faults["outage"] = json!("close"),
                FaultKind::PlatformRefuses => faults["outage"] = json!("refuse"),
                FaultKind::PlatformSilent => faults["outage"] = json!("silent"),
                _ => {
                    faults["slowMs"] = json!(200);
                    faults["slowAnswerMs"] = json!(100);
                }
            }
        }
        let address = self.harness.platform.address;
        let request = self
            .harness
            .client
            .post(address, "/control/faults", &faults);
        request.await.map(drop)
    }
}

/// The fault settings of a server that turn one kind of fault on and off.
enum FaultSettings {
    /// Settings of an engine.
    Engine { on: Value, off: Value },
    /// The kind of fault has no settings.
    None,
    /// Settings of a service.
    Service { on: Value, off: Value },
}

fn fault_settings(kind: FaultKind) -> FaultSettings {
    match kind {
        FaultKind::CancelsLost => FaultSettings::Engine {
            on: json!({ "dropCancels": 4, "keepOrphans": true }),
            off: json!({ "dropCancels": 0, "keepOrphans": false }),
        },
        FaultKind::EngineSlow => FaultSettings::Engine {
            on: json!({ "slowFactor": 8.0 }),
            off: json!({ "slowFactor": 1.0 }),
        },
        FaultKind::ServiceAnswersLost => FaultSettings::Service {
            on: json!({ "dropAnswerAfterRun": 6, "slowMs": 20 }),
            off: json!({ "dropAnswerAfterRun": 0, "slowMs": 0 }),
        },
        FaultKind::ServiceRunsNothing => FaultSettings::Service {
            on: json!({ "notRun": true }),
            off: json!({ "notRun": false }),
        },
        FaultKind::ServiceSilent => FaultSettings::Service {
            on: json!({ "silent": true }),
            off: json!({ "silent": false }),
        },
        FaultKind::StreamsCut => FaultSettings::Engine {
            on: json!({ "cutStreamsAfter": 5 }),
            off: json!({ "cutStreamsAfter": 0 }),
        },
        FaultKind::TransfersStalled => FaultSettings::Engine {
            on: json!({ "stallTransfers": true }),
            off: json!({ "stallTransfers": false }),
        },
        _ => FaultSettings::None,
    }
}
