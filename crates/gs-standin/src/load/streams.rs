//! Measures the token throughput of many long streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::client::build_client;
use super::completion::{CompletionCall, call_entry};
use super::direct::{EnginePair, call_engines};
use super::error::LoadError;
use super::exchange::{CallEnd, CallOutcome};
use super::options::StreamsOptions;
use super::prompt::make_text;

/// Interval at which the token counter is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The number of samples from which on the first and the last one are left out of the median.
const MIN_TRIMMED_SAMPLES: usize = 4;

/// The server that the streams come from.
#[derive(Clone, Copy, Debug)]
enum StreamSource {
    Entry(SocketAddr),
    Engines(EnginePair),
}

/// The results of the measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
struct StreamsReport {
    streams: u32,
    whole: u32,
    tokens: u64,
    seconds: f64,
    /// Tokens divided by the total time.
    tokens_per_s: f64,
    /// Median of the rates in short intervals, without the first and the last.
    median_tokens_per_s: f64,
}

/// Counters that the threads share.
#[derive(Debug, Default)]
struct StreamCounts {
    tokens: AtomicU64,
    complete: AtomicU32,
    ended: AtomicU32,
}

/// Runs the measurement and prints its report.
pub fn run(options: &StreamsOptions) -> Result<(), LoadError> {
    let source = match (options.entry, options.prefill, options.decode) {
        (Some(entry), _, _) => StreamSource::Entry(entry),
        (None, Some(prefill), Some(decode)) => {
            StreamSource::Engines(EnginePair { prefill, decode })
        }
        _ => return Err(LoadError::NoEntries),
    };
    let report = measure(options, source)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!(
        "{} of {} streams whole, {} tokens in {:.2} s: {:.0} tokens/s, median {:.0} tokens/s",
        report.whole,
        report.streams,
        report.tokens,
        report.seconds,
        report.tokens_per_s,
        report.median_tokens_per_s
    );
    Ok(())
}

fn measure(options: &StreamsOptions, source: StreamSource) -> Result<StreamsReport, LoadError> {
    let counts = Arc::new(StreamCounts::default());
    let start = Instant::now();
    let threads = options.threads.clamp(1, options.count.max(1) as usize);
    let handles: Vec<_> = (0..threads)
        .map(|number| {
            let options = options.clone();
            let counts = Arc::clone(&counts);
            thread::spawn(move || {
                let streams = (number as u32..options.count).step_by(threads);
                let run = run_streams(&options, source, &counts, streams);
                actix_rt::System::new().block_on(run);
            })
        })
        .collect();
    let samples = sample(&counts, options.count);
    for handle in handles {
        handle.join().map_err(|_| LoadError::ThreadEnded)?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let tokens = counts.tokens.load(Ordering::Relaxed);
    Ok(StreamsReport {
        streams: options.count,
        whole: counts.complete.load(Ordering::Relaxed),
        tokens,
        seconds,
        tokens_per_s: tokens as f64 / seconds,
        median_tokens_per_s: median_rate(samples),
    })
}

async fn run_streams(
    options: &StreamsOptions,
    source: StreamSource,
    counts: &StreamCounts,
    streams: impl Iterator<Item = u32>,
) {
    let client = build_client();
    let calls = streams.map(|number| {
        let client = client.clone();
        async move {
            let outcome = run_stream(&client, options, source, counts, number).await;
            counts.ended.fetch_add(1, Ordering::Relaxed);
            let complete = u32::from(outcome.end == CallEnd::Complete);
            counts.complete.fetch_add(complete, Ordering::Relaxed);
        }
    });
    futures_util::future::join_all(calls).await;
}

async fn run_stream(
    client: &awc::Client,
    options: &StreamsOptions,
    source: StreamSource,
    counts: &StreamCounts,
    number: u32,
) -> CallOutcome {
    let seed = options.seed.wrapping_add(u64::from(number));
    let prompt = make_text(seed, options.prompt_tokens);
    let call = CompletionCall {
        token: &options.token,
        model: &options.model,
        prompt: &prompt,
        output_tokens: options.tokens,
        cancel_after: None,
        start: Instant::now(),
        counter: Some(&counts.tokens),
    };
    match source {
        StreamSource::Entry(entry) => call_entry(client, entry, &call).await,
        StreamSource::Engines(pair) => call_engines(client, pair, &call).await,
    }
}

/// Samples the token counter until all streams have ended; returns the rate of each interval, in
/// tokens per second.
fn sample(counts: &StreamCounts, streams: u32) -> Vec<f64> {
    let mut rates = Vec::new();
    let mut last = (Instant::now(), 0);
    while counts.ended.load(Ordering::Relaxed) < streams {
        thread::sleep(SAMPLE_INTERVAL);
        let tokens = counts.tokens.load(Ordering::Relaxed);
        let now = Instant::now();
        let seconds = now.duration_since(last.0).as_secs_f64();
        rates.push((tokens - last.1) as f64 / seconds);
        last = (now, tokens);
    }
    rates
}

fn median_rate(mut rates: Vec<f64>) -> f64 {
    if rates.len() >= MIN_TRIMMED_SAMPLES {
        rates.remove(0);
        rates.pop();
    }
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied().unwrap_or(0.0)
}
