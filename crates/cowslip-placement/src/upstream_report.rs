//! An engine's load report, as far as decisions rest on it.

use cowslip_units::{MemorySize, ModelId};
use smol_str::SmolStr;

use crate::WeightTier;

/// An engine's state some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The engine's start; another value means that it restarted and lost everything.
    pub boot: SmolStr,
    /// State sequence at the time of the report.
    pub sequence: u64,
    /// Age of the report in ms.
    pub age_ms: u64,
    /// Loaded models and adapters with their memory, sorted by name.
    pub loaded: Vec<(ModelId, MemorySize)>,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Memory of the accelerator.
    pub memory: MemorySize,
    /// Checkpoints in memory or on disk, sorted by name.
    pub checkpoints: Vec<(ModelId, WeightTier)>,
}

impl UpstreamReport {
    /// Whether the model or adapter is loaded in this report.
    pub fn has_loaded(&self, name: &ModelId) -> bool {
        self.loaded.binary_search_by(|(loaded, _)| loaded.cmp(name)).is_ok()
    }
}
