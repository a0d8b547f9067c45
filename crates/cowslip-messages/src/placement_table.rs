//! Where each model and adapter is, as the leader knows it.

use cowslip_units::{FencingToken, ModelId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Orders placement tables: by leader epoch, then by a counter within the epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableVersion {
    /// Epoch of the leader that made the table.
    pub epoch: FencingToken,
    /// Counts the leader's changes of the table.
    pub count: u64,
}

/// State of a replica (or of an adapter on an upstream).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Decided and ordered; counts as loaded, takes no requests yet.
    Ordered,
    /// Loaded; takes requests.
    Loaded,
    /// Takes no new requests; will be unloaded when nothing runs on it.
    Draining,
    /// The unload order is out; its memory is still reserved.
    Unloading,
}

/// One replica of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPlacement {
    /// The model.
    pub model: ModelId,
    /// The upstream that holds it.
    pub upstream: UpstreamId,
    /// Its state.
    pub state: ReplicaState,
    /// Expected time in ms until it takes requests; zero once loaded.
    pub ready_in_ms: u64,
}

/// One adapter on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterPlacement {
    /// The adapter.
    pub adapter: ModelId,
    /// The upstream that holds it.
    pub upstream: UpstreamId,
    /// Its state.
    pub state: ReplicaState,
}

/// What the leader knows about an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The upstream.
    pub upstream: UpstreamId,
    /// False when it is gone or leaving.
    pub live: bool,
    /// Age in ms of its present ramp (since load, return or restart); `None` when it bears its full load.
    pub ramp_age_ms: Option<u64>,
    /// Requests queued and running in its last load report.
    pub queued: u32,
    /// Age of that report in ms; `None` if none came.
    pub report_age_ms: Option<u64>,
}

/// The whole table; each vector is sorted by its first two fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementTable {
    /// Its version.
    pub version: TableVersion,
    /// Replicas of models.
    pub replicas: Vec<ReplicaPlacement>,
    /// Adapters.
    pub adapters: Vec<AdapterPlacement>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamState>,
    /// Models and adapters that cannot be loaded at present, with the time in ms after which to ask again.
    pub refused: Vec<(ModelId, u64)>,
}

/// Long poll for a table newer than `since`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Version the router has.
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
