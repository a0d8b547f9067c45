//! Orders to model engines, and the reports of engines.

use std::future::Future;
use std::net::SocketAddr;

use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The fastest storage tier from which an engine can load a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckpointTier {
    /// In the host's memory.
    Memory,
    /// On the upstream's disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// Which phases of a request an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; exports KV cache.
    Prefill,
    /// Decode only; imports KV cache.
    Decode,
}

/// Loads a model; an order for a model that is already loaded succeeds immediately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Id of the order; a retried order carries the same one.
    pub order: OrderId,
    /// Fencing token: the epoch of the leader that sends the order.
    pub fence: FencingToken,
    /// The model.
    pub model: ModelId,
    /// Accelerator memory of the replica: weights and KV cache.
    pub memory: MemorySize,
    /// Load time from the weight store in ms, without contention.
    pub load_ms: u64,
}

/// Loads an adapter; its model must be loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// Id of the order; a retried order carries the same one.
    pub order: OrderId,
    /// Fencing token: the epoch of the leader that sends the order.
    pub fence: FencingToken,
    /// The adapter.
    pub adapter: ModelId,
    /// The model that it adapts.
    pub model: ModelId,
    /// Accelerator memory of the adapter.
    pub memory: MemorySize,
    /// Load time in ms, without contention.
    pub load_ms: u64,
}

/// Unloads an adapter, or a model with its adapters; an order for an absent one succeeds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// Id of the order; a retried order carries the same one.
    pub order: OrderId,
    /// Fencing token: the epoch of the leader that sends the order.
    pub fence: FencingToken,
    /// The model or adapter.
    pub name: ModelId,
}

/// Changes the role of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOrder {
    /// Id of the order; a retried order carries the same one.
    pub order: OrderId,
    /// Fencing token: the epoch of the leader that sends the order.
    pub fence: FencingToken,
    /// The new role.
    pub role: EngineRole,
}

/// An engine's answer to an order, sent after the order was carried out or refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OrderReply {
    /// Carried out; reports with this sequence or a higher one show the effect.
    Done {
        /// The engine's state sequence after the order.
        sequence: u64,
    },
    /// Refused because of an old fencing token; nothing was done.
    OldFence {
        /// Highest fencing token that the engine has seen.
        highest: FencingToken,
    },
    /// Refused; nothing was done, and the order will not be carried out later.
    Refused {
        /// The cause: no memory, model not loaded, or weight store failed.
        reason: String,
    },
}

/// A loaded model or adapter in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model or adapter.
    pub name: ModelId,
    /// Accelerator memory in use by it.
    pub memory: MemorySize,
}

/// An engine's load report, which shows its state at an earlier time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Boot id, drawn at the start of the engine; a different one means that it restarted and lost all its
    /// state.
    pub boot: String,
    /// State sequence of the engine at the time of the report.
    pub sequence: u64,
    /// Age of the report in ms.
    pub age_ms: u64,
    /// Loaded models and adapters, sorted by name.
    pub loaded: Vec<LoadedModel>,
    /// Models and adapters being loaded, sorted.
    pub loading: Vec<ModelId>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Memory of the accelerator.
    pub memory: MemorySize,
    /// Accelerator memory in use.
    pub memory_used: MemorySize,
    /// Checkpoints in memory or on disk, sorted; all others are remote.
    pub checkpoints: Vec<(ModelId, CheckpointTier)>,
}

/// A prefix that entered or left an engine's cache; events are published late and may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with each event; a gap means that events were lost.
    pub sequence: u64,
    /// Digest of the prefix, which is scoped to a team.
    pub prefix: String,
    /// The model.
    pub model: ModelId,
    /// True if the prefix entered the cache, false if it left.
    pub present: bool,
}

/// Orders to model engines; each call returns after the order was carried out or refused.
pub trait EngineOrders: Clone + Send + Sync + 'static {
    /// Loads a model.
    fn load(
        &self,
        engine: SocketAddr,
        order: &LoadOrder,
    ) -> impl Future<Output = Result<OrderReply, PlatformError>> + Send;

    /// Loads an adapter.
    fn load_adapter(
        &self,
        engine: SocketAddr,
        order: &AdapterOrder,
    ) -> impl Future<Output = Result<OrderReply, PlatformError>> + Send;

    /// Unloads a model or an adapter.
    fn unload(
        &self,
        engine: SocketAddr,
        order: &UnloadOrder,
    ) -> impl Future<Output = Result<OrderReply, PlatformError>> + Send;

    /// Changes the role of the engine.
    fn change_role(
        &self,
        engine: SocketAddr,
        order: &RoleOrder,
    ) -> impl Future<Output = Result<OrderReply, PlatformError>> + Send;

    /// Reads the latest load report.
    fn report(&self, engine: SocketAddr) -> impl Future<Output = Result<EngineReport, PlatformError>> + Send;

    /// Reads the cache events after the sequence number `since`.
    fn cache_events(
        &self,
        engine: SocketAddr,
        since: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, PlatformError>> + Send;
}
