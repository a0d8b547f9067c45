//! The stored counts of a closed window.

use cowslip_units::{FencingToken, StoreEra, TeamId, WindowId};
use serde::{Deserialize, Serialize};

/// Counts of a closed window. Once stored they do not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The window.
    pub window: WindowId,
    /// Requests by team, sorted by team.
    pub counts: Vec<(TeamId, u64)>,
    /// True once the report was accepted.
    pub sent: bool,
    /// Fencing token of the leader that closed the window.
    pub fence: FencingToken,
    /// Era of the store in which the row was written.
    pub era: StoreEra,
}
