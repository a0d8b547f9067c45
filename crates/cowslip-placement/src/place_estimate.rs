//! Candidate places for a load.

use cowslip_units::{DomainId, MemorySize, UpstreamId};

use crate::{RowKey, WeightTier};

/// An upstream on which a model could be loaded, with the estimates that policies compare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceEstimate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Storage tier of the checkpoint.
    pub tier: WeightTier,
    /// Estimated time in ms until the model is ready.
    pub ready_ms: u64,
    /// Idle replicas and adapters to unload first.
    pub evict: Vec<RowKey>,
    /// True when memory must be freed first, by `evict` or by unloads in progress.
    pub waits: bool,
    /// Memory that stays free after the load.
    pub spare: MemorySize,
    /// Replicas of the same model in the same failure domain.
    pub same_domain: u32,
    /// Number of requests queued and running on the upstream.
    pub active_requests: u32,
}
