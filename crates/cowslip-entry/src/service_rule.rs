//! Services, their engines, and the models that engines may hold.

use cowslip_units::{ModelId, ServiceId};
use smol_str::SmolStr;

/// A model that the engines of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRule {
    /// Name of the model.
    pub name: ModelId,
    /// Size of its weights in MB.
    pub size_mb: f64,
    /// Time in ms of a load from the weight store.
    pub store_ms: u64,
    /// Time in ms of a load from the engine's disk.
    pub disk_ms: u64,
    /// Time in ms of a load from the engine's host memory.
    pub memory_ms: u64,
    /// Size of one of its adapters in MB.
    pub adapter_mb: f64,
}

/// Properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Number of requests that run at once.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Memory in MB for weights and adapters.
    pub memory_mb: f64,
    /// Largest number of adapters that an engine holds or loads.
    pub max_adapters: usize,
    /// Loads a second from the weight store, summed over all engines.
    pub loads_per_s: f64,
    /// Models that the engines may hold, sorted by name.
    pub models: Vec<ModelRule>,
}

impl EngineRule {
    /// Finds a model by its name.
    pub fn model(&self, name: &ModelId) -> Option<&ModelRule> {
        let at = self.models.binary_search_by(|model| model.name.cmp(name)).ok()?;
        self.models.get(at)
    }
}

/// One service, as operators declare it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of the health check.
    pub health_path: SmolStr,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Time in ms for which an upstream warms up after its start.
    pub cold_ms: u64,
    /// Requests a second that an upstream can serve while it warms up.
    pub cold_per_s: f64,
    /// Properties of its engines; `None` for a plain service.
    pub engine: Option<EngineRule>,
}

impl ServiceRule {
    /// True for engines whose operators declare no warm-up. What such an engine can take is found from the work
    /// that it has and from its answers.
    pub const fn is_self_paced(&self) -> bool {
        self.engine.is_some() && self.cold_ms == 0
    }
}
