//! Measures how the cost of each mechanism grows with the size of the fleet.
//!
//! Every measured figure in docs/CAPACITY.md comes from the report of `cowslip-capacity`. Decisions are timed
//! on one thread; only the part `calls` uses sockets, on loopback. Memory is the growth of resident memory
//! while several copies of a large state are built, each size in its own process. Counts come from the output
//! of the state machines or from constants of the crates.
//!
//! - Running and reporting: [`run_capacity`], [`CapacityReport`], [`SlopeRow`], [`CountRow`]
//! - Measuring: [`LineFit`], [`TimeMeter`], [`MemoryProbe`], [`MemoryCase`]
//! - Fleets to measure: [`FleetGenerator`], [`PlannerFixture`], [`WakeRun`]

mod call_slopes;
mod capacity_command;
mod capacity_error;
mod capacity_report;
mod capacity_run;
mod count_row;
mod design_counts;
mod echo_router;
mod fleet_generator;
mod json_size;
mod line_fit;
mod memory_case;
mod memory_meter;
mod memory_probe;
mod message_counts;
mod permit_slopes;
mod planner_fixture;
mod planner_slopes;
mod platform_slopes;
mod routing_slopes;
mod run_plan;
mod share_fixtures;
mod share_slopes;
mod sheet_slopes;
mod slope_point;
mod slope_row;
mod slope_unit;
mod time_meter;
mod view_slopes;
mod wake_counts;
mod wake_run;
mod wake_slopes;

pub use capacity_command::{CAPACITY_PARTS, capacity_command};
pub use capacity_error::CapacityError;
pub use capacity_report::CapacityReport;
pub use capacity_run::run_capacity;
pub use count_row::CountRow;
pub use echo_router::EchoRouter;
pub use fleet_generator::FleetGenerator;
pub use json_size::json_bytes;
pub use line_fit::LineFit;
pub use memory_case::MemoryCase;
pub use memory_probe::MemoryProbe;
pub use planner_fixture::{MeasuredPlanner, PlannerFixture};
pub use routing_slopes::{choose_any, warmed_selector};
pub use run_plan::RunPlan;
pub use share_fixtures::{SETTLED_AT, acquire_each, member_of, settled_permits, settled_shares};
pub use slope_point::SlopePoint;
pub use slope_row::SlopeRow;
pub use slope_unit::SlopeUnit;
pub use time_meter::TimeMeter;
pub use wake_counts::WakeCounts;
pub use wake_run::WakeRun;
