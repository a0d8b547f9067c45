//! Orders of all kinds in a common form.

use cowslip_platform::{AdapterOrder, EngineRole, LoadOrder, RoleOrder, UnloadOrder};
use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};

/// What an order requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderAction {
    /// Load a model, or with `base` an adapter of that model.
    Load { name: ModelId, base: Option<ModelId>, memory: MemorySize, load_ms: u64 },
    /// Unload a model or an adapter.
    Unload { name: ModelId },
    /// Change the role.
    Role { role: EngineRole },
}

/// An order with its id and fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineOrder {
    pub(crate) id: OrderId,
    pub(crate) fence: FencingToken,
    pub(crate) task: OrderAction,
}

impl EngineOrder {
    /// Returns the kind under which the journal records the order.
    pub(crate) const fn kind(&self) -> &'static str {
        match &self.task {
            OrderAction::Load { base: None, .. } => "load",
            OrderAction::Load { base: Some(_), .. } => "adapter",
            OrderAction::Unload { .. } => "unload",
            OrderAction::Role { .. } => "role",
        }
    }

    /// Returns the model, adapter or role named in the journal.
    pub(crate) fn name(&self) -> String {
        match &self.task {
            OrderAction::Load { name, .. } | OrderAction::Unload { name } => name.to_string(),
            OrderAction::Role { role } => format!("{role:?}").to_lowercase(),
        }
    }
}

impl From<LoadOrder> for EngineOrder {
    fn from(order: LoadOrder) -> Self {
        let LoadOrder { order: id, fence, model: name, memory, load_ms } = order;
        Self { id, fence, task: OrderAction::Load { name, base: None, memory, load_ms } }
    }
}

impl From<AdapterOrder> for EngineOrder {
    fn from(order: AdapterOrder) -> Self {
        let AdapterOrder { order: id, fence, adapter: name, model, memory, load_ms } = order;
        Self { id, fence, task: OrderAction::Load { name, base: Some(model), memory, load_ms } }
    }
}

impl From<UnloadOrder> for EngineOrder {
    fn from(order: UnloadOrder) -> Self {
        Self { id: order.order, fence: order.fence, task: OrderAction::Unload { name: order.name } }
    }
}

impl From<RoleOrder> for EngineOrder {
    fn from(order: RoleOrder) -> Self {
        Self { id: order.order, fence: order.fence, task: OrderAction::Role { role: order.role } }
    }
}
