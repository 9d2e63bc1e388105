//! The metrics of the daemon, and the recorder that exports them as text.

use std::sync::OnceLock;
use std::time::Duration;

use gs_protocol::admin::AdminReason;
use metrics::counter;
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// Number of refused administration calls by route and reason.
const REFUSALS_TOTAL: &str = "gs_admin_refusals_total";
/// Number of accepted documents by environment.
const ACCEPTED_TOTAL: &str = "gs_admin_accepted_total";
/// Number of history records that were found missing.
const HISTORY_GAPS_TOTAL: &str = "gs_admin_history_gaps_total";
/// Number of calls to the platform's service in each operation that accepts a document.
const OPERATION_CALLS: &str = "gs_admin_operation_calls";
/// Duration in seconds of an operation that accepts a document.
const OPERATION_SECONDS: &str = "gs_admin_operation_seconds";

/// Upper bounds of the buckets of [`OPERATION_CALLS`].
const CALL_BUCKETS: &[f64] = &[3.0, 4.0, 5.0, 6.0, 8.0, 10.0, 15.0];
/// Upper bounds of the buckets of [`OPERATION_SECONDS`].
const SECOND_BUCKETS: &[f64] = &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Installs the metrics recorder of this process, or returns the one that is already installed.
pub fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    if let Some(handle) = RECORDER.get() {
        return Ok(handle.clone());
    }
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Full(OPERATION_CALLS.to_owned()), CALL_BUCKETS)?
        .set_buckets_for_metric(Matcher::Full(OPERATION_SECONDS.to_owned()), SECOND_BUCKETS)?
        .install_recorder()?;
    Ok(RECORDER.get_or_init(|| handle).clone())
}

/// Counts a refused call.
pub fn count_refusal(route: String, reason: AdminReason) {
    counter!(REFUSALS_TOTAL, "route" => route, "reason" => reason.label()).increment(1);
}

/// Counts an accepted document.
pub fn count_accepted(environment: &str) {
    counter!(ACCEPTED_TOTAL, "environment" => environment.to_owned()).increment(1);
}

/// Counts missing history records.
pub fn count_history_gaps(missing: u64) {
    counter!(HISTORY_GAPS_TOTAL).increment(missing);
}

/// Records the number of calls and the duration of an operation.
pub fn record_operation(calls: u32, elapsed: Duration) {
    metrics::histogram!(OPERATION_CALLS).record(f64::from(calls));
    metrics::histogram!(OPERATION_SECONDS).record(elapsed.as_secs_f64());
}
