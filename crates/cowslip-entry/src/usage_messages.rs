//! Parts of reports and answers that carry usage.

use cowslip_units::{DayTime, IncarnationId, TeamId, WindowId};
use serde::{Deserialize, Serialize};

/// Requests by team that began to run in a window, sorted by team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowId,
    /// Requests by team.
    pub counts: Vec<(TeamId, u64)>,
}

/// Usage of one process of a gateway. Counts are cumulative, so a report may be lost or repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The process; its counts begin at zero.
    pub incarnation: IncarnationId,
    /// The VM's own time of day at the send of the report.
    pub clock: DayTime,
    /// True time of day before which nothing is missing from the counts; `None` while the gateway has no true time.
    pub settled: Option<DayTime>,
    /// Term of the leader that has acknowledged all counts that the report leaves out; 0 before the first answer.
    pub term: u64,
    /// Revision of the counts.
    pub revision: u64,
    /// Windows with changes that the leader has not acknowledged.
    pub windows: Vec<WindowCounts>,
}

/// Answer to a [`UsageReport`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// True time of day at the answer; `None` while the leader does not know it.
    pub day: Option<DayTime>,
    /// Revision of the answered report.
    pub revision: u64,
    /// Last window that is closed.
    pub closed: Option<WindowId>,
    /// Last window whose report was accepted.
    pub sent: Option<WindowId>,
}
