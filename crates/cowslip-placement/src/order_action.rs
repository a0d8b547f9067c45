//! Operations that orders request.

use cowslip_units::{MemorySize, ModelId};

/// The operation that an order requests from the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load the model.
    Load {
        /// Memory of the replica.
        memory: MemorySize,
        /// Load time in ms without contention.
        load_ms: u64,
    },
    /// Load the adapter; its model must be loaded.
    LoadAdapter {
        /// The model that it adapts.
        model: ModelId,
        /// Memory of the adapter.
        memory: MemorySize,
        /// Load time in ms without contention.
        load_ms: u64,
    },
    /// Unload the adapter, or the model with its adapters.
    Unload,
}
