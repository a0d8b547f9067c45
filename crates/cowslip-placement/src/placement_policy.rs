//! The choices in which placement policies differ.

use cowslip_units::ClockTime;

use crate::{LoadRank, ModelUsage, PlaceEstimate, ReplicaCost, ReplicaNeed, WaitingLoad};

/// A placement policy. The rules on promises and on demand are the same for all; only these choices differ.
pub trait PlacementPolicy {
    /// Its name in logs.
    fn name(&self) -> &'static str;

    /// Order in which waiting loads start.
    fn rank(&self, load: &WaitingLoad) -> LoadRank;

    /// The best place, as an index, if any of them should be taken.
    fn choose(&self, places: &[PlaceEstimate]) -> Option<usize>;

    /// Whether idle replicas make room for waiting loads.
    fn can_evict_idle(&self) -> bool;

    /// Whether one more replica of a loaded model is justified.
    fn is_replica_justified(&self, need: ReplicaNeed) -> bool;

    /// Until when an idle replica stays loaded if nobody asks for its model or its memory.
    fn keep_until(&self, usage: &ModelUsage, cost: ReplicaCost) -> ClockTime;
}
