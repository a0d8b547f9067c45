//! Least-squares line through measured points.

use serde::Serialize;

use crate::SlopePoint;

/// A least-squares line with its error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LineFit {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Standard error of the slope; 0 with fewer than three points.
    pub slope_error: f64,
    /// Largest residual in percent of the largest value.
    pub worst_percent: f64,
}

impl LineFit {
    /// Fits a line through `points`; horizontal if all sizes are equal.
    #[allow(clippy::cast_precision_loss)]
    pub fn new(points: &[SlopePoint]) -> Self {
        if points.is_empty() {
            return Self::default();
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let size_variation: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let covariation: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
        let slope = if size_variation > 0.0 { covariation / size_variation } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let distances = points.iter().map(|point| (point.value - intercept - slope * point.size).abs());
        let squares: f64 = distances.clone().map(|distance| distance * distance).sum();
        let slope_error = if count > 2.0 && size_variation > 0.0 {
            (squares / (count - 2.0) / size_variation).sqrt()
        } else {
            0.0
        };
        let largest = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
        let worst = distances.fold(0.0, f64::max);
        let worst_percent = if largest > 0.0 { 100.0 * worst / largest } else { 0.0 };
        Self { slope, intercept, slope_error, worst_percent }
    }

    /// Returns the value of the line at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
