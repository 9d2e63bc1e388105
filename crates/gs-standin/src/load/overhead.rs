//! Measures the time that an entry adds to the first token, in pairs of requests with and without
//! it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use serde::Serialize;

use super::client::build_client;
use super::completion::{CompletionCall, call_entry};
use super::direct::{EnginePair, call_engines};
use super::error::LoadError;
use super::exchange::{CallEnd, CallOutcome};
use super::options::OverheadOptions;
use super::prompt::make_text;
use super::recorder::LatencyHistogram;
use super::report::TimeQuantiles;

/// Unmeasured warm-up pairs of each concurrent worker.
const WARM_UP_PAIRS: u32 = 20;

/// Times to the first token of one pair.
#[derive(Clone, Copy, Debug)]
struct PairTimes {
    entry: Duration,
    direct: Duration,
}

/// The results of the measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
struct OverheadReport {
    pairs: usize,
    concurrency: u32,
    /// Time to first token through the entry.
    entry: TimeQuantiles,
    /// Time to first token directly from the engines.
    direct: TimeQuantiles,
    /// Median through the entry minus median from the engines, in milliseconds.
    added_p50_ms: f64,
    /// 99th percentile through the entry minus 99th percentile from the engines, in milliseconds.
    added_p99_ms: f64,
    /// Median of the differences within pairs, in milliseconds.
    paired_p50_ms: f64,
}

/// Runs the measurement and prints its report.
pub fn run(options: &OverheadOptions) -> Result<(), LoadError> {
    let options = Rc::new(options.clone());
    let times = actix_rt::System::new().block_on(measure(&options))?;
    let report = build_report(&options, &times);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!("pairs {} at a time {}", report.pairs, report.concurrency);
    println!("first token 50/95/99 ms, entry:  {}", report.entry);
    println!("first token 50/95/99 ms, direct: {}", report.direct);
    println!(
        "added: median {:.3} ms, p99 {:.3} ms; median of paired differences {:.3} ms",
        report.added_p50_ms, report.added_p99_ms, report.paired_p50_ms
    );
    Ok(())
}

async fn measure(options: &Rc<OverheadOptions>) -> Result<Vec<PairTimes>, LoadError> {
    let client = build_client();
    let workers = options.concurrency.max(1);
    let pairs_per_worker = options.pairs.div_ceil(workers);
    let tasks: Vec<_> = (0..workers)
        .map(|worker| {
            let options = Rc::clone(options);
            let client = client.clone();
            actix_rt::spawn(async move {
                measure_pairs(&client, &options, worker, pairs_per_worker).await
            })
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await.map_err(|_| LoadError::ThreadEnded)??);
    }
    Ok(times)
}

async fn measure_pairs(
    client: &Client,
    options: &OverheadOptions,
    worker: u32,
    pairs: u32,
) -> Result<Vec<PairTimes>, LoadError> {
    let mut times = Vec::new();
    for pair in 0..WARM_UP_PAIRS + pairs {
        let number = u64::from(worker) << 32 | u64::from(pair);
        let pair_times = measure_pair(client, options, number).await?;
        if pair >= WARM_UP_PAIRS {
            times.push(pair_times);
        }
    }
    Ok(times)
}

/// Runs one pair. The entry goes first in every other pair, so that the order doesn't bias the
/// result.
async fn measure_pair(
    client: &Client,
    options: &OverheadOptions,
    number: u64,
) -> Result<PairTimes, LoadError> {
    let seed = options.seed.wrapping_add(number << 1);
    if number.is_multiple_of(2) {
        let entry = measure_entry(client, options, seed).await?;
        let direct = measure_direct(client, options, seed + 1).await?;
        return Ok(PairTimes { entry, direct });
    }
    let direct = measure_direct(client, options, seed + 1).await?;
    let entry = measure_entry(client, options, seed).await?;
    Ok(PairTimes { entry, direct })
}

async fn measure_entry(
    client: &Client,
    options: &OverheadOptions,
    seed: u64,
) -> Result<Duration, LoadError> {
    let prompt = make_text(seed, options.prompt_tokens);
    first_token(&call_entry(client, options.entry, &build_call(options, &prompt)).await)
}

async fn measure_direct(
    client: &Client,
    options: &OverheadOptions,
    seed: u64,
) -> Result<Duration, LoadError> {
    let prompt = make_text(seed, options.prompt_tokens);
    let pair = EnginePair {
        prefill: options.prefill,
        decode: options.decode,
    };
    first_token(&call_engines(client, pair, &build_call(options, &prompt)).await)
}

fn build_call<'a>(options: &'a OverheadOptions, prompt: &'a str) -> CompletionCall<'a> {
    CompletionCall {
        token: &options.token,
        model: &options.model,
        prompt,
        output_tokens: options.output_tokens,
        cancel_after: None,
        start: Instant::now(),
        counter: None,
    }
}

fn first_token(outcome: &CallOutcome) -> Result<Duration, LoadError> {
    match outcome.first_token {
        Some(first) if outcome.end == CallEnd::Complete => Ok(first),
        _ => Err(LoadError::RequestFailed {
            end: outcome.end.clone(),
        }),
    }
}

fn build_report(options: &OverheadOptions, times: &[PairTimes]) -> OverheadReport {
    let mut entry = LatencyHistogram::default();
    let mut direct = LatencyHistogram::default();
    for pair in times {
        entry.add(pair.entry);
        direct.add(pair.direct);
    }
    OverheadReport {
        pairs: times.len(),
        concurrency: options.concurrency,
        entry: TimeQuantiles::of(&entry),
        direct: TimeQuantiles::of(&direct),
        added_p50_ms: entry.quantile_ms(0.5) - direct.quantile_ms(0.5),
        added_p99_ms: entry.quantile_ms(0.99) - direct.quantile_ms(0.99),
        paired_p50_ms: median_difference_ms(times),
    }
}

fn median_difference_ms(times: &[PairTimes]) -> f64 {
    let mut differences: Vec<_> = times
        .iter()
        .map(|pair| (pair.entry.as_secs_f64() - pair.direct.as_secs_f64()) * 1e3)
        .collect();
    differences.sort_by(f64::total_cmp);
    differences
        .get(differences.len() / 2)
        .copied()
        .unwrap_or(0.0)
}
