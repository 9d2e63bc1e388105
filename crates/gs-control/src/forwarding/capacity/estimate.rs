//! The estimate of one start of a server.

use std::time::{Duration, Instant};

use super::effect::LearnedEffect;
use super::samples::LoadHalf;

/// Half-life of samples while a server is observed. Neighbours that slow a server for 0.6 s at a time
/// average out over it.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Half-life of an estimate while a server is not observed.
const IDLE_HALF_LIFE: Duration = Duration::from_secs(30);

/// Minimum fraction of the older weight that remains with a new sample. A single sample after a
/// pause must not replace the estimate.
const MIN_KEPT_FRACTION: f64 = 0.7;

/// Mean of the samples of one half of the load range, with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingMean {
    sum: f64,
    weight: f64,
    updated_at: Instant,
}

impl DecayingMean {
    fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            weight: 0.0,
            updated_at: now,
        }
    }

    /// Adds a sample, clipped to what is at most `max_step` from the agreed value or, if the server is
    /// taken for usual, from the mean so far. The mean therefore stays near the most frequent values.
    fn add(&mut self, now: Instant, value: f64, agreed: f64, max_step: f64) {
        let center = match agreed == 0.0 && self.weight > 0.0 {
            true => self.sum / self.weight,
            false => agreed,
        };
        let value = value.clamp(center - max_step, center + max_step);
        let kept = decay(now, self.updated_at, HALF_LIFE).max(MIN_KEPT_FRACTION);
        self.sum = self.sum * kept + value;
        self.weight = self.weight * kept + 1.0;
        self.updated_at = now;
    }

    /// Returns the mean and its weight at a time.
    fn evidence(&self, now: Instant) -> HalfEvidence {
        let weight = self.weight * decay(now, self.updated_at, IDLE_HALF_LIFE);
        let mean = match self.weight > 0.0 {
            true => self.sum / self.weight,
            false => 0.0,
        };
        HalfEvidence { mean, weight }
    }
}

fn decay(now: Instant, since: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(since);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Mean log slowness and the number of samples that it stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HalfEvidence {
    pub mean: f64,
    pub weight: f64,
}

impl HalfEvidence {
    /// Returns the evidence of both together.
    pub fn merged_with(self, other: Self) -> Self {
        let weight = self.weight + other.weight;
        let sum = self.mean * self.weight + other.mean * other.weight;
        let mean = if weight > 0.0 { sum / weight } else { 0.0 };
        Self { mean, weight }
    }

    /// Returns by how many standard deviations the mean differs from 0.
    pub fn significance(self, deviation: f64) -> f64 {
        self.mean.abs() * self.weight.sqrt() / deviation
    }

    /// Returns the mean, pulled toward 0 as if `prior` usual samples had been observed.
    pub fn shrunk(self, prior: f64) -> f64 {
        self.mean * self.weight / (self.weight + prior)
    }

    fn shifted(self, by: f64) -> Self {
        Self {
            mean: self.mean - by,
            ..self
        }
    }
}

/// Evidence on one start of a server, by the halves of its load range.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct StartEvidence {
    pub low: HalfEvidence,
    pub high: HalfEvidence,
}

impl StartEvidence {
    /// Returns the evidence over the whole load range.
    pub fn whole(self) -> HalfEvidence {
        self.low.merged_with(self.high)
    }

    /// Returns the evidence of both together.
    pub fn merged_with(self, other: Self) -> Self {
        Self {
            low: self.low.merged_with(other.low),
            high: self.high.merged_with(other.high),
        }
    }

    /// Returns the largest significance of a half or the whole.
    pub fn significance(self, deviation: f64) -> f64 {
        let parts = [self.low, self.high, self.whole()];
        let significances = parts.map(|part| part.significance(deviation));
        significances.into_iter().fold(0.0, f64::max)
    }

    /// Returns the largest difference from a usual server, of the halves that were observed.
    pub fn largest_difference(self) -> f64 {
        let observed = [self.low, self.high].into_iter();
        let observed = observed.filter(|half| half.weight >= 1.0);
        observed.map(|half| half.mean.abs()).fold(0.0, f64::max)
    }
}

/// What is known of one start of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerEstimate {
    /// Identifies the start.
    pub start: u32,
    low: DecayingMean,
    high: DecayingMean,
    /// Own evidence relative to the service, as of the last refresh.
    pub aligned: StartEvidence,
    /// Agreed log slowness in the lower half and over the whole load range; 0 for usual servers.
    pub agreed: [f64; 2],
    /// Since when the server is taken to differ, so that all entries report their evidence.
    pub in_question_since: Option<Instant>,
    /// Whether a peer asks for evidence.
    pub is_asked: bool,
    pub effect: LearnedEffect,
}

impl ServerEstimate {
    pub fn new(now: Instant, start: u32) -> Self {
        Self {
            start,
            low: DecayingMean::new(now),
            high: DecayingMean::new(now),
            aligned: StartEvidence::default(),
            agreed: [0.0; 2],
            in_question_since: None,
            is_asked: false,
            effect: LearnedEffect::USUAL,
        }
    }

    /// Returns the agreed log slowness in a half of the load range.
    pub fn agreed_in(&self, half: LoadHalf) -> f64 {
        match half {
            LoadHalf::Low => self.agreed[0],
            LoadHalf::High => self.agreed[1],
        }
    }

    /// Adds the log slowness of one sample, clipped by `max_step`.
    pub fn add(&mut self, now: Instant, half: LoadHalf, slowness: f64, max_step: f64) {
        let agreed = self.agreed_in(half);
        match half {
            LoadHalf::Low => self.low.add(now, slowness, agreed, max_step),
            LoadHalf::High => self.high.add(now, slowness, agreed, max_step),
        }
    }

    /// Returns own evidence relative to this entry's load curves.
    pub fn own_evidence(&self, now: Instant) -> StartEvidence {
        StartEvidence {
            low: self.low.evidence(now),
            high: self.high.evidence(now),
        }
    }

    /// Updates the evidence that is reported, given the mean difference of this entry's curves from
    /// the agreed estimates.
    pub fn align(&mut self, now: Instant, offset: f64) {
        let evidence = self.own_evidence(now);
        self.aligned = StartEvidence {
            low: evidence.low.shifted(offset),
            high: evidence.high.shifted(offset),
        };
    }
}
