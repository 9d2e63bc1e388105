//! Brings faults about and heals them.

use std::rc::Rc;
use std::time::Duration;

use gs_protocol::ids::ServerKindName;
use gs_protocol::vm::{VmDuty, VmState};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::deployment::{self, DATA_CENTRE, ENGINE_KIND, ENGINE_SLOTS};
use super::leaving::LeavingWatch;
use super::schedule::{FaultKind, FaultStep, PlannedFault};
use super::shared::SoakShared;
use crate::harness::{DeploymentHarness, HarnessError, ProcessSignal};

/// How many times healing the platform's records is tried.
const HEAL_TRIES: u32 = 50;

/// Between two tries.
const HEAL_PAUSE: Duration = Duration::from_millis(200);

/// Steers the deployment.
pub struct FaultDriver {
    /// The processes.
    pub harness: DeploymentHarness,
    /// What processes logged that have ended, by name.
    pub logs: Vec<(String, String)>,
    /// Counts replaced processes.
    pub replaced: u32,
    pub(super) shared: Rc<SoakShared>,
    platform: Vec<FaultKind>,
    watches: Vec<LeavingWatch>,
    documents: u64,
    leave_slack: Duration,
}

impl FaultDriver {
    /// Steers a running deployment.
    pub fn new(harness: DeploymentHarness, shared: Rc<SoakShared>, leave_slack: Duration) -> Self {
        Self {
            harness,
            logs: Vec::new(),
            replaced: 0,
            shared,
            platform: Vec::new(),
            watches: Vec::new(),
            documents: 0,
            leave_slack,
        }
    }

    /// Carries out one step.
    pub async fn run_step(&mut self, step: &FaultStep) -> Result<(), HarnessError> {
        self.run_faults(&step.faults, step.hold).await?;
        if let Some(pause) = step.again_after {
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
            match self.begin(*fault).await {
                Ok(()) => self.shared.journal.borrow_mut().count_fault(*fault),
                Err(error) => {
                    let why = error.to_string();
                    self.shared.journal.borrow_mut().skip_fault(*fault, &why);
                }
            }
        }
        sleep(hold).await;
        self.check_leaving().await;
        // The others may need the platform.
        let mut order = faults.to_vec();
        order.reverse();
        order.sort_by_key(|fault| !fault.kind.is_platform_fault());
        for fault in order {
            self.heal(fault).await?;
            self.shared.note(&format!("healed: {fault}"));
        }
        Ok(())
    }

    async fn check_leaving(&mut self) {
        let outage = self.platform.iter().any(|kind| kind.hides_signs());
        for watch in std::mem::take(&mut self.watches) {
            if outage {
                let why = "leaving server: the platform is in an outage";
                watch.skip(&self.shared, why);
            } else {
                watch.check(&self.shared).await;
            }
        }
    }

    async fn begin(&mut self, fault: PlannedFault) -> Result<(), HarnessError> {
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
                self.shared.board.borrow_mut().engines[slot].answers = false;
                self.set_engine(slot, json!({ "silent": true })).await
            }
            FaultKind::DocumentAccepted => {
                self.documents += 1;
                let document = deployment::document(self.documents);
                self.harness.promote_document(&document).await.map(drop)
            }
            kind if kind.is_leaving() => self.begin_leaving(fault).await,
            kind if kind.is_platform_fault() => {
                self.platform.push(kind);
                self.set_platform().await
            }
            kind => match switches(kind) {
                SwitchSet::Engine { on, .. } => self.set_engine(slot, on).await,
                SwitchSet::Service { on, .. } => self.set_service(slot, on).await,
                SwitchSet::None => Ok(()),
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
                self.shared.board.borrow_mut().engines[slot].answers = true;
                let process = &self.harness.servers[slot].process;
                process.signal(ProcessSignal::Continue)
            }
            FaultKind::EngineSilent => {
                self.shared.board.borrow_mut().engines[slot].answers = true;
                self.set_engine(slot, json!({ "silent": false })).await
            }
            FaultKind::DocumentAccepted => Ok(()),
            kind if kind.is_leaving() => self.end_leaving(fault).await,
            kind if kind.is_platform_fault() => {
                self.platform.retain(|other| *other != kind);
                self.set_platform().await
            }
            kind => match switches(kind) {
                SwitchSet::Engine { off, .. } => self.set_engine(slot, off).await,
                SwitchSet::Service { off, .. } => self.set_service(slot, off).await,
                SwitchSet::None => Ok(()),
            },
        }
    }

    async fn begin_leaving(&mut self, fault: PlannedFault) -> Result<(), HarnessError> {
        let slot = fault.slot;
        match fault.kind {
            FaultKind::EngineLeaving => self.set_engine(slot, json!({ "leaving": true })).await?,
            FaultKind::ServerDrained => {
                let name = self.harness.servers[slot].name.to_string();
                self.harness.drain_server(&name).await?;
            }
            _ => self.list_engine(slot, VmState::Leaving).await?,
        }
        let watch = LeavingWatch::begin(&self.shared, slot, self.leave_slack);
        self.watches.push(watch);
        Ok(())
    }

    async fn end_leaving(&mut self, fault: PlannedFault) -> Result<(), HarnessError> {
        let slot = fault.slot;
        match fault.kind {
            FaultKind::EngineLeaving => self.set_engine(slot, json!({ "leaving": false })).await,
            FaultKind::ServerDrained => self.end_drain(slot).await,
            _ => self.list_engine(slot, VmState::Live).await,
        }
    }

    /// Ends a drain. The platform may lose answers meanwhile.
    async fn end_drain(&self, slot: usize) -> Result<(), HarnessError> {
        let name = self.harness.servers[slot].name.to_string();
        let mut ended = self.harness.end_drain(&name).await;
        for _ in 0..HEAL_TRIES {
            if ended.is_ok() {
                break;
            }
            sleep(HEAL_PAUSE).await;
            ended = self.harness.end_drain(&name).await;
        }
        ended
    }

    async fn list_engine(&self, slot: usize, state: VmState) -> Result<(), HarnessError> {
        let server = &self.harness.servers[slot];
        let duty = VmDuty::Server {
            name: server.name.clone(),
            kind: ServerKindName::from(ENGINE_KIND),
        };
        let address = server.process.address;
        self.harness
            .publish_vm(duty, address, DATA_CENTRE, state)
            .await
    }

    fn signal_engine(&self, slot: usize, signal: ProcessSignal) -> Result<(), HarnessError> {
        self.shared.board.borrow_mut().engines[slot].answers = false;
        self.harness.servers[slot].process.signal(signal)
    }

    async fn replace_engine(&mut self, slot: usize) -> Result<(), HarnessError> {
        let old = self.harness.servers.remove(slot);
        self.logs.push((old.name.to_string(), old.process.log()));
        self.harness.remove_vm(old.process.address).await?;
        old.process.close();
        self.replaced += 1;
        deployment::add_engine(&mut self.harness, &self.shared, slot, self.replaced).await
    }

    async fn set_engine(&self, slot: usize, faults: Value) -> Result<(), HarnessError> {
        let address = self.harness.servers[slot].process.address;
        let set = self
            .harness
            .client
            .post(address, "/control/faults", &faults);
        set.await.map(drop)
    }

    async fn set_service(&self, slot: usize, faults: Value) -> Result<(), HarnessError> {
        self.set_engine(ENGINE_SLOTS + slot, faults).await
    }

    async fn set_platform(&self) -> Result<(), HarnessError> {
        let mut faults = json!({});
        for kind in &self.platform {
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
        let set = self
            .harness
            .client
            .post(address, "/control/faults", &faults);
        set.await.map(drop)
    }
}

/// Switches of a server for one kind of fault.
enum SwitchSet {
    /// Of an engine.
    Engine { on: Value, off: Value },
    /// The kind has none.
    None,
    /// Of a service.
    Service { on: Value, off: Value },
}

fn switches(kind: FaultKind) -> SwitchSet {
    match kind {
        FaultKind::CancelsLost => SwitchSet::Engine {
            on: json!({ "dropCancels": 4, "keepOrphans": true }),
            off: json!({ "dropCancels": 0, "keepOrphans": false }),
        },
        FaultKind::EngineSlow => SwitchSet::Engine {
            on: json!({ "slowFactor": 8.0 }),
            off: json!({ "slowFactor": 1.0 }),
        },
        FaultKind::ServiceAnswersLost => SwitchSet::Service {
            on: json!({ "dropAnswerAfterRun": 6, "slowMs": 20 }),
            off: json!({ "dropAnswerAfterRun": 0, "slowMs": 0 }),
        },
        FaultKind::ServiceRunsNothing => SwitchSet::Service {
            on: json!({ "notRun": true }),
            off: json!({ "notRun": false }),
        },
        FaultKind::ServiceSilent => SwitchSet::Service {
            on: json!({ "silent": true }),
            off: json!({ "silent": false }),
        },
        FaultKind::StreamsCut => SwitchSet::Engine {
            on: json!({ "cutStreamsAfter": 5 }),
            off: json!({ "cutStreamsAfter": 0 }),
        },
        FaultKind::TransfersStalled => SwitchSet::Engine {
            on: json!({ "stallTransfers": true }),
            off: json!({ "stallTransfers": false }),
        },
        _ => SwitchSet::None,
    }
}
