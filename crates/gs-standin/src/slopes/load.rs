//! Sends load to the entries of a test deployment.

use std::thread::JoinHandle;
use std::time::Duration;

use bpaf::Parser;

use super::SlopesError;
use super::point::{PointShape, TOKEN};
use super::sample::DeploymentSample;
use crate::harness::DeploymentHarness;
use crate::load::{LoadError, LoadMix, LoadReport, MixOptions, mix_options, run_mix};

/// Interval at which the end of a load run is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Seconds within which the streams of a point are opened.
const STREAM_OPEN_SECONDS: u64 = 1;

/// Delay from the first of these streams to the sample.
pub const STREAM_SAMPLE_DELAY: Duration = Duration::from_secs(4);

/// Sends requests for `seconds` seconds; returns the number of complete answers.
pub async fn send_load(
    harness: &DeploymentHarness,
    seconds: u64,
    shape: PointShape,
) -> Result<u64, SlopesError> {
    let load = start_load(harness, seconds, shape)?;
    finish_load(load).await
}

/// Opens streams and takes a sample while all are open; also returns the number of complete
/// answers.
pub async fn sample_open_streams(
    harness: &DeploymentHarness,
    shape: PointShape,
) -> Result<(DeploymentSample, u64), SlopesError> {
    let load = start_load(harness, STREAM_OPEN_SECONDS, shape)?;
    tokio::time::sleep(STREAM_SAMPLE_DELAY).await;
    let sample = DeploymentSample::collect(harness).await?;
    Ok((sample, finish_load(load).await?))
}

/// The thread of a running load.
type LoadThread = JoinHandle<Result<LoadReport, LoadError>>;

fn start_load(
    harness: &DeploymentHarness,
    seconds: u64,
    shape: PointShape,
) -> Result<LoadThread, SlopesError> {
    let load = load_options(harness, seconds, shape)?;
    let mix = LoadMix::from_options(&load)?;
    Ok(std::thread::spawn(move || run_mix(&load, mix)))
}

async fn finish_load(load: LoadThread) -> Result<u64, SlopesError> {
    while !load.is_finished() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let report = load.join().map_err(|_| SlopesError::LoadEnded)??;
    let complete = report.classes.iter().map(|class| class.ended("whole"));
    Ok(complete.sum())
}

fn load_options(
    harness: &DeploymentHarness,
    seconds: u64,
    shape: PointShape,
) -> Result<MixOptions, SlopesError> {
    let addresses = harness.entries.iter().map(|entry| entry.process.address);
    let entries = addresses.flat_map(|address| ["--entry".to_owned(), address.to_string()]);
    let flags = [
        ("--token", TOKEN.to_owned()),
        ("--model", "base".to_owned()),
        ("--seconds", seconds.to_string()),
        ("--rate", shape.rate.to_string()),
        ("--prompt-tokens", "64".to_owned()),
        ("--output-tokens", shape.tokens.to_string()),
    ];
    let flags = flags
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value]);
    let arguments: Vec<String> = entries.chain(flags).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    mix_options()
        .to_options()
        .run_inner(arguments.as_slice())
        .map_err(|_| SlopesError::LoadOptions)
}
