//! Fits straight lines to measured points.

use serde::{Deserialize, Serialize};

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LineFit {
    /// The value at x = 0.
    pub base: f64,
    /// The increase per unit of x.
    pub slope: f64,
}

/// Fits a line to points (x, y); `None` unless there are at least two different values of x.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LineFit> {
    let count = points.len() as f64;
    let mean =
        |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let square_sum_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.is_empty() || square_sum_x == 0.0 {
        return None;
    }
    let product_sum: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = product_sum / square_sum_x;
    Some(LineFit {
        base: mean_y - slope * mean_x,
        slope,
    })
}
