//! Models that wait to be loaded.

use cowslip_units::{ClockTime, ModelId, TeamId};

/// A model that waiting requests need and that should be loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingLoad {
    /// The model.
    pub model: ModelId,
    /// Whether any of the requests is urgent.
    pub urgent: bool,
    /// Earliest deadline among the requests.
    pub deadline: ClockTime,
    /// Arrival of the oldest request.
    pub since: ClockTime,
    /// Waiting time of the oldest request in ms.
    pub waited_ms: u64,
    /// Number of waiting requests.
    pub waiting: u32,
    /// The waiting team with the fewest recent load starts, to which the start is charged; `None` for open
    /// routes.
    pub team: Option<TeamId>,
    /// Recent load starts of that team, weighted by age, in thousandths.
    pub team_starts: u64,
}
