//! The typed rows of a validated sheet.

use std::net::SocketAddr;

use cowslip_units::{DomainId, MemorySize, ModelId, RouteId, TeamId, TokenCount, TokenRate, UpstreamId};
use smol_str::SmolStr;

/// A declared failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainRow {
    /// Name of the failure domain.
    pub domain: DomainId,
}

/// Software that runs on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    /// A model engine, which loads models on order.
    Model {
        /// Whether the engine rejects orders with an old fencing token.
        checks_fencing: bool,
    },
    /// A plain HTTP service.
    Service,
}

/// An upstream: a model engine or a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRow {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Failure domain of the upstream.
    pub domain: DomainId,
    /// HTTP address of the upstream.
    pub address: SocketAddr,
    /// Model engine or service.
    pub engine: EngineKind,
    /// Accelerator memory; zero for services.
    pub memory: MemorySize,
    /// Concurrent requests after the slow start.
    pub slots: u32,
    /// Concurrent requests at the beginning of the slow start.
    pub fresh_slots: u32,
    /// Duration of the slow start in ms, in which the limit rises from `fresh_slots` to `slots`.
    pub ramp_ms: u64,
}

/// A declared model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRow {
    /// Name of the model in requests.
    pub model: ModelId,
    /// Memory of its weights.
    pub weights: MemorySize,
    /// KV cache memory of each concurrent request.
    pub kv_per_slot: MemorySize,
    /// Concurrent requests for which each replica reserves KV cache memory.
    pub kv_slots: u32,
    /// Largest number of replicas.
    pub max_replicas: u32,
    /// Load time from the weight store in ms, without contention.
    pub load_ms: u64,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterRow {
    /// Name of the adapter in requests.
    pub adapter: ModelId,
    /// The model that it adapts.
    pub model: ModelId,
    /// Accelerator memory of the adapter.
    pub memory: MemorySize,
    /// Load time in ms, without contention.
    pub load_ms: u64,
}

/// A declared team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRow {
    /// Name of the team.
    pub team: TeamId,
    /// Rate limit of the team across the fleet.
    pub rate: TokenRate,
    /// Burst of the team across the fleet.
    pub burst: TokenCount,
}

/// What a route gives access to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// Models and adapters through the model interface, sorted.
    Models(Vec<ModelId>),
    /// Upstreams of plain services, sorted; path and body are passed through.
    Services(Vec<UpstreamId>),
}

/// A route: which teams have access to which models or services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRow {
    /// Name of the route.
    pub route: RouteId,
    /// Path prefix: always `/v1/` for models, any other for services.
    pub path: SmolStr,
    /// Methods that a service route accepts, sorted; empty for models.
    pub methods: Vec<SmolStr>,
    /// Teams with access, sorted; empty if the route is open.
    pub teams: Vec<TeamId>,
    /// Whether the route accepts requests without a key.
    pub open: bool,
    /// The models or services.
    pub target: RouteTarget,
    /// Whether calls may be retried.
    pub idempotent: bool,
    /// Deadline in ms, unless the caller sets one.
    pub deadline_ms: u64,
    /// Tokens charged for each call of a service route.
    pub call_tokens: TokenCount,
}

/// Limits of the platform on loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRow {
    /// Load starts from the weight store per 10 s (25 for 2.5 a second).
    pub loads_per_10s: u32,
    /// Concurrent loads from the weight store at full speed.
    pub loads_at_once: u32,
    /// Concurrent adapter loads at full speed, across the fleet.
    pub adapters_in_transit: u32,
}

impl Default for LimitRow {
    fn default() -> Self {
        Self { loads_per_10s: 25, loads_at_once: 4, adapters_in_transit: 32 }
    }
}
