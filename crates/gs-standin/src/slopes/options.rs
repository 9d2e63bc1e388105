//! Command-line options and points of the measurement.

use bpaf::Bpaf;

use super::point::PointShape;
use super::report::SweepKind;

/// Numbers of entries in the sweep over entries.
const ENTRY_COUNTS: &[usize] = &[3, 7, 15, 30, 50];
/// Numbers of engines in the sweep over engines.
const ENGINE_COUNTS: &[usize] = &[10, 25, 50, 100];
/// Requests per second in the sweep over requests.
const REQUEST_RATES: &[u32] = &[0, 25, 50, 100, 200];
/// Output tokens per request in the sweep over tokens.
const TOKEN_COUNTS: &[u32] = &[8, 32, 64, 128];
/// Numbers of open streams in the sweep over streams.
const STREAM_COUNTS: &[u32] = &[0, 100, 200, 400];

/// Number of engines in the sweep over entries.
const ENTRY_SWEEP_ENGINES: usize = 2;
/// Number of entries in the sweep over engines.
const ENGINE_SWEEP_ENTRIES: usize = 3;
/// Number of engines in the sweeps over requests, tokens and streams.
const LOAD_SWEEP_ENGINES: usize = 4;
/// Output tokens per request in the sweep over requests.
const REQUEST_SWEEP_TOKENS: u32 = 8;
/// Requests per second in the sweep over tokens.
const TOKEN_SWEEP_RATE: u32 = 50;
/// Output tokens per stream in the sweep over streams.
const STREAM_SWEEP_TOKENS: u32 = 400;

/// Options of the slope measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct SlopesOptions {
    /// Seconds over which each point is measured
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Seconds between the readiness of all entries and the measurement
    #[bpaf(argument("S"), fallback(3), display_fallback)]
    pub settle_seconds: u64,
    /// Sweep: entries, engines, requests, tokens or streams; may be repeated, all by default
    #[bpaf(argument("SWEEP"), many)]
    pub sweep: Vec<SweepKind>,
    /// Print JSON
    pub json: bool,
}

impl SlopesOptions {
    /// The points of the selected sweeps.
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
        engines: LOAD_SWEEP_ENGINES,
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
        SweepKind::Entries => shapes_for(ENTRY_COUNTS, |count| idle(count, ENTRY_SWEEP_ENGINES)),
        SweepKind::Engines => shapes_for(ENGINE_COUNTS, |count| idle(ENGINE_SWEEP_ENTRIES, count)),
        SweepKind::Requests => shapes_for(REQUEST_RATES, |rate| busy(rate, REQUEST_SWEEP_TOKENS)),
        SweepKind::Tokens => shapes_for(TOKEN_COUNTS, |tokens| busy(TOKEN_SWEEP_RATE, tokens)),
        SweepKind::Streams => shapes_for(STREAM_COUNTS, |count| busy(count, STREAM_SWEEP_TOKENS)),
    }
}

fn shapes_for<T: Copy>(values: &[T], shape: impl Fn(T) -> PointShape) -> Vec<PointShape> {
    values.iter().map(|&value| shape(value)).collect()
}
