//! Orders to model engines, and what engines report.

use std::future::Future;
use std::net::SocketAddr;

use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Where an engine has a checkpoint at hand.
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

/// What an engine does for requests.
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

/// Loads a model; loading a loaded model is no fault and takes no time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// A repeated order carries the same id.
    pub order: OrderId,
    /// Fencing number.
    pub fence: FencingToken,
    /// The model.
    pub model: ModelId,
    /// Memory it takes on the accelerator: weights and KV.
    pub memory: MemorySize,
    /// Bare load time in ms from the weight store when it has room.
    pub load_ms: u64,
}

/// Loads an adapter beside its model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// A repeated order carries the same id.
    pub order: OrderId,
    /// Fencing number.
    pub fence: FencingToken,
    /// The adapter.
    pub adapter: ModelId,
    /// Its model, which must be loaded.
    pub model: ModelId,
    /// Memory it takes.
    pub memory: MemorySize,
    /// Bare load time in ms.
    pub load_ms: u64,
}

/// Unloads a model (with its adapters) or an adapter; unloading an absent one is no fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// A repeated order carries the same id.
    pub order: OrderId,
    /// Fencing number.
    pub fence: FencingToken,
    /// The model or adapter.
    pub name: ModelId,
}

/// Changes the engine's role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOrder {
    /// A repeated order carries the same id.
    pub order: OrderId,
    /// Fencing number.
    pub fence: FencingToken,
    /// The new role.
    pub role: EngineRole,
}

/// An engine's answer to an order, sent when the order has been carried out or refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OrderReply {
    /// Carried out; reports with this sequence or a higher one show its effect.
    Done {
        /// The engine's state sequence after the order.
        sequence: u64,
    },
    /// Refused for an old fencing number; nothing was done.
    OldFence {
        /// Highest fencing number the engine has seen.
        highest: FencingToken,
    },
    /// Refused; nothing was done and it will not be done later.
    Refused {
        /// Why (no memory, model not loaded, weight store failed).
        reason: String,
    },
}

/// A loaded model or adapter in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model or adapter.
    pub name: ModelId,
    /// Memory it takes.
    pub memory: MemorySize,
}

/// An engine's load report, which shows its state some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Drawn at the engine's start; another value means that it restarted and lost everything.
    pub boot: String,
    /// State sequence at the time of the report.
    pub sequence: u64,
    /// Age of the report in ms.
    pub age_ms: u64,
    /// Loaded models and adapters, sorted by name.
    pub loaded: Vec<LoadedModel>,
    /// Orders under way, as models or adapters, sorted.
    pub loading: Vec<ModelId>,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Memory of the accelerator.
    pub memory: MemorySize,
    /// Memory in use.
    pub memory_used: MemorySize,
    /// Checkpoints at hand in memory or on disk, sorted; all others are remote.
    pub checkpoints: Vec<(ModelId, CheckpointTier)>,
}

/// A prefix entering or leaving an engine's cache; published late and with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one; a gap means lost events.
    pub sequence: u64,
    /// The team-scoped digest of the prefix.
    pub prefix: String,
    /// The model.
    pub model: ModelId,
    /// True when it entered the cache.
    pub present: bool,
}

/// Orders to engines; the answer comes when the order has been carried out.
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

    /// Changes the role.
    fn change_role(
        &self,
        engine: SocketAddr,
        order: &RoleOrder,
    ) -> impl Future<Output = Result<OrderReply, PlatformError>> + Send;

    /// The latest load report.
    fn report(&self, engine: SocketAddr) -> impl Future<Output = Result<EngineReport, PlatformError>> + Send;

    /// Cache events after `since`.
    fn cache_events(
        &self,
        engine: SocketAddr,
        since: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, PlatformError>> + Send;
}
