//! The measured figures and the lines fitted to them.

use std::path::Path;

use serde::Deserialize;

use super::table::{CapacityTable, format_number};
use super::{CapacityError, target};
use crate::slopes::{LineFit, SlopePoint, SlopesReport, SweepKind};

/// The contents of the file of measured figures.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct MeasuredFigures {
    /// The points of the sweeps.
    pub points: Vec<SlopePoint>,
    /// Processor time of the dispatch state machine, by number of servers.
    pub dispatch: Vec<DispatchFigure>,
}

/// The processor time that a request costs in the dispatch state machine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct DispatchFigure {
    /// The number of servers whose state is fully known.
    pub servers: u32,
    /// Processor time of the four events of a request, in microseconds.
    pub request_us: f64,
}

impl MeasuredFigures {
    /// Reads the figures from a JSON file.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(path).map_err(|source| CapacityError::ReadFile {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| CapacityError::ParseFile {
            path: path.to_owned(),
            source,
        })
    }

    /// Fits the line of a measure along a sweep.
    pub fn line(&self, sweep: SweepKind, measure: &'static str) -> Result<LineFit, CapacityError> {
        let report = SlopesReport::new(self.points.clone());
        report
            .fits
            .iter()
            .find(|fit| fit.sweep == sweep && fit.measure == measure)
            .map(|fit| fit.line)
            .ok_or(CapacityError::MissingLine { sweep, measure })
    }

    /// The cost of an idle entry on its own, and the cost that each other entry and each engine
    /// adds.
    pub fn idle(&self, measure: &'static str) -> Result<IdleLine, CapacityError> {
        let entries = self.line(SweepKind::Entries, measure)?;
        let engines = self.line(SweepKind::Engines, measure)?;
        let sweep_engines = self
            .points
            .iter()
            .find(|point| point.sweep == SweepKind::Entries)
            .map_or(0.0, |point| point.shape.engines as f64);
        Ok(IdleLine {
            base: entries.base + entries.slope - sweep_engines * engines.slope,
            entry: entries.slope,
            engine: engines.slope,
        })
    }

    /// The cost of a request without its tokens, and the cost of a token.
    pub fn busy(&self, measure: &'static str) -> Result<BusyLine, CapacityError> {
        let requests = self.line(SweepKind::Requests, measure)?;
        let tokens = self.line(SweepKind::Tokens, measure)?;
        let sweep_tokens = self
            .points
            .iter()
            .find(|point| point.sweep == SweepKind::Requests)
            .map_or(0.0, |point| f64::from(point.shape.tokens));
        Ok(BusyLine {
            request: requests.slope - sweep_tokens * tokens.slope,
            token: tokens.slope,
        })
    }

    /// The table of the slopes that the other tables are computed from.
    pub fn slope_table(&self) -> Result<CapacityTable, CapacityError> {
        let mut table = CapacityTable::new(
            "Slopes of an entry",
            &["measure", "alone", "each entry", "each engine"],
        );
        for (measure, label, unit) in SLOPE_ROWS {
            let line = self.idle(measure)?;
            let cell = |value: f64| format_number(value * unit);
            table.add(&[
                label,
                &cell(line.base),
                &cell(line.entry),
                &cell(line.engine),
            ]);
        }
        let (first, last) = self.range(SweepKind::Entries);
        let (fewest, most) = self.range(SweepKind::Engines);
        let entry_ratio = target::ENTRIES / last;
        let engine_ratio = target::SERVERS / most;
        table.add_note(format!(
            "Measured from {first} to {last} entries (carried {entry_ratio:.1} times as far) and from \
             {fewest} to {most} engines (carried {engine_ratio:.1} times as far)."
        ));
        Ok(table)
    }

    fn range(&self, sweep: SweepKind) -> (f64, f64) {
        let points = self.points.iter().filter(|point| point.sweep == sweep);
        points.fold((f64::INFINITY, 0.0), |(low, high), point| {
            let size = match sweep {
                SweepKind::Entries => point.shape.entries as f64,
                _ => point.shape.engines as f64,
            };
            (low.min(size), high.max(size))
        })
    }
}

/// The rows of the table of slopes: JSON name of the measure, label, and factor from the measured
/// unit to that of the label.
const SLOPE_ROWS: &[(&str, &str, f64)] = &[
    ("controlCores", "control thread, % of a core", 100.0),
    ("residentBytes", "memory of the process, kB", 0.001),
    ("peerBytesPerS", "frames of links, bytes/s", 1.0),
    ("peerFramesPerS", "frames sent on links, 1/s", 1.0),
    ("pollsPerS", "polls of engines, 1/s", 1.0),
    ("pollBytesPerS", "bodies of engine polls, bytes/s", 1.0),
    ("vmListBytes", "list of VMs, bytes", 1.0),
];

/// The value of a measure at an idle entry, as a linear function of the numbers of other entries
/// and engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleLine {
    /// The value of a single entry without engines.
    pub base: f64,
    /// The increase per other entry.
    pub entry: f64,
    /// The increase per engine.
    pub engine: f64,
}

/// The values by which requests and tokens increase a measure at a busy entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BusyLine {
    /// The increase per request, without its tokens.
    pub request: f64,
    /// The increase per token.
    pub token: f64,
}
