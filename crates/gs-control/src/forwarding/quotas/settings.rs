//! Settings of the quotas.

use std::time::Duration;

/// The rule that quotas are held to, and the times that the fleet needs to agree.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window in which the cost of a workspace is bounded.
    pub window: Duration,
    /// Permitted overrun, as a fraction of what the quota allows in a window.
    pub overage: f64,
    /// Permitted overrun in addition, in tokens or requests.
    pub slack: f64,
    /// Time in which a report of a peer usually arrives.
    pub propagation: Duration,
    /// How long a workspace is reported after its last request.
    pub report_period: Duration,
    /// How long a peer that is listed no longer is still expected to admit requests: it may not know.
    pub unlisted_grace: Duration,
    /// Minimum time after which a refused request may be sent again.
    pub min_retry: Duration,
    /// Maximum time after which a refused request may be sent again.
    pub max_retry: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.1,
            slack: 0.0,
            propagation: Duration::from_millis(250),
            report_period: Duration::from_secs(10),
            unlisted_grace: Duration::from_secs(5),
            min_retry: Duration::from_millis(100),
            max_retry: Duration::from_secs(5),
        }
    }
}
