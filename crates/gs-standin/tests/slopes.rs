//! Least-squares fits through measured points.

use gs_standin::slopes::{LineFit, fit_line};
use test_case::test_case;

#[test_case(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], Some((3.0, 2.0)); "points on a line")]
#[test_case(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)], Some((1.0, 0.0)); "points around a line")]
#[test_case(&[(2.0, 1.0), (2.0, 3.0)], None; "points with equal x values")]
#[test_case(&[], None; "no points")]
fn least_squares_fit_finds_base_and_slope(points: &[(f64, f64)], expected: Option<(f64, f64)>) {
    let expected = expected.map(|(base, slope)| LineFit { base, slope });
    assert_eq!(fit_line(points), expected);
}
