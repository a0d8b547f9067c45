//! Storage tiers of model weights.

/// The fastest storage tier from which an engine can load a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightTier {
    /// In the host's memory.
    Memory,
    /// On the upstream's disk.
    Disk,
    /// Only in the weight store.
    Remote,
}
