//! Checks that run after all faults are healed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

use super::completion::{CompletionCall, CompletionOutcome};
use super::context::SoakContext;
use super::deployment::{ENGINE_SLOTS, ENTRY_SLOTS};
use super::faults::FaultInjector;
use super::fleet::EntryTarget;
use super::journal::SoakInvariant;
use super::keyed::{KeyHistory, KeyedCall, TryOutcome};
use super::watch::{read_held, read_sequence};
use crate::harness::HarnessError;
use crate::service::ServiceRuns;

/// Time limit for the deployment to reach an expected state.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which a state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Completions, and service calls of each kind, in the final concurrent burst to each entry.
const BURST_COMPLETIONS: usize = 10;
const BURST_CALLS: usize = 4;

/// Runs every check. All callers must have ended before.
pub async fn check_all(injector: &FaultInjector, seed: u64) -> Result<(), HarnessError> {
    let context = &injector.context;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for slot in 0..ENTRY_SLOTS {
        let target = context.fleet.borrow().target(slot);
        let mut last_outcome = String::new();
        let recovered =
            wait_until(async || probe(context, target, &mut random, &mut last_outcome).await).await;
        if !recovered {
            let detail = format!("{target:?} does not answer again: {last_outcome}");
            context.record_violation(SoakInvariant::Recovery, detail);
        }
    }
    let bursts: Vec<_> = (0..ENTRY_SLOTS)
        .map(|slot| context.fleet.borrow().target(slot))
        .map(|target| burst(context, target, seed))
        .collect();
    join_all(bursts).await;
    check_documents(injector).await?;
    check_held(context).await;
    check_keys(injector).await
}

async fn wait_until(mut holds: impl AsyncFnMut() -> bool) -> bool {
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    while Instant::now() < deadline {
        if holds().await {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Whether an entry answers a completion and a keyed call. Writes the outcomes to `last_outcome`.
async fn probe(
    context: &SoakContext,
    target: EntryTarget,
    random: &mut Pcg64Mcg,
    last_outcome: &mut String,
) -> bool {
    let call = CompletionCall::draw(random, "probe").without_disconnect();
    let completed = call.send(context, target).await;
    let charge = KeyedCall::draw_charge(random);
    let called = charge.try_once(context, target).await;
    *last_outcome = format!("{completed:?} and {called:?}");
    completed == CompletionOutcome::Complete && called == TryOutcome::Answered
}

/// Sends concurrent requests; each must get a complete answer.
async fn burst(context: &SoakContext, target: EntryTarget, seed: u64) {
    let seed = seed.wrapping_add(target.slot as u64 + 1);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let completions: Vec<_> = (0..BURST_COMPLETIONS)
        .map(|_| CompletionCall::draw(&mut random, "burst").without_disconnect())
        .collect();
    let calls: Vec<_> = (0..BURST_CALLS)
        .flat_map(|_| {
            [
                KeyedCall::draw_charge(&mut random),
                KeyedCall::draw_ticket(&mut random),
            ]
        })
        .collect();
    let completed = join_all(completions.iter().map(|call| call.send(context, target)));
    let called = join_all(calls.iter().map(|call| call.try_once(context, target)));
    let (completed, called) = futures_util::join!(completed, called);
    for outcome in completed
        .iter()
        .filter(|outcome| **outcome != CompletionOutcome::Complete)
    {
        let detail = format!("completion of the last burst at {target:?}: {outcome:?}");
        context.record_violation(SoakInvariant::Recovery, detail);
    }
    for outcome in called
        .iter()
        .filter(|outcome| **outcome != TryOutcome::Answered)
    {
        let detail = format!("call of the last burst at {target:?}: {outcome:?}");
        context.record_violation(SoakInvariant::Recovery, detail);
    }
    let mut journal = context.journal.borrow_mut();
    journal.count_check("bursts");
}

/// Checks that each entry applies the last accepted document.
async fn check_documents(injector: &FaultInjector) -> Result<(), HarnessError> {
    let context = &injector.context;
    let accepted = injector.harness.read_head().await?.sequence.0;
    for slot in 0..ENTRY_SLOTS {
        let target = context.fleet.borrow().target(slot);
        let reached =
            wait_until(async || read_sequence(context, target).await == Some(accepted)).await;
        if !reached {
            let applied = read_sequence(context, target).await;
            let detail =
                format!("{target:?} stays at document {applied:?}, but {accepted} is accepted");
            context.record_violation(SoakInvariant::Document, detail);
        }
    }
    context.record_event(&format!("document {accepted} is the last accepted"));
    Ok(())
}

/// Checks that engines hold no state of any request.
async fn check_held(context: &SoakContext) {
    for slot in 0..ENGINE_SLOTS {
        let released = wait_until(async || {
            let held = read_held(context, slot).await;
            held.is_some_and(|records| records.is_empty())
        })
        .await;
        if !released {
            let records = read_held(context, slot).await;
            let detail = format!("engine {slot} holds {records:?} in the end");
            context.record_violation(SoakInvariant::Held, detail);
        }
    }
}

/// Compares the outcomes that callers got for each key with the runs that services counted.
async fn check_keys(injector: &FaultInjector) -> Result<(), HarnessError> {
    let context = &injector.context;
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for server in &injector.harness.servers[ENGINE_SLOTS..] {
        let address = server.process.address;
        let report: ServiceRuns = context.client.get(address, "/control/runs").await?;
        for run in report.keys {
            *runs.entry(run.key).or_default() += run.runs;
        }
    }
    let histories = std::mem::take(&mut context.keys.borrow_mut().histories);
    for (key, history) in &histories {
        let ran = runs.get(&key.to_string()).copied().unwrap_or_default();
        if let Some((invariant, problem)) = check_runs(history, ran) {
            let detail = format!(
                "key {key} {problem}; it ran {ran} times: {:?}",
                history.tries
            );
            context.record_violation(invariant, detail);
        }
        context.journal.borrow_mut().count_check("keys");
    }
    Ok(())
}

/// Returns the violated invariant of a key that ran `ran` times, with a description.
fn check_runs(history: &KeyHistory, ran: u32) -> Option<(SoakInvariant, &'static str)> {
    let outcomes = || history.tries.iter().map(|(_, outcome)| outcome);
    if !history.idempotent && ran > 1 {
        return Some((SoakInvariant::Key, "ran more than once"));
    }
    if outcomes().any(|outcome| *outcome == TryOutcome::Answered) && ran == 0 {
        return Some((SoakInvariant::Key, "was answered without a run"));
    }
    if outcomes().all(|outcome| matches!(outcome, TryOutcome::NotRun(_))) && ran > 0 {
        return Some((
            SoakInvariant::NotRun,
            "ran although every try was reported as not run",
        ));
    }
    None
}
