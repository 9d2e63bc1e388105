//! Metric names, and handles for the metrics of each caller.

use std::sync::OnceLock;

use gs_document::document::CallerRank;
use gs_protocol::ids::CallerName;
use gs_protocol::refusal::RefusalReason;
use metrics::{Counter, Histogram, counter, histogram};
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// Seconds from the request to its first token.
pub const FIRST_TOKEN_SECONDS: &str = "gs_first_token_seconds";
/// Seconds between two tokens of a stream.
pub const BETWEEN_TOKENS_SECONDS: &str = "gs_between_tokens_seconds";
/// Seconds that a request waited before it was started.
pub const QUEUE_WAIT_SECONDS: &str = "gs_queue_wait_seconds";
/// Refused requests.
pub const REFUSALS_TOTAL: &str = "gs_refusals_total";
/// Complete answers.
pub const ANSWERS_TOTAL: &str = "gs_answers_total";
/// Prompt tokens of wasted prefills, whose attempt produced no token.
pub const WASTED_PREFILL_TOKENS_TOTAL: &str = "gs_wasted_prefill_tokens_total";
/// Events of other attempts or repeated tokens that were dropped.
pub const LATE_EVENTS_TOTAL: &str = "gs_late_events_total";
/// Streams that ended in an explicit error.
pub const BROKEN_STREAMS_TOTAL: &str = "gs_broken_streams_total";
/// Times that a request fingerprint was blamed for the crash of a server.
pub const BLAMES_TOTAL: &str = "gs_blames_total";
/// Request fingerprints that may crash servers: those that are isolated, wait or are refused.
pub const SUSPECTS: &str = "gs_suspects";
/// Sequence number of the document in force.
pub const DOCUMENT_SEQUENCE: &str = "gs_document_sequence";

/// Claim shards that this entry owns.
pub const CLAIM_SHARDS_OWNED: &str = "gs_claim_shards_owned";
/// Claims stored in those shards.
pub const CLAIMS_STORED: &str = "gs_claims_kept";
/// Claims of this entry's callers that are not closed.
pub const CLAIMS_OPEN: &str = "gs_claims_open";

/// Processor time of the control thread since its start, in seconds.
pub const CONTROL_CPU_SECONDS: &str = "gs_control_cpu_seconds";
/// Resident memory of the process, in bytes.
pub const RESIDENT_BYTES: &str = "gs_resident_bytes";
/// Bytes of frames sent to other entries, without the headers of WebSocket and TCP.
pub const PEER_SENT_BYTES_TOTAL: &str = "gs_peer_sent_bytes_total";
/// Bytes of frames received from other entries, without the headers of WebSocket and TCP.
pub const PEER_RECEIVED_BYTES_TOTAL: &str = "gs_peer_received_bytes_total";
/// Frames sent to other entries.
pub const PEER_SENT_FRAMES_TOTAL: &str = "gs_peer_sent_frames_total";
/// Bytes of the response bodies of engine polls.
pub const ENGINE_POLL_BYTES_TOTAL: &str = "gs_engine_poll_bytes_total";
/// Engine polls that were answered.
pub const ENGINE_POLLS_TOTAL: &str = "gs_engine_polls_total";

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_SECONDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0,
    10.0,
];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of this process.
pub fn install_recorder() -> Result<(), BuildError> {
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), BUCKET_SECONDS)?
        .install_recorder()?;
    // If it was installed before, the first recorder stays.
    let _ = RECORDER.set(handle);
    Ok(())
}

/// Renders all metrics in the Prometheus text format.
pub fn render() -> String {
    RECORDER
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}

/// Moves recorded values into the buckets, so that memory stays bounded between two reads.
pub fn run_maintenance() {
    if let Some(handle) = RECORDER.get() {
        handle.run_upkeep();
    }
}

/// Handles for the metrics of one caller.
#[derive(Clone)]
pub struct CallerMetrics {
    /// [`FIRST_TOKEN_SECONDS`]
    pub first_token: Histogram,
    /// [`BETWEEN_TOKENS_SECONDS`]
    pub between_tokens: Histogram,
    /// [`QUEUE_WAIT_SECONDS`]
    pub queue_wait: Histogram,
    /// [`ANSWERS_TOTAL`]
    pub answers: Counter,
}

impl CallerMetrics {
    /// Creates the handles for a caller and its rank.
    pub fn new(caller: &CallerName, rank: CallerRank) -> Self {
        let caller = caller.as_str().to_owned();
        let rank = rank.label();
        let histogram_of =
            |name: &'static str| histogram!(name, "caller" => caller.clone(), "rank" => rank);
        Self {
            first_token: histogram_of(FIRST_TOKEN_SECONDS),
            between_tokens: histogram_of(BETWEEN_TOKENS_SECONDS),
            queue_wait: histogram_of(QUEUE_WAIT_SECONDS),
            answers: counter!(ANSWERS_TOTAL, "caller" => caller.clone(), "rank" => rank),
        }
    }
}

/// Counts a frame sent to another entry.
pub fn count_sent_frame(bytes: usize) {
    counter!(PEER_SENT_FRAMES_TOTAL).increment(1);
    counter!(PEER_SENT_BYTES_TOTAL).increment(bytes as u64);
}

/// Counts a frame received from another entry.
pub fn count_received_frame(bytes: usize) {
    counter!(PEER_RECEIVED_BYTES_TOTAL).increment(bytes as u64);
}

/// Counts an answered engine poll.
pub fn count_engine_poll(bytes: usize) {
    counter!(ENGINE_POLLS_TOTAL).increment(1);
    counter!(ENGINE_POLL_BYTES_TOTAL).increment(bytes as u64);
}

/// Counts a refusal.
pub fn count_refusal(caller: Option<&CallerName>, reason: RefusalReason) {
    let caller = caller.map_or("none", CallerName::as_str).to_owned();
    counter!(REFUSALS_TOTAL, "caller" => caller, "reason" => reason.label()).increment(1);
}
