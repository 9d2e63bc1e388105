//! Measures the cost of idle and busy entries, and how it grows with the number of entries,
//! engines, requests, tokens and open streams.

mod cost;
mod error;
mod fit;
mod load;
mod options;
mod point;
mod report;
mod sample;

pub use error::SlopesError;
pub use fit::{LineFit, fit_line};
pub use options::{SlopesOptions, slopes_options};
pub use point::{PointCosts, PointShape, SlopePoint};
pub use report::{SlopeFit, SlopesReport, SweepKind};

/// Measures all points and prints a table or JSON.
pub async fn run(options: SlopesOptions) -> Result<(), SlopesError> {
    let mut points = Vec::new();
    for (sweep, shape) in options.shapes() {
        log::info!(target: "slopes", sweep:% = sweep, shape:? = shape; "measuring");
        points.push(point::measure(&options, sweep, shape).await?);
    }
    let report = SlopesReport::new(points);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
