//! Command-line options of the soak.

use std::time::Duration;

use bpaf::Bpaf;

/// Options of a soak.
#[derive(Bpaf, Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the faults and of the callers' choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Minutes of planned faults; start, healing and final checks take additional time
    #[bpaf(argument("MINUTES"), fallback(3.0), display_fallback)]
    pub minutes: f64,
    /// Number of concurrent callers, each sending one request at a time
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    pub callers: u64,
    /// Milliseconds beyond the guaranteed time after which leaving servers must get no new work
    #[bpaf(argument("MS"), fallback(1_000), display_fallback)]
    pub leave_slack_ms: u64,
    /// Print the planned faults without running them
    pub plan_only: bool,
}

impl SoakOptions {
    /// The planned duration of the faults.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.minutes.clamp(0.0, 10_000.0) * 60.0)
    }
}
