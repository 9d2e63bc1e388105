//! The command line of the measurement.

use bpaf::Bpaf;

use super::point::PointShape;
use super::report::SweepKind;

/// Entries of the sweep over entries.
const ENTRY_COUNTS: &[usize] = &[3, 7, 15, 30, 50];
/// Engines of the sweep over engines.
const ENGINE_COUNTS: &[usize] = &[10, 25, 50, 100];
/// Requests a second of the sweep over requests.
const REQUEST_RATES: &[u32] = &[0, 25, 50, 100, 200];
/// Output tokens of the sweep over tokens.
const TOKEN_COUNTS: &[u32] = &[8, 32, 64, 128];
/// Streams of the sweep over streams.
const STREAM_COUNTS: &[u32] = &[0, 100, 200, 400];

/// Engines of the sweep over entries.
const FEW_ENGINES: usize = 2;
/// Entries of the sweep over engines.
const FEW_ENTRIES: usize = 3;
/// Engines of the sweeps over requests and tokens.
const BUSY_ENGINES: usize = 4;
/// Output tokens of the sweep over requests.
const FEW_TOKENS: u32 = 8;
/// Requests a second of the sweep over tokens.
const TOKEN_SWEEP_RATE: u32 = 50;
/// Output tokens of the sweep over streams.
const STREAM_TOKENS: u32 = 400;

/// What to measure.
#[derive(Bpaf, Clone, Debug)]
pub struct SlopesOptions {
    /// Seconds over which each point is measured
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Seconds between readiness and the measurement
    #[bpaf(argument("S"), fallback(3), display_fallback)]
    pub settle_seconds: u64,
    /// Which sweep: entries, engines, requests, tokens or streams; may be given again, all by default
    #[bpaf(argument("SWEEP"), many)]
    pub sweep: Vec<SweepKind>,
    /// Print JSON
    pub json: bool,
}

impl SlopesOptions {
    /// Every point of the sweeps that were asked for.
    pub fn shapes(&self) -> Vec<(SweepKind, PointShape)> {
        SweepKind::ALL
            .into_iter()
            .filter(|sweep| self.sweep.is_empty() || self.sweep.contains(sweep))
            .flat_map(|sweep| {
                shapes_of(sweep)
                    .into_iter()
                    .map(move |shape| (sweep, shape))
            })
            .collect()
    }
}

fn shapes_of(sweep: SweepKind) -> Vec<PointShape> {
    let busy = |rate, tokens| PointShape {
        entries: 1,
        engines: BUSY_ENGINES,
        rate,
        tokens,
    };
    let idle = |entries, engines| PointShape {
        entries,
        engines,
        rate: 0,
        tokens: 0,
    };
    match sweep {
        SweepKind::Entries => map(ENTRY_COUNTS, |count| idle(count, FEW_ENGINES)),
        SweepKind::Engines => map(ENGINE_COUNTS, |count| idle(FEW_ENTRIES, count)),
        SweepKind::Requests => map(REQUEST_RATES, |rate| busy(rate, FEW_TOKENS)),
        SweepKind::Tokens => map(TOKEN_COUNTS, |tokens| busy(TOKEN_SWEEP_RATE, tokens)),
        SweepKind::Streams => map(STREAM_COUNTS, |count| busy(count, STREAM_TOKENS)),
    }
}

fn map<T: Copy>(values: &[T], shape: impl Fn(T) -> PointShape) -> Vec<PointShape> {
    values.iter().map(|&value| shape(value)).collect()
}
