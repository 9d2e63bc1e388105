//! Plans the faults of a soak from its seed alone.

use std::fmt;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deployment::{ENGINE_SLOTS, ENTRY_SLOTS, SERVICE_SLOTS};

/// How long a fault is in force, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 800..4_500;

/// How long a leaving server stays out of use, in milliseconds: beyond the stated 2 s.
const LEAVE_HOLD_MS: std::ops::Range<u64> = 5_500..8_000;

/// Between the end of a fault and the next, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 200..2_000;

/// Between the two times of a fault that comes twice in a row, in milliseconds.
const REPEAT_GAP_MS: std::ops::Range<u64> = 20..600;

/// What kind of fault is brought about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// Cancels are lost, and the engine doesn't notice gone clients.
    CancelsLost,
    /// A document is accepted.
    DocumentAccepted,
    /// An engine is killed, and another takes its place.
    EngineKilled,
    /// An engine is stopped and continued.
    EnginePaused,
    /// An engine says that it is leaving.
    EngineLeaving,
    /// An engine takes requests and answers none.
    EngineSilent,
    /// An engine is slower by a factor.
    EngineSlow,
    /// An entry is killed and started again under its name.
    EntryKilled,
    /// An entry is stopped and continued.
    EntryPaused,
    /// An entry ends gracefully, and another takes its place.
    EntryTerminated,
    /// Answers of writes of the platform are lost.
    PlatformAnswersLost,
    /// The platform closes all connections.
    PlatformCloses,
    /// The platform refuses all calls.
    PlatformRefuses,
    /// The platform answers no call.
    PlatformSilent,
    /// The platform is slow.
    PlatformSlow,
    /// An operator drains a server.
    ServerDrained,
    /// The VM list says that a server is leaving.
    ServerListedLeaving,
    /// A service runs calls and closes the connection without an answer.
    ServiceAnswersLost,
    /// A service says that it does not run calls.
    ServiceRunsNothing,
    /// A service answers no call.
    ServiceSilent,
    /// An engine breaks its streams.
    StreamsCut,
    /// Transfers from a prefill engine do not end.
    TransfersStalled,
}

/// Every kind.
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

/// What a fault happens to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultPlace {
    Engine,
    Entry,
    Platform,
    Service,
}

impl FaultKind {
    fn place(self) -> FaultPlace {
        match self {
            Self::CancelsLost | Self::EngineKilled | Self::EnginePaused => FaultPlace::Engine,
            Self::EngineLeaving | Self::EngineSilent | Self::EngineSlow => FaultPlace::Engine,
            Self::ServerDrained | Self::ServerListedLeaving => FaultPlace::Engine,
            Self::StreamsCut | Self::TransfersStalled => FaultPlace::Engine,
            Self::EntryKilled | Self::EntryPaused | Self::EntryTerminated => FaultPlace::Entry,
            Self::DocumentAccepted | Self::PlatformAnswersLost => FaultPlace::Platform,
            Self::PlatformCloses | Self::PlatformRefuses => FaultPlace::Platform,
            Self::PlatformSilent | Self::PlatformSlow => FaultPlace::Platform,
            Self::ServiceAnswersLost | Self::ServiceRunsNothing => FaultPlace::Service,
            Self::ServiceSilent => FaultPlace::Service,
        }
    }

    /// Whether it takes a server out of use.
    pub fn is_leaving(self) -> bool {
        matches!(
            self,
            Self::EngineLeaving | Self::ServerDrained | Self::ServerListedLeaving
        )
    }

    /// Whether entries cannot see the signs that come through the platform.
    pub fn hides_signs(self) -> bool {
        matches!(
            self,
            Self::PlatformCloses | Self::PlatformRefuses | Self::PlatformSilent
        )
    }

    /// Whether it is a fault of the platform.
    pub fn is_platform_fault(self) -> bool {
        self.place() == FaultPlace::Platform && self != Self::DocumentAccepted
    }
}

/// One fault at one place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// What happens.
    pub kind: FaultKind,
    /// To which entry, engine or service, from 0.
    pub slot: usize,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.kind)?;
        match self.kind.place() {
            FaultPlace::Engine => write!(formatter, " at engine {}", self.slot),
            FaultPlace::Entry => write!(formatter, " at entry {}", self.slot),
            FaultPlace::Platform => Ok(()),
            FaultPlace::Service => write!(formatter, " at service {}", self.slot),
        }
    }
}

/// Faults that are brought about together, once or twice in a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultStep {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// How long they are in force.
    pub hold: Duration,
    /// Until the second time, if they come twice.
    pub again_after: Option<Duration>,
    /// Until the next step.
    pub gap: Duration,
}

impl FaultStep {
    fn duration(&self) -> Duration {
        let again = self
            .again_after
            .map_or(Duration::ZERO, |pause| pause + self.hold);
        self.hold + again + self.gap
    }
}

impl fmt::Display for FaultStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.faults.iter().map(ToString::to_string).collect();
        write!(formatter, "{} for {:?}", names.join(" and "), self.hold)?;
        if let Some(pause) = self.again_after {
            write!(formatter, ", again after {pause:?}")?;
        }
        write!(formatter, ", then {:?}", self.gap)
    }
}

/// Plans steps until their times reach a total.
pub fn plan_faults(seed: u64, total: Duration) -> Vec<FaultStep> {
    let mut planner = FaultPlanner {
        random: Pcg64Mcg::seed_from_u64(seed),
        deck: Vec::new(),
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
    deck: Vec<FaultKind>,
}

impl FaultPlanner {
    fn next_step(&mut self) -> FaultStep {
        let mut faults = vec![self.next_fault(None)];
        let form = self.random.gen_range(0..4);
        if form == 0 {
            let second = self.next_fault(Some(faults[0]));
            faults.push(second);
        }
        let leaving = faults.iter().any(|fault| fault.kind.is_leaving());
        let hold = if leaving { LEAVE_HOLD_MS } else { HOLD_MS };
        let again_after = (form == 1).then(|| self.draw_ms(REPEAT_GAP_MS));
        FaultStep {
            faults,
            hold: self.draw_ms(hold),
            again_after,
            gap: self.draw_ms(GAP_MS),
        }
    }

    /// Draws from a shuffled deck, so that every kind comes.
    fn next_fault(&mut self, beside: Option<PlannedFault>) -> PlannedFault {
        if self.deck.is_empty() {
            self.deck = KINDS.to_vec();
            self.deck.shuffle(&mut self.random);
        }
        let kind = self.deck.pop().unwrap_or(FaultKind::EntryKilled);
        let slots = match kind {
            FaultKind::TransfersStalled => 0..2,
            FaultKind::StreamsCut | FaultKind::ServerDrained => 2..ENGINE_SLOTS,
            _ => match kind.place() {
                FaultPlace::Engine => 0..ENGINE_SLOTS,
                FaultPlace::Entry => 0..ENTRY_SLOTS,
                FaultPlace::Platform => 0..1,
                FaultPlace::Service => 0..SERVICE_SLOTS,
            },
        };
        let taken = beside
            .filter(|other| other.kind.place() == kind.place() && slots.len() > 1)
            .map(|other| other.slot);
        let free: Vec<_> = slots.filter(|slot| Some(*slot) != taken).collect();
        let slot = free[self.random.gen_range(0..free.len())];
        PlannedFault { kind, slot }
    }

    fn draw_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.gen_range(range))
    }
}
