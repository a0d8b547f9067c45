//! Placement of models and adapters as published by the leader.

use cowslip_units::{FencingToken, ModelId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Orders placement tables: by leader epoch, then by a counter within the epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableVersion {
    /// Epoch of the leader that created the table.
    pub epoch: FencingToken,
    /// Counts the leader's changes of the table.
    pub count: u64,
}

/// State of a replica (or of an adapter on an upstream).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Decided and ordered; counts as loaded, but takes no requests yet.
    Ordered,
    /// Loaded; takes requests.
    Loaded,
    /// Takes no new requests; is unloaded once nothing runs on it.
    Draining,
    /// The unload order was sent; its memory is still reserved.
    Unloading,
}

/// One replica of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPlacement {
    /// Model of the replica.
    pub model: ModelId,
    /// Upstream that holds it.
    pub upstream: UpstreamId,
    /// State of the replica.
    pub state: ReplicaState,
    /// Expected time in ms until it takes requests; zero once loaded.
    pub ready_in_ms: u64,
}

/// One adapter on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterPlacement {
    /// Id of the adapter.
    pub adapter: ModelId,
    /// Upstream that holds it.
    pub upstream: UpstreamId,
    /// State of the adapter.
    pub state: ReplicaState,
}

/// The leader's view of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// False when it has ended or is leaving.
    pub live: bool,
    /// Age in ms of its present ramp (since load, return or restart); `None` when it takes its full load.
    pub ramp_age_ms: Option<u64>,
    /// Requests queued and running by its last load report.
    pub queued: u32,
    /// Age of that report in ms; `None` before the first one.
    pub report_age_ms: Option<u64>,
}

/// The whole table; each vector is sorted by its first two fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementTable {
    /// Version of the table.
    pub version: TableVersion,
    /// Replicas of models.
    pub replicas: Vec<ReplicaPlacement>,
    /// Adapters on upstreams.
    pub adapters: Vec<AdapterPlacement>,
    /// State of each upstream.
    pub upstreams: Vec<UpstreamState>,
    /// Models and adapters that cannot be loaded at present, with the time in ms after which to retry.
    pub refused: Vec<(ModelId, u64)>,
}

/// Long poll for a table newer than `since`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Version that the router has.
    pub since: TableVersion,
    /// Longest wait in ms.
    pub wait_ms: u64,
}

/// Answer to [`WatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// The new table; `None` if nothing changed within the wait.
    pub table: Option<PlacementTable>,
}
