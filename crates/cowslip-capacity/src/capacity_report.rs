//! Report of a run.

use std::fmt;

use serde::Serialize;

use crate::{CountRow, SlopeRow};

/// All slopes and counts of a run. Its `Display` is the table printed without `--json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CapacityReport {
    /// Seed of all generated names and digests.
    pub seed: u64,
    /// True for a run with tiny sizes, whose figures must not be used in docs/CAPACITY.md.
    pub quick: bool,
    /// Measured slopes.
    pub slopes: Vec<SlopeRow>,
    /// Computed figures.
    pub counts: Vec<CountRow>,
}

impl CapacityReport {
    /// Returns the slope with this name.
    pub fn slope(&self, name: &str) -> Option<&SlopeRow> {
        self.slopes.iter().find(|row| row.name == name)
    }
}

impl fmt::Display for CapacityReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}{}", self.seed, if self.quick { ", quick run" } else { "" })?;
        for row in &self.slopes {
            writeln!(formatter, "{} ({}) by {}", row.name, row.unit, row.by)?;
            let points: Vec<String> =
                row.points.iter().map(|point| format!("{}: {:.3}", point.size, point.value)).collect();
            writeln!(formatter, "    points     {}", points.join("  "))?;
            let fit = &row.fit;
            writeln!(
                formatter,
                "    fit        {:.6} +- {:.6} each, {:.3} at zero, worst point off by {:.1}%",
                fit.slope, fit.slope_error, fit.intercept, fit.worst_percent
            )?;
            let how = if row.extrapolated { "extrapolated" } else { "within the measured sizes" };
            writeln!(formatter, "    at {:<8}{:.3} ({how})", row.target, row.at_target)?;
            writeln!(formatter, "    mechanism  {}", row.mechanism)?;
        }
        for row in &self.counts {
            writeln!(formatter, "{} = {:.3} {} ({})", row.name, row.value, row.unit, row.rule)?;
        }
        Ok(())
    }
}
