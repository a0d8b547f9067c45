//! Priorities of waiting loads.

use cowslip_units::ClockTime;

/// Priority of a load, compared by field in order; lower ranks start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadRank {
    /// Request class, compared first.
    pub class: u64,
    /// Recent load starts of the team, for fairness.
    pub share: u64,
    /// Earliest deadline.
    pub deadline: ClockTime,
    /// Arrival of the oldest request, compared last.
    pub since: ClockTime,
}
