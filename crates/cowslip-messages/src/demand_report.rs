//! Routers' reports to the leader about waiting and running requests.

use cowslip_units::{IncarnationId, ModelId, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::TableVersion;

/// Waiting requests of one team for a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// `None` for open routes.
    pub team: Option<TeamId>,
    /// Number of waiting urgent requests.
    pub urgent: u32,
    /// Number of waiting reports.
    pub batch: u32,
    /// Time in ms left until the earliest deadline; `None` without deadlines.
    pub slack_ms: Option<u64>,
    /// Age in ms of the oldest waiting request.
    pub oldest_ms: u64,
}

/// Demand for one model or adapter at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Model or adapter in demand.
    pub model: ModelId,
    /// Waiting requests by team.
    pub waiting: Vec<TeamDemand>,
    /// Number of requests in flight.
    pub running: u32,
    /// Requests that arrived since the last report.
    pub arrived: u32,
    /// Upstreams on which this router has requests of the model in flight.
    pub running_on: Vec<UpstreamId>,
}

/// All demand at one router; replaces the router's previous report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting router.
    pub incarnation: IncarnationId,
    /// Increases with each report; a report with a lower number than the last one is ignored.
    pub sequence: u64,
    /// Version of the placement table that the router dispatches by; unloads are delayed until it is current.
    pub table: TableVersion,
    /// Sorted by model.
    pub models: Vec<ModelDemand>,
}

/// The leader's answer to a [`DemandReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReply {
    /// Version of the leader's present table.
    pub table: TableVersion,
}
