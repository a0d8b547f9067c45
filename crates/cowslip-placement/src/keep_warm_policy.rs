//! The default policy: places loads where they are ready first, shares load starts fairly between teams, and
//! keeps replicas warm by their expected reuse.

use cowslip_units::ClockTime;

use crate::{
    LoadRank, ModelUsage, PlaceEstimate, PlacementPolicy, RATE_DECAY_MS, ReplicaCost, ReplicaNeed,
    WaitingLoad,
};

/// Estimates that differ by less are treated as equal, in ms, because they are no more accurate than this.
const READY_STEP_MS: u64 = 500;
/// Batch requests that have waited this long in ms count as urgent, so that they are slow but never starve.
const BATCH_URGENT_AFTER_MS: u64 = 60_000;
/// Additional time to ready in ms that is accepted to spread a model over one more failure domain.
const DOMAIN_SPREAD_MS: u64 = 3_000;

/// Weighs cold starts against idle accelerators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepWarmPolicy {
    /// Accelerator seconds that are worth one second of a caller's cold start.
    pub cold_start_weight: f64,
    /// Shortest time in ms for which an unused replica stays loaded.
    pub min_idle_ms: u64,
    /// Longest time in ms for which an unused replica stays loaded.
    pub max_idle_ms: u64,
}

impl KeepWarmPolicy {
    /// Creates the policy with its default weights.
    pub const fn new() -> Self {
        Self { cold_start_weight: 60.0, min_idle_ms: 15_000, max_idle_ms: 3_600_000 }
    }
}

impl Default for KeepWarmPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl PlacementPolicy for KeepWarmPolicy {
    fn name(&self) -> &'static str {
        "keep_warm"
    }

    fn rank(&self, load: &WaitingLoad) -> LoadRank {
        LoadRank {
            class: u64::from(!load.urgent && load.waited_ms < BATCH_URGENT_AFTER_MS),
            share: load.team_starts,
            deadline: load.deadline,
            since: load.since,
        }
    }

    fn choose(&self, places: &[PlaceEstimate]) -> Option<usize> {
        let rank = |place: &PlaceEstimate| {
            let spread = DOMAIN_SPREAD_MS.saturating_mul(u64::from(place.same_domain));
            let ready = place.ready_ms.saturating_add(spread) / READY_STEP_MS;
            (ready, place.evict.len(), place.active_requests, place.spare, place.upstream.clone())
        };
        let best = places.iter().enumerate().min_by_key(|(_, place)| rank(place));
        best.map(|(at, _)| at)
    }

    fn can_evict_idle(&self) -> bool {
        true
    }

    fn is_replica_justified(&self, need: ReplicaNeed) -> bool {
        need.waiting >= need.slots.max(1) && need.oldest_ms >= need.ready_ms
    }

    /// With `w` arrivals weighted by age, the expected rate after `t` idle ms is `w * exp(-t/T) / T`. The
    /// replica is worth its memory while rate * load time * weight exceeds its share of the accelerator.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn keep_until(&self, usage: &ModelUsage, cost: ReplicaCost) -> ClockTime {
        let total = cost.upstream_memory.mebibytes().max(1) as f64;
        let share = (cost.memory.mebibytes() as f64 / total).clamp(0.01, 1.0);
        let gain = usage.weight(usage.active_at) * cost.load_ms as f64 * self.cold_start_weight;
        let ratio = gain / (RATE_DECAY_MS * share);
        let worth_ms = if ratio > 1.0 { RATE_DECAY_MS * ratio.ln() } else { 0.0 };
        let idle_ms = (worth_ms as u64).clamp(self.min_idle_ms, self.max_idle_ms);
        usage.active_at.plus_ms(idle_ms)
    }
}
