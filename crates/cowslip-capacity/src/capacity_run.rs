//! Runs the measurements.

use crate::call_slopes::call_slopes;
use crate::design_counts::design_counts;
use crate::message_counts::message_counts;
use crate::permit_slopes::permit_slopes;
use crate::planner_slopes::planner_slopes;
use crate::platform_slopes::platform_slopes;
use crate::routing_slopes::routing_slopes;
use crate::share_slopes::share_slopes;
use crate::sheet_slopes::sheet_slopes;
use crate::view_slopes::view_slopes;
use crate::wake_slopes::wake_slopes;
use crate::{CAPACITY_PARTS, CapacityError, CapacityReport, MemoryProbe, RunPlan};

/// Measures the named parts, or all if none is named. `notice` is called with the name of each part before it
/// starts.
pub fn run_capacity(
    plan: &RunPlan,
    parts: &[&str],
    probe: &MemoryProbe,
    notice: impl Fn(&str),
) -> Result<CapacityReport, CapacityError> {
    let mut report = CapacityReport { seed: plan.seed, quick: plan.quick, ..CapacityReport::default() };
    for part in CAPACITY_PARTS.iter().filter(|part| parts.is_empty() || parts.contains(part)) {
        notice(part);
        report.slopes.extend(match *part {
            "view" => view_slopes(plan),
            "shares" => share_slopes(plan),
            "permits" => permit_slopes(plan),
            "planner" => planner_slopes(plan),
            "wakes" => wake_slopes(plan),
            "routing" => routing_slopes(plan),
            "sheet" => sheet_slopes(plan),
            "platform" => platform_slopes(plan),
            "calls" => call_slopes(plan)?,
            "memory" => probe.slopes(plan)?,
            _ => Vec::new(),
        });
        if *part == "counts" {
            report.counts = design_counts();
            report.counts.extend(message_counts(plan));
        }
    }
    Ok(report)
}
