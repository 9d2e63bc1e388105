//! The measured figures and the lines through them.

use std::path::Path;

use serde::Deserialize;

use super::table::{CapacityTable, number};
use super::{CapacityError, target};
use crate::slopes::{LineFit, SlopePoint, SlopesReport, SweepKind};

/// What was measured.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct MeasuredFigures {
    /// The points of the sweeps.
    pub points: Vec<SlopePoint>,
    /// Processor time of dispatch.
    pub dispatch: Vec<DispatchFigure>,
}

/// What a whole request costs the dispatch slice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct DispatchFigure {
    /// Servers that are known in full.
    pub servers: u32,
    /// Microseconds of its four events.
    pub request_us: f64,
}

impl MeasuredFigures {
    /// Reads a file.
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

    /// The line of a measure along a sweep.
    pub fn line(&self, sweep: SweepKind, measure: &'static str) -> Result<LineFit, CapacityError> {
        let report = SlopesReport::new(self.points.clone());
        report
            .fits
            .iter()
            .find(|fit| fit.sweep == sweep && fit.measure == measure)
            .map(|fit| fit.line)
            .ok_or(CapacityError::MissingLine { sweep, measure })
    }

    /// What an entry without peers, servers and requests costs, and each of them adds.
    pub fn idle(&self, measure: &'static str) -> Result<IdleLine, CapacityError> {
        let entries = self.line(SweepKind::Entries, measure)?;
        let engines = self.line(SweepKind::Engines, measure)?;
        let present = self
            .points
            .iter()
            .find(|point| point.sweep == SweepKind::Entries)
            .map_or(0.0, |point| point.shape.engines as f64);
        Ok(IdleLine {
            base: entries.base + entries.slope - present * engines.slope,
            entry: entries.slope,
            engine: engines.slope,
        })
    }

    /// What a request costs without its tokens, and a token.
    pub fn busy(&self, measure: &'static str) -> Result<BusyLine, CapacityError> {
        let requests = self.line(SweepKind::Requests, measure)?;
        let tokens = self.line(SweepKind::Tokens, measure)?;
        let included = self
            .points
            .iter()
            .find(|point| point.sweep == SweepKind::Requests)
            .map_or(0.0, |point| f64::from(point.shape.tokens));
        Ok(BusyLine {
            request: requests.slope - included * tokens.slope,
            token: tokens.slope,
        })
    }

    /// The slopes that the other tables are worked out from.
    pub fn slope_table(&self) -> Result<CapacityTable, CapacityError> {
        let mut table = CapacityTable::new(
            "Slopes of an entry",
            &["measure", "alone", "each entry", "each engine"],
        );
        for (measure, label, unit) in SLOPE_ROWS {
            let line = self.idle(measure)?;
            let cell = |value: f64| number(value * unit);
            table.add(&[
                label,
                &cell(line.base),
                &cell(line.entry),
                &cell(line.engine),
            ]);
        }
        let (first, last) = self.range(SweepKind::Entries);
        let (few, many) = self.range(SweepKind::Engines);
        let carried = target::ENTRIES / last;
        let far = target::SERVERS / many;
        table.note(format!(
            "Measured from {first} to {last} entries (carried {carried:.1} times as far) and from \
             {few} to {many} engines (carried {far:.1} times as far)."
        ));
        Ok(table)
    }

    fn range(&self, sweep: SweepKind) -> (f64, f64) {
        let places = self.points.iter().filter(|point| point.sweep == sweep);
        places.fold((f64::INFINITY, 0.0), |(low, high), point| {
            let place = match sweep {
                SweepKind::Entries => point.shape.entries as f64,
                _ => point.shape.engines as f64,
            };
            (low.min(place), high.max(place))
        })
    }
}

/// The rows of the table of slopes: measure, label, and factor to the label's unit.
const SLOPE_ROWS: &[(&str, &str, f64)] = &[
    ("controlCores", "control thread, % of a core", 100.0),
    ("residentBytes", "memory of the process, kB", 0.001),
    ("peerBytesPerS", "frames of links, bytes/s", 1.0),
    ("peerFramesPerS", "frames sent on links, 1/s", 1.0),
    ("pollsPerS", "polls of engines, 1/s", 1.0),
    ("pollBytesPerS", "bodies of engine polls, bytes/s", 1.0),
    ("vmListBytes", "list of VMs, bytes", 1.0),
];

/// A measure of an idle entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleLine {
    /// Of an entry alone.
    pub base: f64,
    /// Added by each entry.
    pub entry: f64,
    /// Added by each engine.
    pub engine: f64,
}

/// A measure of a busy entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BusyLine {
    /// Added by each request.
    pub request: f64,
    /// Added by each token.
    pub token: f64,
}
