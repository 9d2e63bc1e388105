//! Plans the faults of a soak; the plan depends only on the seed and the length.

use std::fmt;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deployment::{ENGINE_SLOTS, ENTRY_SLOTS, SERVICE_SLOTS};

/// Duration of a fault, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 800..4_500;

/// How long a server stays in the leaving state, in milliseconds: longer than the 2 s within which
/// leaving must take effect.
const LEAVE_HOLD_MS: std::ops::Range<u64> = 5_500..8_000;

/// Pause between the end of a step and the next one, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 200..2_000;

/// Pause between the two injections of a repeated step, in milliseconds.
const REPEAT_GAP_MS: std::ops::Range<u64> = 20..600;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// An engine loses cancels and ignores disconnects of its clients.
    CancelsLost,
    /// A new document is accepted; the plan counts this as a fault.
    DocumentAccepted,
    /// An engine is killed and replaced by another.
    EngineKilled,
    /// An engine is paused and continued.
    EnginePaused,
    /// An engine reports that it is leaving.
    EngineLeaving,
    /// An engine accepts requests but answers none.
    EngineSilent,
    /// An engine is slowed down by a factor.
    EngineSlow,
    /// An entry is killed and restarted under its name.
    EntryKilled,
    /// An entry is paused and continued.
    EntryPaused,
    /// An entry shuts down gracefully and is replaced by another.
    EntryTerminated,
    /// The platform loses answers to writes.
    PlatformAnswersLost,
    /// The platform closes all connections.
    PlatformCloses,
    /// The platform refuses all calls.
    PlatformRefuses,
    /// The platform answers no call.
    PlatformSilent,
    /// The platform answers slowly.
    PlatformSlow,
    /// An operator drains a server.
    ServerDrained,
    /// The VM list marks a server as leaving.
    ServerListedLeaving,
    /// A service runs calls and closes the connection without an answer.
    ServiceAnswersLost,
    /// A service refuses calls and reports that they did not run.
    ServiceRunsNothing,
    /// A service answers no call.
    ServiceSilent,
    /// An engine closes its streams before their end.
    StreamsCut,
    /// Transfers of KV cache from a prefill engine never finish.
    TransfersStalled,
}

/// All kinds of faults.
const KINDS: [FaultKind; 22] = [
    FaultKind::CancelsLost,
    FaultKind::DocumentAccepted,
    FaultKind::EngineKilled,
    FaultKind::EnginePaused,
    FaultKind::EngineLeaving,
    FaultKind::EngineSilent,
    FaultKind::EngineSlow,
    FaultKind::EntryKilled,
    FaultKind::EntryPaused,
    FaultKind::EntryTerminated,
    FaultKind::PlatformAnswersLost,
    FaultKind::PlatformCloses,
    FaultKind::PlatformRefuses,
    FaultKind::PlatformSilent,
    FaultKind::PlatformSlow,
    FaultKind::ServerDrained,
    FaultKind::ServerListedLeaving,
    FaultKind::ServiceAnswersLost,
    FaultKind::ServiceRunsNothing,
    FaultKind::ServiceSilent,
    FaultKind::StreamsCut,
    FaultKind::TransfersStalled,
];

/// The part of the deployment that a fault is injected into.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultTarget {
    Engine,
    Entry,
    Platform,
    Service,
}

impl FaultKind {
    fn target(self) -> FaultTarget {
        match self {
            Self::CancelsLost | Self::EngineKilled | Self::EnginePaused => FaultTarget::Engine,
            Self::EngineLeaving | Self::EngineSilent | Self::EngineSlow => FaultTarget::Engine,
            Self::ServerDrained | Self::ServerListedLeaving => FaultTarget::Engine,
            Self::StreamsCut | Self::TransfersStalled => FaultTarget::Engine,
            Self::EntryKilled | Self::EntryPaused | Self::EntryTerminated => FaultTarget::Entry,
            Self::DocumentAccepted | Self::PlatformAnswersLost => FaultTarget::Platform,
            Self::PlatformCloses | Self::PlatformRefuses => FaultTarget::Platform,
            Self::PlatformSilent | Self::PlatformSlow => FaultTarget::Platform,
            Self::ServiceAnswersLost | Self::ServiceRunsNothing => FaultTarget::Service,
            Self::ServiceSilent => FaultTarget::Service,
        }
    }

    /// Whether the fault makes a server leave.
    pub fn is_leaving(self) -> bool {
        matches!(
            self,
            Self::EngineLeaving | Self::ServerDrained | Self::ServerListedLeaving
        )
    }

    /// Whether entries cannot read leaving notices that are published on the platform.
    pub fn blocks_platform_reads(self) -> bool {
        matches!(
            self,
            Self::PlatformCloses | Self::PlatformRefuses | Self::PlatformSilent
        )
    }

    /// Whether the fault is injected into the platform.
    pub fn is_platform_fault(self) -> bool {
        self.target() == FaultTarget::Platform && self != Self::DocumentAccepted
    }
}

/// A fault of one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The slot of the entry, engine or service, from 0.
    pub slot: usize,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.kind)?;
        match self.kind.target() {
            FaultTarget::Engine => write!(formatter, " at engine {}", self.slot),
            FaultTarget::Entry => write!(formatter, " at entry {}", self.slot),
            FaultTarget::Platform => Ok(()),
            FaultTarget::Service => write!(formatter, " at service {}", self.slot),
        }
    }
}

/// Faults that are injected together, once or twice in a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultStep {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// How long the faults last.
    pub hold: Duration,
    /// Pause before the second injection; none if the step isn't repeated.
    pub repeat_after: Option<Duration>,
    /// Pause before the next step.
    pub gap: Duration,
}

impl FaultStep {
    fn duration(&self) -> Duration {
        let repeat = self
            .repeat_after
            .map_or(Duration::ZERO, |pause| pause + self.hold);
        self.hold + repeat + self.gap
    }
}

impl fmt::Display for FaultStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.faults.iter().map(ToString::to_string).collect();
        write!(formatter, "{} for {:?}", names.join(" and "), self.hold)?;
        if let Some(pause) = self.repeat_after {
            write!(formatter, ", again after {pause:?}")?;
        }
        write!(formatter, ", then {:?}", self.gap)
    }
}

/// Plans steps until the sum of their durations reaches `total`.
pub fn plan_faults(seed: u64, total: Duration) -> Vec<FaultStep> {
    let mut planner = FaultPlanner {
        random: Pcg64Mcg::seed_from_u64(seed),
        remaining_kinds: Vec::new(),
    };
    let (mut steps, mut planned) = (Vec::new(), Duration::ZERO);
    while planned < total {
        let step = planner.next_step();
        planned += step.duration();
        steps.push(step);
    }
    steps
}

struct FaultPlanner {
    random: Pcg64Mcg,
    remaining_kinds: Vec<FaultKind>,
}

impl FaultPlanner {
    fn next_step(&mut self) -> FaultStep {
        let mut faults = vec![self.next_fault(None)];
        let variant = self.random.gen_range(0..4);
        if variant == 0 {
            let second = self.next_fault(Some(faults[0]));
            faults.push(second);
        }
        let leaving = faults.iter().any(|fault| fault.kind.is_leaving());
        let hold = if leaving { LEAVE_HOLD_MS } else { HOLD_MS };
        let repeat_after = (variant == 1).then(|| self.draw_ms(REPEAT_GAP_MS));
        FaultStep {
            faults,
            hold: self.draw_ms(hold),
            repeat_after,
            gap: self.draw_ms(GAP_MS),
        }
    }

    /// Draws a kind without replacement until all have been used, so that every kind occurs. The
    /// slot differs from that of `other_fault`, a fault of the same step, if both have the same
    /// target and it has several slots.
    fn next_fault(&mut self, other_fault: Option<PlannedFault>) -> PlannedFault {
        if self.remaining_kinds.is_empty() {
            self.remaining_kinds = KINDS.to_vec();
            self.remaining_kinds.shuffle(&mut self.random);
        }
        let kind = self.remaining_kinds.pop().unwrap_or(FaultKind::EntryKilled);
        let slots = match kind {
            FaultKind::TransfersStalled => 0..2,
            FaultKind::StreamsCut | FaultKind::ServerDrained => 2..ENGINE_SLOTS,
            _ => match kind.target() {
                FaultTarget::Engine => 0..ENGINE_SLOTS,
                FaultTarget::Entry => 0..ENTRY_SLOTS,
                FaultTarget::Platform => 0..1,
                FaultTarget::Service => 0..SERVICE_SLOTS,
            },
        };
        let taken = other_fault
            .filter(|other| other.kind.target() == kind.target() && slots.len() > 1)
            .map(|other| other.slot);
        let free: Vec<_> = slots.filter(|slot| Some(*slot) != taken).collect();
        let slot = free[self.random.gen_range(0..free.len())];
        PlannedFault { kind, slot }
    }

    fn draw_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.gen_range(range))
    }
}
