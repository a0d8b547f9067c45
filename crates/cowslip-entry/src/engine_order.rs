//! Orders to engines, and their answers.

use std::fmt;
use std::net::SocketAddr;

use cowslip_units::{ModelId, UpstreamId};
use smol_str::SmolStr;

/// Action that an order requests of an engine.
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
    /// Engine that the order is sent to.
    pub upstream: UpstreamId,
    /// Address at which the engine listens.
    pub address: SocketAddr,
    /// Action to be carried out.
    pub action: EngineAction,
    /// Number of orders that the engine must have accepted before; it rejects this order otherwise.
    pub expected_orders: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine is carrying it out.
    Started,
    /// Its effect is in place already.
    Holds,
    /// Another order is being carried out, or the number of accepted orders differs.
    Conflict,
    /// The engine rejected it permanently.
    Refused,
    /// It was not sent.
    NotSent,
    /// It was sent and not answered: the engine may carry it out, even much later.
    InDoubt,
}

/// An engine's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Models that it holds, with their adapters.
    pub models: Vec<crate::HeldModel>,
    /// Adapters being loaded, as model and name.
    pub pending: Vec<(ModelId, SmolStr)>,
    /// True while an order is being carried out.
    pub busy: bool,
    /// Number of orders accepted since its start.
    pub orders: u64,
    /// Unix time in ms of its start.
    pub born: u64,
}

/// Next action of the leader on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Send an order, and pass its outcome to [`crate::LoadPlanner::answered`].
    Order(EngineOrder),
    /// Query the engine's status, and pass it to [`crate::LoadPlanner::status`].
    QueryStatus(UpstreamId, SocketAddr),
}
