//! The command line of the soak.

use std::time::Duration;

use bpaf::Bpaf;

/// What a soak does.
#[derive(Bpaf, Clone, Debug)]
pub struct SoakOptions {
    /// Determines the faults and the callers' choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Minutes of planned faults; starting, healing and checking come on top
    #[bpaf(argument("MINUTES"), fallback(3.0), display_fallback)]
    pub minutes: f64,
    /// Callers that send one request after the other
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    pub callers: u64,
    /// Milliseconds beyond the stated time that a server's leaving may take to be noticed
    #[bpaf(argument("MS"), fallback(1_000), display_fallback)]
    pub leave_slack_ms: u64,
    /// Print the planned faults and end
    pub plan_only: bool,
}

impl SoakOptions {
    /// The time for which faults are planned.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.minutes.clamp(0.0, 10_000.0) * 60.0)
    }
}
