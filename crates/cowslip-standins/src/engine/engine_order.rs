//! An order of any kind.

use cowslip_platform::{AdapterOrder, EngineRole, LoadOrder, RoleOrder, UnloadOrder};
use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderTask {
    /// Load a model, or an adapter beside its model.
    Load { name: ModelId, base: Option<ModelId>, memory: MemorySize, load_ms: u64 },
    /// Unload a model or an adapter.
    Unload { name: ModelId },
    /// Change the role.
    Role { role: EngineRole },
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineOrder {
    pub(crate) id: OrderId,
    pub(crate) fence: FencingToken,
    pub(crate) task: OrderTask,
}

impl EngineOrder {
    /// Its kind in the journal.
    pub(crate) const fn kind(&self) -> &'static str {
        match &self.task {
            OrderTask::Load { base: None, .. } => "load",
            OrderTask::Load { base: Some(_), .. } => "adapter",
            OrderTask::Unload { .. } => "unload",
            OrderTask::Role { .. } => "role",
        }
    }

    /// What it concerns, in the journal.
    pub(crate) fn name(&self) -> String {
        match &self.task {
            OrderTask::Load { name, .. } | OrderTask::Unload { name } => name.to_string(),
            OrderTask::Role { role } => format!("{role:?}").to_lowercase(),
        }
    }
}

impl From<LoadOrder> for EngineOrder {
    fn from(order: LoadOrder) -> Self {
        let LoadOrder { order: id, fence, model: name, memory, load_ms } = order;
        Self { id, fence, task: OrderTask::Load { name, base: None, memory, load_ms } }
    }
}

impl From<AdapterOrder> for EngineOrder {
    fn from(order: AdapterOrder) -> Self {
        let AdapterOrder { order: id, fence, adapter: name, model, memory, load_ms } = order;
        Self { id, fence, task: OrderTask::Load { name, base: Some(model), memory, load_ms } }
    }
}

impl From<UnloadOrder> for EngineOrder {
    fn from(order: UnloadOrder) -> Self {
        Self { id: order.order, fence: order.fence, task: OrderTask::Unload { name: order.name } }
    }
}

impl From<RoleOrder> for EngineOrder {
    fn from(order: RoleOrder) -> Self {
        Self { id: order.order, fence: order.fence, task: OrderTask::Role { role: order.role } }
    }
}
