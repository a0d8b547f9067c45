//! A measured slope.

use serde::Serialize;

use crate::{LineFit, SlopePoint, SlopeUnit};

/// Growth of one cost with one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SlopeRow {
    /// Name in the report and in docs/CAPACITY.md.
    pub name: &'static str,
    /// What the size counts, and what is held constant.
    pub by: &'static str,
    /// Unit of the values.
    pub unit: SlopeUnit,
    /// Path of the type, function or module that causes the cost.
    pub mechanism: &'static str,
    /// Measured points in order of size.
    pub points: Vec<SlopePoint>,
    /// Line through the points.
    pub fit: LineFit,
    /// Target size of docs/design.md, or the size at which docs/CAPACITY.md uses the line.
    pub target: f64,
    /// Value at the target: the measured one if the target was measured, else that of the line.
    pub at_target: f64,
    /// True when the target is larger than the largest measured size.
    pub extrapolated: bool,
}

impl SlopeRow {
    /// Fits the line and computes the value at the size `target`.
    #[allow(clippy::cast_precision_loss)]
    pub fn new(
        name: &'static str,
        by: &'static str,
        unit: SlopeUnit,
        mechanism: &'static str,
        target: usize,
        points: Vec<SlopePoint>,
    ) -> Self {
        let fit = LineFit::new(&points);
        let target = target as f64;
        let measured = points.iter().find(|point| (point.size - target).abs() < 0.5);
        let at_target = measured.map_or_else(|| fit.at(target), |point| point.value);
        let extrapolated = points.iter().all(|point| point.size < target);
        Self { name, by, unit, mechanism, points, fit, target, at_target, extrapolated }
    }
}
