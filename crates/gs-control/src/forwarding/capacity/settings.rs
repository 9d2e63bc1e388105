//! Constants of the estimates.

use std::time::Duration;

/// Constants of the estimates. Log slowness is the natural logarithm of the time for a unit of work,
/// relative to the median of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySettings {
    /// Log slowness from which a server counts as differing from its service.
    pub enter_band: f64,
    /// Log slowness below which such a server counts as usual again.
    pub leave_band: f64,
    /// Difference of the log slowness between the halves of the load range from which the upper half
    /// is not used.
    pub enter_knee: f64,
    /// Difference below which the upper half is used again.
    pub leave_knee: f64,
    /// Maximum difference of one sample from the mean of its server; larger ones are clipped. A
    /// neighbour that slows a server to 1/2.5 then counts for 0.3, not for 0.9.
    pub max_step: f64,
    /// Number of usual samples that an estimate starts with.
    pub prior_weight: f64,
    /// Minimum number of samples of all entries behind an effect.
    pub min_weight: f64,
    /// Standard deviation of a sample.
    pub sample_deviation: f64,
    /// Significance from which an entry reports evidence on its own.
    pub report_significance: f64,
    /// Significance of the reported evidence from which all entries report theirs.
    pub question_significance: f64,
    /// Minimum log slowness that is reported or makes all entries report.
    pub question_band: f64,
    /// Time for which a server must be in question before it has an effect, so that all entries have
    /// reported and not only those whose samples differ most.
    pub question_period: Duration,
    /// Time for which a server must be in question before half of its slots are not used. That costs more
    /// than a wrong speed.
    pub knee_period: Duration,
    /// Age at which the evidence of a peer expires.
    pub peer_lifetime: Duration,
    /// Half-life of the weight of a peer's evidence.
    pub peer_half_life: Duration,
    /// Minimum time between two refreshes.
    pub refresh_interval: Duration,
    /// Maximum number of servers in a report.
    pub max_reported: usize,
    /// Fraction of the decisions that ignore the estimates, so that avoided servers are observed.
    pub probe_fraction: f64,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            enter_band: 0.25,
            leave_band: 0.15,
            enter_knee: 0.5,
            leave_knee: 0.3,
            max_step: 0.3,
            prior_weight: 6.0,
            min_weight: 8.0,
            sample_deviation: 0.2,
            report_significance: 2.5,
            question_significance: 6.0,
            question_band: 0.15,
            question_period: Duration::from_secs(3),
            knee_period: Duration::from_secs(10),
            peer_lifetime: Duration::from_secs(10),
            peer_half_life: Duration::from_secs(5),
            refresh_interval: Duration::from_millis(500),
            max_reported: 64,
            probe_fraction: 0.02,
        }
    }
}
