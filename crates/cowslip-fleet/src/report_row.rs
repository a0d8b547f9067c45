//! Stored form of a report.

use cowslip_units::{AttemptId, IncarnationId, ModelId, ReportId, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Prefix of the row keys of all reports.
pub const REPORT_PREFIX: &str = "report/";

/// Key of a report's row.
pub fn report_key(report: &ReportId) -> SmolStr {
    format_smolstr!("{REPORT_PREFIX}{report}")
}

/// Progress of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportState {
    /// The report runs or waits to run.
    Accepted,
    /// The result is the object with this key.
    Done(SmolStr),
    /// Permanent failure with this message.
    Failed(String),
    /// Cancelled by its team.
    Cancelled,
}

/// Value of a report's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRow {
    /// The team that sent the report and may fetch it.
    pub team: TeamId,
    /// Model or adapter that the report is for.
    pub model: ModelId,
    /// Key of the object that contains the request.
    pub body: SmolStr,
    /// The router that runs it; `None` after the owner stopped.
    pub owner: Option<IncarnationId>,
    /// The owner's attempt.
    pub attempt: AttemptId,
    /// Progress of the report.
    pub state: ReportState,
    /// Upstreams that had ended under it when its last owner released it, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended_upstreams: Vec<UpstreamId>,
}
