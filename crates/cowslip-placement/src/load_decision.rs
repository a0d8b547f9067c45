//! Decisions to load a replica or adapter.

use cowslip_units::{MemorySize, ModelId};

use crate::RowKey;

/// A replica or adapter to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadDecision {
    /// Upstream, kind and name.
    pub key: RowKey,
    /// The model itself, or the model of an adapter.
    pub base: ModelId,
    /// Memory to reserve.
    pub memory: MemorySize,
    /// Load time in ms without contention.
    pub load_ms: u64,
}
