//! The effect of an estimate on placement.

use std::cmp::Ordering;
use std::time::Duration;

use super::estimate::StartEvidence;
use super::settings::CapacitySettings;

/// Range of learned speeds.
const SPEED_RANGE: [f64; 2] = [0.25, 4.0];

/// Fraction of its slots that a server is sent if the upper half of its load range only slows it.
const KNEE_FRACTION: f64 = 0.5;

/// Evidence of all entries on a server in question.
#[derive(Clone, Copy, Debug)]
pub(super) struct MergedEvidence {
    pub evidence: StartEvidence,
    /// How long the server has been in question.
    pub age: Duration,
}

/// Effect of an estimate on placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LearnedEffect {
    pub speed: f64,
    pub slots_fraction: f64,
}

impl LearnedEffect {
    pub const USUAL: Self = Self {
        speed: 1.0,
        slots_fraction: 1.0,
    };
}

/// Whether a server is slow, usual or fast, and how many slots it has.
pub(super) fn class_of(effect: LearnedEffect) -> (Option<Ordering>, u64) {
    let speed = effect.speed.partial_cmp(&1.0);
    (speed, effect.slots_fraction.to_bits())
}

/// Whether a server slows down so much in the upper half of its load range that it is not used.
fn has_knee(
    settings: &CapacitySettings,
    before: LearnedEffect,
    MergedEvidence {
        evidence: StartEvidence { low, high },
        age,
    }: MergedEvidence,
) -> bool {
    let had_knee = before.slots_fraction < 1.0;
    let threshold = match had_knee {
        true => settings.leave_knee,
        false => settings.enter_knee,
    };
    let is_known = (had_knee || age >= settings.knee_period)
        && low.weight >= settings.min_weight
        && high.weight >= settings.min_weight;
    is_known && high.mean - low.mean >= threshold
}

/// Returns the log slowness in the lower and the upper half of the load range.
pub(super) fn agreed_slowness(
    settings: &CapacitySettings,
    before: LearnedEffect,
    merged: MergedEvidence,
) -> [f64; 2] {
    let prior = settings.prior_weight;
    let evidence = merged.evidence;
    match has_knee(settings, before, merged) {
        true => [evidence.low.shrunk(prior), evidence.high.shrunk(prior)],
        false => [evidence.whole().shrunk(prior); 2],
    }
}

/// Returns the effect of agreed estimates, given the one before.
pub(super) fn learned_effect(
    settings: &CapacitySettings,
    before: LearnedEffect,
    agreed: [f64; 2],
    merged: MergedEvidence,
) -> LearnedEffect {
    let [slowness, _] = agreed;
    let band = match before.speed == 1.0 {
        true => settings.enter_band,
        false => settings.leave_band,
    };
    let is_known = merged.evidence.whole().weight >= settings.min_weight;
    let [min_speed, max_speed] = SPEED_RANGE;
    let speed = match is_known && slowness.abs() >= band {
        true => (-slowness).exp().clamp(min_speed, max_speed),
        false => 1.0,
    };
    let slots_fraction = match has_knee(settings, before, merged) {
        true => KNEE_FRACTION,
        false => 1.0,
    };
    LearnedEffect {
        speed,
        slots_fraction,
    }
}
