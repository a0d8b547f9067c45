//! A measured point.

use serde::Serialize;

/// A value measured at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SlopePoint {
    /// Size, in the unit that the row describes.
    pub size: f64,
    /// Median of the measured values.
    pub value: f64,
}

impl SlopePoint {
    /// Creates a point.
    #[allow(clippy::cast_precision_loss)]
    pub const fn new(size: usize, value: f64) -> Self {
        Self { size: size as f64, value }
    }
}
