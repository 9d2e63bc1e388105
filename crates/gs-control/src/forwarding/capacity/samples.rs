//! Observed work of servers, and the mean cost of work by load that it is compared with.

use std::time::Duration;

/// Prompts with fewer tokens are ignored, because fixed costs dominate their time.
const MIN_PROMPT_TOKENS: u64 = 256;

/// Number of points of a load curve.
const POINT_COUNT: usize = 16;

/// Points of a load curve for each multiple of a server's slots.
const POINTS_PER_SLOTS: f64 = 8.0;

/// Samples that set up a point of a curve. Nothing is compared with a point that has fewer.
const MIN_POINT_SAMPLES: u32 = 8;

/// Minimum weight of the newest sample in a point of a curve.
const NEWEST_WEIGHT: f64 = 0.02;

/// Maximum difference from a curve by which one sample moves it, as a natural logarithm.
const MAX_CURVE_STEP: f64 = 0.3;

/// Queued prompts that count as half of the load of a prefill engine.
const QUEUED_PROMPTS: f64 = 8.0;

/// Work that a server has completed successfully.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkSample {
    /// Events of a stream.
    Decode {
        /// Mean time between two events.
        gap: Duration,
        /// Streams that run at the engine.
        running: u32,
    },
    /// A plain request.
    Plain {
        /// Time from sending until the answer, without the way.
        took: Duration,
        /// Other requests that were in flight at the server when this one was sent.
        in_flight: u32,
    },
    /// A prefill.
    Prefill {
        /// Time from sending until the answer, without the way.
        took: Duration,
        /// Tokens of the prompt.
        tokens: u64,
        /// Prompt tokens that were queued at the engine when this one was sent.
        queued: u64,
    },
}

/// The kind of a sample. Only samples of one kind are compared.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum SampleKind {
    Decode,
    Plain,
    Prefill,
}

/// Half of the load range of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LoadHalf {
    Low,
    High,
}

impl WorkSample {
    pub(super) fn kind(&self) -> SampleKind {
        match self {
            Self::Decode { .. } => SampleKind::Decode,
            Self::Plain { .. } => SampleKind::Plain,
            Self::Prefill { .. } => SampleKind::Prefill,
        }
    }

    /// Returns the natural logarithm of the time for a unit of work; `None` if the sample says
    /// nothing about the server.
    pub(super) fn log_cost(&self) -> Option<f64> {
        let seconds = match *self {
            Self::Decode { gap, .. } => gap.as_secs_f64(),
            Self::Plain { took, .. } => took.as_secs_f64(),
            Self::Prefill { tokens, .. } if tokens < MIN_PROMPT_TOKENS => return None,
            Self::Prefill {
                took,
                tokens,
                queued,
            } => took.as_secs_f64() / (tokens + queued) as f64,
        };
        (seconds > 0.0).then(|| seconds.ln())
    }

    /// Returns the load of the server, as a multiple of its slots.
    fn load(&self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        match *self {
            Self::Decode { running, .. } => f64::from(running.saturating_sub(1)) / slots,
            Self::Plain { in_flight, .. } => f64::from(in_flight) / slots,
            Self::Prefill { tokens, queued, .. } => {
                queued as f64 / (tokens.max(1) as f64 * QUEUED_PROMPTS * 2.0)
            }
        }
    }

    /// Returns the half of the load range. Prefills run one after another, so their load does not
    /// slow them.
    pub(super) fn half(&self, slots: u32) -> LoadHalf {
        match self.kind() {
            SampleKind::Prefill => LoadHalf::Low,
            SampleKind::Decode | SampleKind::Plain if self.load(slots) < 0.5 => LoadHalf::Low,
            SampleKind::Decode | SampleKind::Plain => LoadHalf::High,
        }
    }

    /// Returns the index of the point of a curve that the sample belongs to.
    pub(super) fn point(&self, slots: u32) -> usize {
        ((self.load(slots) * POINTS_PER_SLOTS) as usize).min(POINT_COUNT - 1)
    }
}

/// Mean cost at one load.
#[derive(Clone, Copy, Debug, Default)]
struct CurvePoint {
    mean: f64,
    samples: u32,
}

/// Mean log cost of the work of a usual server of a service, by load.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadCurve {
    points: [CurvePoint; POINT_COUNT],
}

impl LoadCurve {
    /// Adds a log cost from which the known difference of its server has been subtracted. Returns the
    /// mean before, once enough samples are known.
    pub(super) fn record(&mut self, point: usize, log_cost: f64) -> Option<f64> {
        let point = self.points.get_mut(point)?;
        let expected = (point.samples >= MIN_POINT_SAMPLES).then_some(point.mean);
        point.samples = point.samples.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(point.samples));
        let step = log_cost - point.mean;
        let step = match expected {
            Some(_) => step.clamp(-MAX_CURVE_STEP, MAX_CURVE_STEP),
            None => step,
        };
        point.mean += weight * step;
        expected
    }
}
