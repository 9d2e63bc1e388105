//! Straight lines through measured points.

use serde::{Deserialize, Serialize};

/// A line by least squares.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LineFit {
    /// The value at zero.
    pub base: f64,
    /// The increase for each unit.
    pub slope: f64,
}

/// The line through points; none if they do not lie at two places at least.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LineFit> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.is_empty() || spread == 0.0 {
        return None;
    }
    let joint: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = joint / spread;
    Some(LineFit {
        base: mean_y - slope * mean_x,
        slope,
    })
}
