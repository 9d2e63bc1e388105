//! Report of a soak.

use std::fmt;

use super::journal::{SoakJournal, Violation};

/// The counts and violations of a finished soak.
#[derive(Debug)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// The number of steps of the schedule.
    pub steps: usize,
    journal: SoakJournal,
}

impl SoakReport {
    /// Creates the report of a journal.
    pub fn new(seed: u64, steps: usize, journal: SoakJournal) -> Self {
        Self {
            seed,
            steps,
            journal,
        }
    }

    /// The violated invariants, in order of time.
    pub fn violations(&self) -> &[Violation] {
        &self.journal.violations
    }

    /// Requests by kind and outcome.
    pub fn requests(&self) -> impl Iterator<Item = (&'static str, &str, u64)> {
        let counts = self.journal.requests.iter();
        counts.map(|((kind, outcome), count)| (*kind, outcome.as_str(), *count))
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}, {} steps", self.seed, self.steps)?;
        writeln!(
            formatter,
            "\n{:<28} {:>7} {:>8}",
            "fault", "done", "skipped"
        )?;
        for (kind, count) in &self.journal.faults {
            let kind = format!("{kind:?}");
            writeln!(
                formatter,
                "{kind:<28} {:>7} {:>8}",
                count.done, count.skipped
            )?;
        }
        writeln!(
            formatter,
            "\n{:<22} {:<34} {:>7}",
            "request", "outcome", "count"
        )?;
        for (kind, outcome, count) in self.requests() {
            writeln!(formatter, "{kind:<22} {outcome:<34} {count:>7}")?;
        }
        writeln!(formatter, "\n{:<57} {:>7}", "check", "count")?;
        for (check, count) in &self.journal.checks {
            writeln!(formatter, "{check:<57} {count:>7}")?;
        }
        for (check, count) in &self.journal.skipped_checks {
            writeln!(formatter, "{:<57} {count:>7}", format!("not made: {check}"))?;
        }
        writeln!(formatter, "\nviolations: {}", self.violations().len())?;
        for violation in self.violations() {
            write!(formatter, "{violation}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let after_s = self.after.as_secs_f64();
        writeln!(
            formatter,
            "{after_s:.3} s, {:?}: {}",
            self.invariant, self.detail
        )?;
        for event in &self.events {
            writeln!(formatter, "    {event}")?;
        }
        Ok(())
    }
}
