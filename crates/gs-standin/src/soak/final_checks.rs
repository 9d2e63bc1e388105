//! Checks after all faults are healed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

use super::board::EntryTarget;
use super::completion::{CompletionCall, CompletionEnd};
use super::deployment::{ENGINE_SLOTS, ENTRY_SLOTS};
use super::faults::FaultDriver;
use super::journal::CheckPoint;
use super::keyed::{KeyRecord, KeyedCall, TryEnd};
use super::shared::SoakShared;
use super::watch::{read_held, read_sequence};
use crate::harness::HarnessError;
use crate::service::ServiceRuns;

/// How long the checks wait for what must come.
const PATIENCE: Duration = Duration::from_secs(120);

/// Between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Completions, and calls of each kind, that are sent to each entry at once in the end.
const BURST_COMPLETIONS: usize = 10;
const BURST_CALLS: usize = 4;

/// Makes every check. Callers have ended before.
pub async fn check_all(driver: &FaultDriver, seed: u64) -> Result<(), HarnessError> {
    let shared = &driver.shared;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for slot in 0..ENTRY_SLOTS {
        let target = shared.board.borrow().target(slot);
        let mut last = String::new();
        let works = wait_until(async || probe(shared, target, &mut random, &mut last).await).await;
        if !works {
            let detail = format!("{target:?} does not answer again: {last}");
            shared.violate(CheckPoint::Recovery, detail);
        }
    }
    let bursts: Vec<_> = (0..ENTRY_SLOTS)
        .map(|slot| shared.board.borrow().target(slot))
        .map(|target| burst(shared, target, seed))
        .collect();
    join_all(bursts).await;
    check_documents(driver).await?;
    check_held(shared).await;
    check_keys(driver).await
}

async fn wait_until(mut holds: impl AsyncFnMut() -> bool) -> bool {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if holds().await {
            return true;
        }
        sleep(LOOK_INTERVAL).await;
    }
    false
}

/// Whether an entry answers a completion and a keyed call.
async fn probe(
    shared: &SoakShared,
    target: EntryTarget,
    random: &mut Pcg64Mcg,
    last: &mut String,
) -> bool {
    let call = CompletionCall::draw(random, "probe").staying();
    let end = call.send(shared, target).await;
    let charge = KeyedCall::draw_charge(random);
    let answered = charge.try_once(shared, target).await;
    *last = format!("{end:?} and {answered:?}");
    end == CompletionEnd::Whole && answered == TryEnd::Answered
}

/// Sends requests at once; each must be answered whole.
async fn burst(shared: &SoakShared, target: EntryTarget, seed: u64) {
    let seed = seed.wrapping_add(target.slot as u64 + 1);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let completions: Vec<_> = (0..BURST_COMPLETIONS)
        .map(|_| CompletionCall::draw(&mut random, "burst").staying())
        .collect();
    let calls: Vec<_> = (0..BURST_CALLS)
        .flat_map(|_| {
            [
                KeyedCall::draw_charge(&mut random),
                KeyedCall::draw_ticket(&mut random),
            ]
        })
        .collect();
    let completed = join_all(completions.iter().map(|call| call.send(shared, target)));
    let called = join_all(calls.iter().map(|call| call.try_once(shared, target)));
    let (completed, called) = futures_util::join!(completed, called);
    for end in completed.iter().filter(|end| **end != CompletionEnd::Whole) {
        let detail = format!("completion of the last burst at {target:?}: {end:?}");
        shared.violate(CheckPoint::Recovery, detail);
    }
    for end in called.iter().filter(|end| **end != TryEnd::Answered) {
        let detail = format!("call of the last burst at {target:?}: {end:?}");
        shared.violate(CheckPoint::Recovery, detail);
    }
    let mut journal = shared.journal.borrow_mut();
    journal.count_check("bursts");
}

/// Each entry must reach the last accepted document.
async fn check_documents(driver: &FaultDriver) -> Result<(), HarnessError> {
    let shared = &driver.shared;
    let accepted = driver.harness.read_head().await?.sequence.0;
    for slot in 0..ENTRY_SLOTS {
        let target = shared.board.borrow().target(slot);
        let reached =
            wait_until(async || read_sequence(shared, target).await == Some(accepted)).await;
        if !reached {
            let found = read_sequence(shared, target).await;
            let detail = format!("{target:?} stays at document {found:?} of {accepted}");
            shared.violate(CheckPoint::Document, detail);
        }
    }
    shared.note(&format!("document {accepted} is the last accepted"));
    Ok(())
}

/// Engines must hold nothing.
async fn check_held(shared: &SoakShared) {
    for slot in 0..ENGINE_SLOTS {
        let empty = wait_until(async || {
            let held = read_held(shared, slot).await;
            held.is_some_and(|records| records.is_empty())
        })
        .await;
        if !empty {
            let records = read_held(shared, slot).await;
            let detail = format!("engine {slot} holds {records:?} in the end");
            shared.violate(CheckPoint::Held, detail);
        }
    }
}

/// Compares what became of each key with what the services ran.
async fn check_keys(driver: &FaultDriver) -> Result<(), HarnessError> {
    let shared = &driver.shared;
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for server in &driver.harness.servers[ENGINE_SLOTS..] {
        let address = server.process.address;
        let report: ServiceRuns = shared.client.get(address, "/control/runs").await?;
        for key in report.keys {
            *runs.entry(key.key).or_default() += key.runs;
        }
    }
    let keys = std::mem::take(&mut shared.keys.borrow_mut().records);
    for (key, record) in &keys {
        let ran = runs.get(&key.to_string()).copied().unwrap_or_default();
        if let Some((point, what)) = judge_key(record, ran) {
            let detail = format!("key {key} {what}; it ran {ran} times: {:?}", record.tries);
            shared.violate(point, detail);
        }
        shared.journal.borrow_mut().count_check("keys");
    }
    Ok(())
}

/// What is wrong with the runs of a key, if anything.
fn judge_key(record: &KeyRecord, ran: u32) -> Option<(CheckPoint, &'static str)> {
    let ends = || record.tries.iter().map(|(_, end)| end);
    if !record.idempotent && ran > 1 {
        return Some((CheckPoint::Key, "ran more than once"));
    }
    if ends().any(|end| *end == TryEnd::Answered) && ran == 0 {
        return Some((CheckPoint::Key, "was answered without a run"));
    }
    if ends().all(|end| matches!(end, TryEnd::NotRun(_))) && ran > 0 {
        return Some((CheckPoint::NotRun, "was said not to have run by every try"));
    }
    None
}
