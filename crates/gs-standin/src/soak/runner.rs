//! Runs a soak from its start to its report.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use log::info;

use super::callers::run_caller;
use super::deployment::{self, ENGINE_SLOTS, ENTRY_SLOTS};
use super::error::SoakError;
use super::faults::FaultDriver;
use super::final_checks;
use super::journal::CheckPoint;
use super::options::SoakOptions;
use super::report::SoakReport;
use super::schedule::plan_faults;
use super::shared::SoakShared;
use super::watch::{watch_documents, watch_held};
use crate::harness::{HarnessError, ProgramDirectory};

/// How long the callers may take to end: each may be in a few tries.
const CALLERS_PATIENCE: Duration = Duration::from_secs(240);

/// Runs the soak of a command line with the programs beside this one, and prints its report.
pub async fn run(options: &SoakOptions) -> Result<(), SoakError> {
    let steps = plan_faults(options.seed, options.duration());
    println!("seed {}, {} steps", options.seed, steps.len());
    for (number, step) in steps.iter().enumerate() {
        println!("{number:>4}: {step}");
    }
    if options.plan_only {
        return Ok(());
    }
    let program = std::env::current_exe().map_err(|source| SoakError::OwnProgram { source })?;
    let report = run_soak(ProgramDirectory::containing(program), options).await?;
    println!("{report}");
    match report.violations().len() {
        0 => Ok(()),
        count => Err(SoakError::Violations { count }),
    }
}

/// Runs a soak.
pub async fn run_soak(
    programs: ProgramDirectory,
    options: &SoakOptions,
) -> Result<SoakReport, SoakError> {
    let steps = plan_faults(options.seed, options.duration());
    let shared = Rc::new(SoakShared::default());
    let harness = deployment::start(programs, &shared).await?;
    let leave_slack = Duration::from_millis(options.leave_slack_ms);
    let mut driver = FaultDriver::new(harness, Rc::clone(&shared), leave_slack);
    let callers: Vec<_> = (0..options.callers)
        .map(|number| actix_rt::spawn(run_caller(Rc::clone(&shared), options.seed, number)))
        .collect();
    for slot in 0..ENTRY_SLOTS {
        actix_rt::spawn(watch_documents(Rc::clone(&shared), slot));
    }
    for slot in 0..ENGINE_SLOTS {
        actix_rt::spawn(watch_held(Rc::clone(&shared), slot));
    }
    for (number, step) in steps.iter().enumerate() {
        shared.note(&format!("step {number}: {step}"));
        driver.run_step(step).await?;
    }
    shared.note("all faults are healed");
    shared.ended.set(true);
    let ended = tokio::time::timeout(CALLERS_PATIENCE, join_all(callers)).await;
    if ended.is_err() {
        let detail = "callers still wait for answers".to_owned();
        shared.violate(CheckPoint::Recovery, detail);
    }
    final_checks::check_all(&driver, options.seed).await?;
    let journal = shared.journal.take();
    if !journal.violations.is_empty() {
        save_logs(&driver, options.seed)?;
    }
    Ok(SoakReport::new(options.seed, steps.len(), journal))
}

/// Writes what the processes logged into a folder.
fn save_logs(driver: &FaultDriver, seed: u64) -> Result<(), HarnessError> {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("gs-soak-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(HarnessError::system("making a folder"))?;
    let entries = driver.harness.entries.iter();
    let entries = entries.map(|entry| (entry.name.to_string(), entry.process.log()));
    let servers = driver.harness.servers.iter();
    let servers = servers.map(|server| (server.name.to_string(), server.process.log()));
    let ended = driver.logs.iter().cloned();
    for (number, (name, log)) in ended.chain(entries).chain(servers).enumerate() {
        let path = folder.join(format!("{number:03}-{name}.log"));
        std::fs::write(path, log).map_err(HarnessError::system("writing a log"))?;
    }
    info!(target: "soak", folder:% = folder.display(); "Logs of the processes are saved.");
    Ok(())
}
