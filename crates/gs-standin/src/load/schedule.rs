//! Plans Poisson arrivals before the run, so that slow answers don't delay later requests.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::mix::{ClassMix, FloodSpan, LoadMix, ServiceMix, SharedPrefix, TokenRange, TokenSpread};
use super::prompt::make_text;

/// A planned request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time of the request, from the start of the run.
    pub at: Duration,
    /// Index of the class or service in the mix.
    pub class: usize,
    /// The kind of request.
    pub kind: ArrivalKind,
}

/// The kind of request of an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ArrivalKind {
    /// A streamed completion.
    Completion(CompletionPlan),
    /// A call of a plain service; holds its seed, which is sent in the path or body.
    Call(u64),
}

/// The parameters of a planned completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompletionPlan {
    /// Seed of the part of the prompt that is not shared.
    pub seed: u64,
    /// Size of that part, in tokens.
    pub prompt_tokens: u32,
    /// Seed of the shared prefix, if there is one.
    pub prefix_seed: Option<u64>,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// The number of tokens after which the client disconnects, if it does.
    pub cancel_after: Option<u32>,
}

/// Plans all arrivals of a run, sorted by time.
pub fn plan_arrivals(mix: &LoadMix, seed: u64, length: Duration) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (class, class_mix) in mix.classes.iter().enumerate() {
        let mut random = class_random(seed, class as u64);
        for at in plan_times(&mut random, class_mix.rate_per_s, &class_mix.floods, length) {
            let kind = plan_completion(&mut random, class_mix, class);
            arrivals.push(Arrival { at, class, kind });
        }
    }
    for (class, service_mix) in mix.services.iter().enumerate() {
        arrivals.extend(plan_calls(service_mix, class, seed, length));
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Builds the prompt of a planned completion.
pub fn build_prompt(class: &ClassMix, plan: &CompletionPlan) -> String {
    let unshared = make_text(plan.seed, plan.prompt_tokens);
    match plan.prefix_seed {
        Some(prefix_seed) => make_text(prefix_seed, class.shared_prefix.tokens) + &unshared,
        None => unshared,
    }
}

/// Creates the random generator of one class. Services are numbered downwards from `u64::MAX`, so
/// that they get other generators than classes.
fn class_random(seed: u64, class: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(class))
}

fn plan_calls(
    service_mix: &ServiceMix,
    class: usize,
    seed: u64,
    length: Duration,
) -> impl Iterator<Item = Arrival> {
    let mut random = class_random(seed, u64::MAX - class as u64);
    let times = plan_times(
        &mut random,
        service_mix.rate_per_s,
        &service_mix.floods,
        length,
    );
    times.into_iter().map(move |at| {
        let kind = ArrivalKind::Call(random.r#gen());
        Arrival { at, class, kind }
    })
}

/// Draws arrival times by thinning: candidates arrive at the highest rate, and each is kept with a
/// probability of the rate at its time divided by the highest rate.
fn plan_times(
    random: &mut Pcg64Mcg,
    rate: f64,
    floods: &[FloodSpan],
    length: Duration,
) -> Vec<Duration> {
    let factors = floods.iter().map(|flood| flood.factor);
    let highest = rate * factors.fold(1.0, f64::max);
    let mut times = Vec::new();
    if highest <= 0.0 {
        return times;
    }
    let mut at = 0.0;
    loop {
        at -= (1.0 - random.r#gen::<f64>()).ln() / highest;
        if at >= length.as_secs_f64() {
            return times;
        }
        if random.r#gen::<f64>() * highest < rate_at(rate, floods, at) {
            times.push(Duration::from_secs_f64(at));
        }
    }
}

fn rate_at(rate: f64, floods: &[FloodSpan], at: f64) -> f64 {
    let flood = floods.iter().find(|flood| flood.contains(at));
    rate * flood.map_or(1.0, |flood| flood.factor)
}

fn plan_completion(random: &mut Pcg64Mcg, class_mix: &ClassMix, class: usize) -> ArrivalKind {
    let tokens = draw_size(random, class_mix.prompt_tokens);
    let prefix_seed = draw_prefix(random, class_mix.shared_prefix, class);
    let shared = prefix_seed.map_or(0, |_| class_mix.shared_prefix.tokens);
    let output_tokens = draw_size(random, class_mix.output_tokens).max(1);
    let cancelled = random.r#gen::<f64>() < class_mix.cancel_share;
    let cancel_after = random.gen_range(0..output_tokens);
    ArrivalKind::Completion(CompletionPlan {
        seed: random.r#gen(),
        prompt_tokens: tokens.saturating_sub(shared).max(1),
        prefix_seed,
        output_tokens,
        cancel_after: cancelled.then_some(cancel_after),
    })
}

fn draw_prefix(random: &mut Pcg64Mcg, prefix: SharedPrefix, class: usize) -> Option<u64> {
    let shared = random.r#gen::<f64>() < prefix.share;
    let variant = random.gen_range(0..prefix.variants.max(1));
    shared.then(|| ((class as u64) << 32) | u64::from(variant))
}

fn draw_size(random: &mut Pcg64Mcg, range: TokenRange) -> u32 {
    let max = range.max.max(range.min);
    match range.spread {
        TokenSpread::Uniform => random.gen_range(range.min..=max),
        TokenSpread::Log => {
            let (low, high) = (f64::from(range.min.max(1)).ln(), f64::from(max.max(1)).ln());
            let size = (low + (high - low) * random.r#gen::<f64>()).exp();
            (size.round() as u32).clamp(range.min, max)
        }
    }
}
