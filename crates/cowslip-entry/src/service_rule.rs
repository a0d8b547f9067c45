//! Services and the models that engines may hold.

use cowslip_units::{ModelId, ServiceId};
use smol_str::SmolStr;

/// A model that the engines of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRule {
    /// Its name.
    pub name: ModelId,
    /// Size of its weights in MB.
    pub size_mb: f64,
    /// Time in ms to load it from the weight store.
    pub store_ms: u64,
    /// Time in ms to load it from the engine's disk.
    pub disk_ms: u64,
    /// Time in ms to load it from the engine's host memory.
    pub memory_ms: u64,
    /// Size of one of its adapters in MB.
    pub adapter_mb: f64,
}

/// What the engines of a service are like.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the memory for running requests.
    pub kv_tokens: u64,
    /// Memory in MB for weights and adapters.
    pub memory_mb: f64,
    /// Most adapters that an engine holds or fetches.
    pub max_adapters: usize,
    /// Loads a second that the weight store allows, over all engines.
    pub loads_per_s: f64,
    /// The models, sorted by name.
    pub models: Vec<ModelRule>,
}

impl EngineRule {
    /// The model of that name.
    pub fn model(&self, name: &ModelId) -> Option<&ModelRule> {
        let at = self.models.binary_search_by(|model| model.name.cmp(name)).ok()?;
        self.models.get(at)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceId,
    /// Path of its health check.
    pub health_path: SmolStr,
    /// Connections that an upstream accepts from all callers.
    pub max_connections: u32,
    /// Time in ms for which an upstream is cold after its start.
    pub cold_ms: u64,
    /// Requests a second that a cold upstream bears.
    pub cold_per_s: f64,
    /// What its engines are like; `None` for a plain service.
    pub engine: Option<EngineRule>,
}
