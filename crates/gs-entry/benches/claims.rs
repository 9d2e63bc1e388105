//! Measures claims through separate processes: latency, platform writes, throughput and takeover.
//!
//! Run `cargo build --workspace --bins` first, then
//! `cargo bench -p gs-entry --bench claims --profile dev`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::Cell;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use gs_standin::harness::{DeploymentHarness, HarnessError, ProcessSignal};
use gs_standin::platform::CallStats;
use serde_json::json;
use support::CLERK;
use uuid::Uuid;

const IDLE_CLAIMS: usize = 100;
const LOAD_CALLERS: usize = 64;
const LOAD_TIME: Duration = Duration::from_secs(10);
const LEASE_MS: u64 = 5_000;

fn main() {
    let measured = actix_rt::System::new().block_on(async {
        measure_rates().await?;
        measure_takeover().await
    });
    if let Err(error) = measured {
        println!("the measurement failed: {error}");
    }
}

async fn charge(harness: &DeploymentHarness, index: usize) -> bool {
    let address = harness.entries[index].process.address;
    let (bearer, key) = (format!("Bearer {CLERK}"), Uuid::now_v7().to_string());
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
    ];
    let path = "/services/desk/charges";
    let call = harness
        .client
        .call(address, "POST", path, &headers, Bytes::from_static(b"{}"));
    call.await.is_ok_and(|answer| answer.status == 200)
}

async fn count_writes(harness: &DeploymentHarness) -> Result<u64, HarnessError> {
    let address = harness.platform.address;
    let stats = harness
        .client
        .get::<CallStats>(address, "/control/stats")
        .await?;
    Ok(stats.writes)
}

fn quantile_ms(times: &mut [Duration], quantile: f64) -> f64 {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let index = (last as f64 * quantile) as usize;
    times.get(index).copied().unwrap_or_default().as_secs_f64() * 1e3
}

async fn measure_rates() -> Result<(), HarnessError> {
    let harness = support::start(3, &json!({})).await?;
    harness
        .wait_for("a claim at each entry", async || {
            charge(&harness, 0).await && charge(&harness, 1).await && charge(&harness, 2).await
        })
        .await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut times = Vec::new();
    for number in 0..IDLE_CLAIMS {
        let sent = Instant::now();
        if charge(&harness, number % 3).await {
            times.push(sent.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (p50, p99) = (quantile_ms(&mut times, 0.5), quantile_ms(&mut times, 0.99));
    println!(
        "idle: {} answered, p50 {p50:.1} ms, p99 {p99:.1} ms",
        times.len()
    );
    let (before, started) = (count_writes(&harness).await?, Instant::now());
    let answered = Cell::new(0u32);
    let callers =
        (0..LOAD_CALLERS).map(|number| generate_load(&harness, number % 3, &answered, started));
    join_all(callers).await;
    let seconds = started.elapsed().as_secs_f64();
    let written = count_writes(&harness).await? - before;
    let rates = (
        f64::from(answered.get()) / seconds,
        written as f64 / seconds,
    );
    println!(
        "{LOAD_CALLERS} callers: {:.0} claims/s, {:.1} writes/s",
        rates.0, rates.1
    );
    Ok(())
}

async fn generate_load(
    harness: &DeploymentHarness,
    index: usize,
    answered: &Cell<u32>,
    started: Instant,
) {
    while started.elapsed() < LOAD_TIME {
        if charge(harness, index).await {
            answered.set(answered.get() + 1);
        }
    }
}

/// Kills the owner of the only shard repeatedly and measures the time until a claim succeeds.
async fn measure_takeover() -> Result<(), HarnessError> {
    const ENTRIES: usize = 6;
    let claims = json!({ "claims": { "shards": 1, "leaseMs": LEASE_MS } });
    let harness = support::start(ENTRIES, &claims).await?;
    let mut live: Vec<usize> = (0..ENTRIES).collect();
    while live.len() > 1 {
        let owner = find_owner(&harness, &live).await?;
        live.retain(|index| *index != owner);
        harness.entries[owner].process.signal(ProcessSignal::Kill)?;
        let ended = Instant::now();
        while !charge(&harness, live[0]).await {}
        println!(
            "takeover: {} ms at a lease of {LEASE_MS} ms",
            ended.elapsed().as_millis()
        );
    }
    Ok(())
}

async fn find_owner(harness: &DeploymentHarness, live: &[usize]) -> Result<usize, HarnessError> {
    let found = Cell::new(None);
    harness
        .wait_for("an owner", async || {
            for index in live {
                let address = harness.entries[*index].process.address;
                let read = harness
                    .client
                    .call(address, "GET", "/metrics", &[], Bytes::new());
                let Ok(metrics) = read.await else {
                    continue;
                };
                let owns = |line: &str| line == "gs_claim_shards_owned 1";
                if String::from_utf8_lossy(&metrics.body).lines().any(owns) {
                    found.set(Some(*index));
                }
            }
            found.get().is_some()
        })
        .await?;
    Ok(found.get().unwrap_or_default())
}
