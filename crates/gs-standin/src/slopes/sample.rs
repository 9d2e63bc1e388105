//! Samples the cumulative costs of all processes of a test deployment.

use std::time::Instant;

use bytes::Bytes;

use super::SlopesError;
use super::cost::{read_cpu_ns, read_metric};
use crate::harness::{DeploymentHarness, EntryHandle};
use crate::platform::CallStats;

/// Means over the entries of a deployment, counted since the start of each.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntrySample {
    /// Processor time of the control thread, in seconds.
    pub control_s: f64,
    /// Processor time of the whole process, in seconds.
    pub process_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Bytes of frames sent to and received from other entries.
    pub peer_bytes: f64,
    /// Frames sent to other entries.
    pub peer_frames: f64,
    /// Bytes of answer bodies of engine polls.
    pub poll_bytes: f64,
    /// Engine polls.
    pub polls: f64,
}

/// One sample of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSample {
    /// When the sample was started.
    pub at: Instant,
    /// The means over all entries.
    pub entry: EntrySample,
    /// The call counts of the platform's service.
    pub platform: CallStats,
}

impl DeploymentSample {
    /// Collects a sample from all processes.
    pub async fn collect(harness: &DeploymentHarness) -> Result<Self, SlopesError> {
        let at = Instant::now();
        let mut sum = EntrySample::default();
        for entry in &harness.entries {
            sum.add(read_entry(harness, entry).await?);
        }
        sum.divide(harness.entries.len() as f64);
        let address = harness.platform.address;
        let platform = harness.client.get(address, "/control/stats").await?;
        Ok(Self {
            at,
            entry: sum,
            platform,
        })
    }
}

async fn read_entry(
    harness: &DeploymentHarness,
    entry: &EntryHandle,
) -> Result<EntrySample, SlopesError> {
    let address = entry.process.address;
    let call = harness
        .client
        .call(address, "GET", "/metrics", &[], Bytes::new());
    let answer = call.await?;
    let text = String::from_utf8_lossy(&answer.body);
    let metric = |name| read_metric(&text, name).ok_or(SlopesError::MissingMetric(name));
    // A counter is exported only once it has been incremented.
    let counter = |name| read_metric(&text, name).unwrap_or(0.0);
    Ok(EntrySample {
        control_s: metric("gs_control_cpu_seconds")?,
        process_s: read_cpu_ns(entry.process.id())? as f64 / 1e9,
        resident_bytes: metric("gs_resident_bytes")?,
        peer_bytes: counter("gs_peer_sent_bytes_total") + counter("gs_peer_received_bytes_total"),
        peer_frames: counter("gs_peer_sent_frames_total"),
        poll_bytes: counter("gs_engine_poll_bytes_total"),
        polls: counter("gs_engine_polls_total"),
    })
}

impl EntrySample {
    fn fields(&mut self) -> [&mut f64; 7] {
        [
            &mut self.control_s,
            &mut self.process_s,
            &mut self.resident_bytes,
            &mut self.peer_bytes,
            &mut self.peer_frames,
            &mut self.poll_bytes,
            &mut self.polls,
        ]
    }

    fn add(&mut self, mut other: Self) {
        for (field, other) in self.fields().into_iter().zip(other.fields()) {
            *field += *other;
        }
    }

    fn divide(&mut self, divisor: f64) {
        for field in self.fields() {
            *field /= divisor;
        }
    }
}
