//! Measures resident memory, each size in its own process.

use std::path::PathBuf;
use std::process::Command;

use crate::{CapacityError, MemoryCase, RunPlan, SlopePoint, SlopeRow, SlopeUnit};

/// Name of the hidden command-line option that measures one size.
pub(crate) const MEMORY_OPTION: &str = "memory-point";

/// Starts this tool once per size. In a single process, memory freed by one measurement would be reused by
/// the next and not show as growth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryProbe {
    program: PathBuf,
}

impl MemoryProbe {
    /// Creates a probe that starts `program`, a build of `cowslip-capacity`.
    pub const fn new(program: PathBuf) -> Self {
        Self { program }
    }

    /// Measures all cases.
    pub fn slopes(&self, plan: &RunPlan) -> Result<Vec<SlopeRow>, CapacityError> {
        MemoryCase::ALL.iter().map(|case| self.slope(*case, plan)).collect()
    }

    fn slope(&self, case: MemoryCase, plan: &RunPlan) -> Result<SlopeRow, CapacityError> {
        // A quick run measures the smallest size only.
        let sizes = if plan.quick { &case.sizes()[..1] } else { case.sizes() };
        let mut points = Vec::new();
        for size in sizes {
            points.push(SlopePoint::new(*size, self.point(case, *size, plan)?));
        }
        let target = case.sizes().last().copied().unwrap_or_default();
        let unit = SlopeUnit::ResidentBytes;
        Ok(SlopeRow::new(case.as_str(), case.by(), unit, case.mechanism(), target, points))
    }

    fn point(&self, case: MemoryCase, size: usize, plan: &RunPlan) -> Result<f64, CapacityError> {
        let case_and_size = format!("{}:{size}", case.as_str());
        let mut command = Command::new(&self.program);
        command.arg(format!("--{MEMORY_OPTION}={case_and_size}")).arg(format!("--seed={}", plan.seed));
        if plan.quick {
            command.arg("--quick");
        }
        let output = command.output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        text.trim().parse().map_err(|_| CapacityError::Memory {
            case: case.as_str(),
            size,
            output: format!("{text}{}", String::from_utf8_lossy(&output.stderr)),
        })
    }
}
