//! The part of an engine's load report that decisions depend on.

use cowslip_units::{MemorySize, ModelId};
use smol_str::SmolStr;

use crate::WeightTier;

/// State of an engine at an earlier time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Boot id of the engine; a different one means that it restarted and lost all its state.
    pub boot: SmolStr,
    /// State sequence of the engine at the time of the report.
    pub sequence: u64,
    /// Age of the report in ms.
    pub age_ms: u64,
    /// Loaded models and adapters with their memory, sorted by name.
    pub loaded: Vec<(ModelId, MemorySize)>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Memory of the accelerator.
    pub memory: MemorySize,
    /// Checkpoints in memory or on disk, sorted by name.
    pub checkpoints: Vec<(ModelId, WeightTier)>,
}

impl UpstreamReport {
    /// Whether the report lists the model or adapter as loaded.
    pub fn has_loaded(&self, name: &ModelId) -> bool {
        self.loaded.binary_search_by(|(loaded, _)| loaded.cmp(name)).is_ok()
    }
}
