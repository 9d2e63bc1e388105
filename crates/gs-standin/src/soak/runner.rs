//! Runs a soak from the start of the deployment to the report.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use log::info;

use super::callers::run_caller;
use super::context::SoakContext;
use super::deployment::{self, ENGINE_SLOTS, ENTRY_SLOTS};
use super::error::SoakError;
use super::faults::FaultInjector;
use super::final_checks;
use super::journal::SoakInvariant;
use super::options::SoakOptions;
use super::report::SoakReport;
use super::schedule::plan_faults;
use super::watch::{watch_documents, watch_held};
use crate::harness::{HarnessError, ProgramDirectory};

/// Time limit for the callers to end: each may still have several tries to go.
const CALLERS_TIMEOUT: Duration = Duration::from_secs(240);

/// Runs a soak with the programs in the directory of this one and prints its plan and report.
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

/// Plans the faults, starts the deployment and the callers, injects the faults and runs the checks.
pub async fn run_soak(
    programs: ProgramDirectory,
    options: &SoakOptions,
) -> Result<SoakReport, SoakError> {
    let steps = plan_faults(options.seed, options.duration());
    let context = Rc::new(SoakContext::default());
    let harness = deployment::start(programs, &context).await?;
    let leave_slack = Duration::from_millis(options.leave_slack_ms);
    let mut injector = FaultInjector::new(harness, Rc::clone(&context), leave_slack);
    let callers: Vec<_> = (0..options.callers)
        .map(|number| actix_rt::spawn(run_caller(Rc::clone(&context), options.seed, number)))
        .collect();
    for slot in 0..ENTRY_SLOTS {
        actix_rt::spawn(watch_documents(Rc::clone(&context), slot));
    }
    for slot in 0..ENGINE_SLOTS {
        actix_rt::spawn(watch_held(Rc::clone(&context), slot));
    }
    for (number, step) in steps.iter().enumerate() {
        context.record_event(&format!("step {number}: {step}"));
        injector.run_step(step).await?;
    }
    context.record_event("all faults are healed");
    context.stopped.set(true);
    let joined = tokio::time::timeout(CALLERS_TIMEOUT, join_all(callers)).await;
    if joined.is_err() {
        let detail = "callers still wait for answers".to_owned();
        context.record_violation(SoakInvariant::Recovery, detail);
    }
    final_checks::check_all(&injector, options.seed).await?;
    let journal = context.journal.take();
    if !journal.violations.is_empty() {
        save_logs(&injector, options.seed)?;
    }
    Ok(SoakReport::new(options.seed, steps.len(), journal))
}

/// Writes the logs of all processes into a directory below the temporary directory.
fn save_logs(injector: &FaultInjector, seed: u64) -> Result<(), HarnessError> {
    let directory: PathBuf =
        std::env::temp_dir().join(format!("gs-soak-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).map_err(HarnessError::system("creating a directory"))?;
    let entries = injector.harness.entries.iter();
    let entries = entries.map(|entry| (entry.name.to_string(), entry.process.log()));
    let servers = injector.harness.servers.iter();
    let servers = servers.map(|server| (server.name.to_string(), server.process.log()));
    let exited = injector.logs.iter().cloned();
    for (number, (name, log)) in exited.chain(entries).chain(servers).enumerate() {
        let path = directory.join(format!("{number:03}-{name}.log"));
        std::fs::write(path, log).map_err(HarnessError::system("writing a log"))?;
    }
    info!(target: "soak", folder:% = directory.display(); "saved the logs of all processes");
    Ok(())
}
