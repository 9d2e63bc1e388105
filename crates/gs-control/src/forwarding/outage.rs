//! When an entry calls the registry again after failed calls.
//!
//! Every call of every entry costs the registry something, most of all while it is in trouble. So only
//! one of an entry's readers probes it, and the larger the fleet, the less often the entry probes,
//! except for the exact readers. Entries tell each other when an outage has ended; but no entry
//! depends on that, since each keeps probing.

use std::time::Duration;

use super::freshness::RegistryView;

/// Consecutive failures that count as an outage. One is not enough, as a waiting read may be
/// disconnected at any time.
const OUTAGE_FAILURES: u32 = 2;

/// Minimum fraction of a delay that is waited, so that entries do not call at the same moment.
const MIN_DELAY_FRACTION: f64 = 0.5;

/// Delays between calls to a registry that does not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutageSettings {
    /// Delay after the first failure; doubles with each further one.
    pub min_delay: Duration,
    /// Maximum delay of an exact reader, and of entries of small fleets.
    pub max_delay: Duration,
    /// Time added to the delay of an entry for each entry of the fleet.
    pub delay_per_entry: Duration,
    /// Maximum delay in fleets of any size. The registry's return must be noticed by the entry itself
    /// within it.
    pub max_fleet_delay: Duration,
    /// Delay of a reader that waits for the prober of its entry.
    pub waiting_delay: Duration,
}

impl Default for OutageSettings {
    fn default() -> Self {
        Self {
            min_delay: Duration::from_millis(60),
            max_delay: Duration::from_millis(500),
            delay_per_entry: Duration::from_millis(10),
            max_fleet_delay: Duration::from_secs(2),
            waiting_delay: Duration::from_secs(10),
        }
    }
}

/// What an entry knows of the fleet when a call fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeRole {
    /// Whether the entry is one of the exact readers.
    pub is_exact_reader: bool,
    /// Number of entries in the fleet.
    pub entries: u32,
}

/// The failures of an entry's calls to the registry since its last answer.
#[derive(Clone, Debug, Default)]
pub struct OutageTracker {
    settings: OutageSettings,
    /// The reader that failed first, which probes for all.
    prober: Option<RegistryView>,
    /// Failures of the prober.
    probes: u32,
}

impl OutageTracker {
    /// Creates the tracker of a registry that answers.
    pub fn new(settings: OutageSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns whether the registry does not answer.
    pub fn is_outage(&self) -> bool {
        self.probes >= OUTAGE_FAILURES
    }

    /// Returns the reader that probes, if calls have failed since the last answer.
    pub fn prober(&self) -> Option<RegistryView> {
        self.prober
    }

    /// Records a failed call of a reader, with the number of its calls that failed in a row. Returns
    /// the time until its next call, unless another reader gets an answer before; `random` is from 0
    /// (inclusive) to 1 (exclusive).
    pub fn record_failure(
        &mut self,
        reader: RegistryView,
        failures: u32,
        role: ProbeRole,
        random: f64,
    ) -> Duration {
        let delay = match *self.prober.get_or_insert(reader) == reader {
            true => self.next_probe(role).max(self.doubled_delay(failures)),
            false => self.settings.waiting_delay,
        };
        delay.mul_f64(MIN_DELAY_FRACTION + (1.0 - MIN_DELAY_FRACTION) * random)
    }

    fn next_probe(&mut self, role: ProbeRole) -> Duration {
        let settings = self.settings;
        self.probes = self.probes.saturating_add(1);
        let fleet_delay = settings.delay_per_entry * role.entries;
        match self.is_outage() && !role.is_exact_reader && fleet_delay > settings.max_delay {
            true => fleet_delay.min(settings.max_fleet_delay),
            false => self.doubled_delay(self.probes),
        }
    }

    fn doubled_delay(&self, failures: u32) -> Duration {
        let doubled = self.settings.min_delay * 2_u32.pow(failures.clamp(1, 6) - 1);
        doubled.min(self.settings.max_delay)
    }

    /// Records an answer; returns whether calls had failed before it, and whether it ends an outage.
    pub fn record_answer(&mut self) -> Recovery {
        let recovery = match (self.prober, self.is_outage()) {
            (None, _) => Recovery::None,
            (Some(_), false) => Recovery::OfCall,
            (Some(_), true) => Recovery::OfRegistry,
        };
        *self = Self::new(self.settings);
        recovery
    }
}

/// What an answer of the registry ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recovery {
    /// Nothing: the call before was answered as well.
    None,
    /// A failure of single calls.
    OfCall,
    /// An outage.
    OfRegistry,
}
