//! Sends requests to the entries of a rig.

use std::thread::JoinHandle;
use std::time::Duration;

use bpaf::Parser;

use super::SlopesError;
use super::point::{PointShape, TOKEN};
use super::sample::RigSample;
use crate::harness::DeploymentHarness;
use crate::load::{LoadError, LoadMix, LoadReport, MixOptions, mix_options, run_mix};

/// Between two looks at a running load.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Seconds in which the streams of a point are opened.
const OPEN_SECONDS: u64 = 1;

/// Time from the first of these streams to the measurement.
pub const OPEN_WAIT: Duration = Duration::from_secs(4);

/// Sends requests for the given time; returns the number of whole answers.
pub async fn drive(
    harness: &DeploymentHarness,
    seconds: u64,
    shape: PointShape,
) -> Result<u64, SlopesError> {
    let load = start_load(harness, seconds, shape)?;
    finish_load(load).await
}

/// Opens streams and measures while all are open; returns the number of whole answers too.
pub async fn hold(
    harness: &DeploymentHarness,
    shape: PointShape,
) -> Result<(RigSample, u64), SlopesError> {
    let load = start_load(harness, OPEN_SECONDS, shape)?;
    tokio::time::sleep(OPEN_WAIT).await;
    let sample = RigSample::take(harness).await?;
    Ok((sample, finish_load(load).await?))
}

/// A running load.
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
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let report = load.join().map_err(|_| SlopesError::LoadEnded)??;
    let whole = report.classes.iter().map(|class| class.ended("whole"));
    Ok(whole.sum())
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
