//! The baseline policy, with which the default one is compared.

use cowslip_units::ClockTime;

use crate::{LoadRank, ModelUsage, PlaceEstimate, PlacementPolicy, ReplicaCost, ReplicaNeed, WaitingLoad};

/// Takes the first upstream with enough free memory, loads on first use in order of arrival, and unloads
/// after a fixed idle time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstFitPolicy {
    /// Time in ms for which an unused replica stays loaded.
    pub idle_ms: u64,
}

impl FirstFitPolicy {
    /// Creates the policy with an idle time of five minutes.
    pub const fn new() -> Self {
        Self { idle_ms: 300_000 }
    }
}

impl Default for FirstFitPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl PlacementPolicy for FirstFitPolicy {
    fn name(&self) -> &'static str {
        "first_fit"
    }

    fn rank(&self, load: &WaitingLoad) -> LoadRank {
        LoadRank { class: 0, share: 0, deadline: ClockTime::ZERO, since: load.since }
    }

    fn choose(&self, places: &[PlaceEstimate]) -> Option<usize> {
        let available = places.iter().enumerate().filter(|(_, place)| !place.waits);
        available.min_by_key(|(_, place)| &place.upstream).map(|(at, _)| at)
    }

    fn can_evict_idle(&self) -> bool {
        false
    }

    fn is_replica_justified(&self, _need: ReplicaNeed) -> bool {
        false
    }

    fn keep_until(&self, usage: &ModelUsage, _cost: ReplicaCost) -> ClockTime {
        usage.active_at.plus_ms(self.idle_ms)
    }
}
