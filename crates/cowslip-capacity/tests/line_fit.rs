//! Tests of the least-squares fit, on which every figure of docs/CAPACITY.md at the target is based.

use cowslip_capacity::{LineFit, SlopePoint, SlopeRow, SlopeUnit};
use rstest::rstest;

fn points(values: &[(usize, f64)]) -> Vec<SlopePoint> {
    values.iter().map(|(size, value)| SlopePoint::new(*size, *value)).collect()
}

fn close(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-9
}

/// Guards against swapping slope and intercept, and against division by zero with too few or equal sizes.
#[rstest]
#[case::exact(&[(1, 5.0), (2, 8.0), (10, 32.0)], 3.0, 2.0)]
#[case::falling(&[(0, 10.0), (5, 0.0)], -2.0, 10.0)]
#[case::one_point(&[(7, 4.0)], 0.0, 4.0)]
#[case::equal_sizes(&[(7, 4.0), (7, 6.0)], 0.0, 5.0)]
#[case::empty(&[], 0.0, 0.0)]
fn fit_recovers_slope_and_intercept(
    #[case] values: &[(usize, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
) {
    let fit = LineFit::new(&points(values));
    assert!(close(fit.slope, slope), "slope {} of {values:?}", fit.slope);
    assert!(close(fit.intercept, intercept), "intercept {} of {values:?}", fit.intercept);
}

/// Guards against an error figure that understates how far the points are from the line.
#[test]
fn slope_error_matches_textbook_formula() {
    // Residuals of the line 0.6 x + 2.2 through (1, 2), (2, 4), (3, 5), (4, 4), (5, 5): sum of squares 2.4.
    let fit = LineFit::new(&points(&[(1, 2.0), (2, 4.0), (3, 5.0), (4, 4.0), (5, 5.0)]));
    assert!(close(fit.slope, 0.6) && close(fit.intercept, 2.2));
    assert!(close(fit.slope_error, (2.4_f64 / 3.0 / 10.0).sqrt()), "slope error {}", fit.slope_error);
    assert!(close(fit.worst_percent, 20.0), "worst point {}%", fit.worst_percent);
}

/// Guards against reporting an extrapolated figure as measured.
#[rstest]
#[case::measured(20, 41.0, false)]
#[case::between(15, 30.5, false)]
#[case::beyond(40, 80.5, true)]
fn target_is_measured_or_extrapolated(
    #[case] target: usize,
    #[case] at_target: f64,
    #[case] extrapolated: bool,
) {
    let measured = points(&[(0, 0.0), (10, 21.0), (20, 41.0)]);
    let row = SlopeRow::new("row", "size", SlopeUnit::Count, "type", target, measured);
    assert_eq!(row.extrapolated, extrapolated);
    assert!((row.at_target - at_target).abs() < 2.0, "{} at {target}", row.at_target);
    if target == 20 {
        assert!(close(row.at_target, 41.0), "a measured point is used unchanged");
    }
}
