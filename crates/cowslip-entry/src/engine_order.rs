//! Orders to engines and their answers.

use std::fmt;
use std::net::SocketAddr;

use cowslip_units::{ModelId, UpstreamId};
use smol_str::SmolStr;

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// Load a model.
    Load(ModelId),
    /// Unload a model and its adapters.
    Unload(ModelId),
    /// Load an adapter of a model that it holds.
    LoadAdapter(ModelId, SmolStr),
    /// Unload an adapter.
    UnloadAdapter(ModelId, SmolStr),
}

impl fmt::Display for EngineAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(model) => write!(formatter, "load {model}"),
            Self::Unload(model) => write!(formatter, "unload {model}"),
            Self::LoadAdapter(model, adapter) => write!(formatter, "load {model}/{adapter}"),
            Self::UnloadAdapter(model, adapter) => write!(formatter, "unload {model}/{adapter}"),
        }
    }
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is to do.
    pub action: EngineAction,
    /// Orders that it must have accepted before; it refuses the order otherwise.
    pub expected_orders: u64,
}

/// What came back for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Started,
    /// It holds already.
    Holds,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// It was refused for good.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// It was sent and not answered: it may be carried out, also much later.
    InDoubt,
}

/// What an engine reports about its orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Models that it holds, with their adapters.
    pub models: Vec<crate::HeldModel>,
    /// Adapters on their way, as model and name.
    pub pending: Vec<(ModelId, SmolStr)>,
    /// True while an order is carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Unix time in ms of its start.
    pub born: u64,
}

/// What the leader does next about the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Send an order and pass the answer to [`crate::LoadPlanner::answered`].
    Order(EngineOrder),
    /// Ask the engine for its status and pass it to [`crate::LoadPlanner::status`].
    QueryStatus(UpstreamId, SocketAddr),
}
