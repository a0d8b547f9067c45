//! The interface of placement policies.

use cowslip_units::ClockTime;

use crate::{LoadRank, ModelUsage, PlaceEstimate, ReplicaCost, ReplicaNeed, WaitingLoad};

/// A placement policy. The safety rules and the handling of demand are common to all policies; they differ
/// only in these choices.
pub trait PlacementPolicy {
    /// Name of the policy in settings and logs.
    fn name(&self) -> &'static str;

    /// Priority of a waiting load.
    fn rank(&self, load: &WaitingLoad) -> LoadRank;

    /// Index of the place to use; `None` if the load should not start.
    fn choose(&self, places: &[PlaceEstimate]) -> Option<usize>;

    /// Whether idle replicas may be evicted to free memory for waiting loads.
    fn can_evict_idle(&self) -> bool;

    /// Whether one more replica of a model that is already loaded is justified.
    fn is_replica_justified(&self, need: ReplicaNeed) -> bool;

    /// Time until which an idle replica stays loaded if neither its model nor its memory is requested.
    fn keep_until(&self, usage: &ModelUsage, cost: ReplicaCost) -> ClockTime;
}
