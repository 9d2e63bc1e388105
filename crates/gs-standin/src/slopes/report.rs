//! Report of the measured points and the lines fitted to them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::fit::{LineFit, fit_line};
use super::load::STREAM_SAMPLE_DELAY;
use super::point::{PointCosts, SlopePoint};

/// The quantity that grows from point to point.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SweepKind {
    /// The number of entries, with few engines and no load.
    Entries,
    /// The number of engines, with few entries and no load.
    Engines,
    /// Requests per second at one entry.
    Requests,
    /// Tokens per second at one entry, at a fixed rate of requests.
    Tokens,
    /// Open streams at one entry.
    Streams,
}

impl SweepKind {
    /// All sweeps, in the order in which they are measured.
    pub const ALL: [Self; 5] = [
        Self::Entries,
        Self::Engines,
        Self::Requests,
        Self::Tokens,
        Self::Streams,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::Entries => "entries",
            Self::Engines => "engines",
            Self::Requests => "requests",
            Self::Tokens => "tokens",
            Self::Streams => "streams",
        }
    }

    /// The x coordinate of a point in the sweep.
    fn coordinate(self, point: &SlopePoint) -> f64 {
        match self {
            Self::Entries => point.shape.entries as f64,
            Self::Engines => point.shape.engines as f64,
            Self::Requests => point.costs.answers_per_s,
            Self::Tokens => point.costs.answers_per_s * f64::from(point.shape.tokens),
            Self::Streams => point.costs.answers_per_s * STREAM_SAMPLE_DELAY.as_secs_f64(),
        }
    }
}

impl fmt::Display for SweepKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

impl FromStr for SweepKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|sweep| sweep.label() == text)
            .ok_or_else(|| format!("sweep \"{text}\" does not exist"))
    }
}

/// The line fitted to one measure along one sweep.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlopeFit {
    /// The sweep.
    pub sweep: SweepKind,
    /// The JSON name of the measure.
    pub measure: String,
    /// The fitted line.
    #[serde(flatten)]
    pub line: LineFit,
}

/// All points and the lines fitted to them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlopesReport {
    /// The points.
    pub points: Vec<SlopePoint>,
    /// The lines.
    pub fits: Vec<SlopeFit>,
}

/// Returns one measure of a point.
type MeasureField = fn(&PointCosts) -> f64;

/// The measures that lines are fitted to, with their JSON names.
const MEASURES: &[(&str, MeasureField)] = &[
    ("controlCores", |costs| costs.control_cores),
    ("otherCores", |costs| costs.other_cores),
    ("residentBytes", |costs| costs.resident_bytes),
    ("peerBytesPerS", |costs| costs.peer_bytes_per_s),
    ("peerFramesPerS", |costs| costs.peer_frames_per_s),
    ("pollBytesPerS", |costs| costs.poll_bytes_per_s),
    ("pollsPerS", |costs| costs.polls_per_s),
    ("platformReadsPerS", |costs| costs.platform_reads_per_s),
    ("platformWritesPerS", |costs| costs.platform_writes_per_s),
    ("platformWatchesPerS", |costs| costs.platform_watches_per_s),
    ("vmListBytes", |costs| costs.vm_list_bytes),
];

impl SlopesReport {
    /// Fits a line to each measure of each sweep.
    pub fn new(points: Vec<SlopePoint>) -> Self {
        let mut fits = Vec::new();
        for sweep in SweepKind::ALL {
            let sweep_points: Vec<_> = points.iter().filter(|point| point.sweep == sweep).collect();
            for &(measure, field) in MEASURES {
                let coordinates: Vec<_> = sweep_points
                    .iter()
                    .map(|point| (sweep.coordinate(point), field(&point.costs)))
                    .collect();
                let line = fit_line(&coordinates);
                fits.extend(line.map(|line| SlopeFit {
                    sweep,
                    measure: measure.to_owned(),
                    line,
                }));
            }
        }
        Self { points, fits }
    }
}

impl fmt::Display for SlopesReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:<9} {:>10}", "sweep", "at")?;
        for (measure, _) in MEASURES {
            write!(formatter, " {measure:>20}")?;
        }
        writeln!(formatter)?;
        for point in &self.points {
            let x = point.sweep.coordinate(point);
            write!(formatter, "{:<9} {x:>10.1}", point.sweep.label())?;
            for (_, field) in MEASURES {
                write!(formatter, " {:>20.4}", field(&point.costs))?;
            }
            writeln!(formatter)?;
        }
        for fit in &self.fits {
            let LineFit { base, slope } = fit.line;
            let (sweep, measure) = (fit.sweep, &fit.measure);
            writeln!(
                formatter,
                "{sweep}: {measure} = {base:.6} + {slope:.9} each"
            )?;
        }
        Ok(())
    }
}
