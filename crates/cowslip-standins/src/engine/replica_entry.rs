//! A model or adapter in an engine's memory.

use cowslip_platform::OrderReply;
use cowslip_units::{MemorySize, ModelId};
use tokio::sync::watch;

/// A model or adapter that is loaded or being loaded.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaEntry {
    /// Memory reserved for it from the start of the load.
    pub(crate) memory: MemorySize,
    /// The base model of an adapter; `None` for a model.
    pub(crate) base: Option<ModelId>,
    /// Receives the reply to the order that loads it; `None` when it is loaded.
    pub(crate) loading: Option<watch::Receiver<Option<OrderReply>>>,
}
