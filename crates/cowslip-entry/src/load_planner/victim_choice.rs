//! Cost of a load on an engine: the time of the load, and the cost of the models that are evicted for it.

use cowslip_units::{ClockTime, ModelId};

use super::{BUSY_PER_S, LoadPlanner, VICTIM_CALLS_MS};
use crate::planned_engine::load_ms;
use crate::{EngineRule, ModelRule, PlannedEngine, WeightTier};

/// Time in ms for which a freshly loaded model is not evicted.
const PROTECT_MS: u64 = 1_200;

/// Share of an engine's slots that may be in use before further calls are expected to wait.
const USABLE_SLOTS: f64 = 0.75;

/// Time in ms for which a call holds a slot.
const SLOT_WAIT_MS: f64 = 2_000.0;

/// Cost in ms of an engine all of whose slots are in use, beside the wait for a slot.
const SHARED_ENGINE_MS: f64 = 400.0;

/// A load that needs a place.
pub(super) struct LoadNeed<'a> {
    /// Properties of the engines.
    pub(super) rule: &'a EngineRule,
    /// Model to be loaded.
    pub(super) model: &'a ModelRule,
    /// True when only idle models may be evicted.
    pub(super) idle_only: bool,
    /// Calls that the engine is expected to get with the model; `None` where its other work does not count.
    pub(super) expected_calls: Option<f64>,
    /// Time of the decision.
    pub(super) now: ClockTime,
}

/// The cheapest place found so far.
pub(super) struct LoadPlace {
    /// Its cost in ms.
    pub(super) cost: f64,
    /// Index of the engine.
    pub(super) at: usize,
    /// Models to be evicted.
    pub(super) victims: Vec<ModelId>,
    /// Place from which the weights are loaded.
    pub(super) tier: WeightTier,
}

impl LoadPlanner {
    /// Replaces `best` by an engine that is cheaper.
    pub(super) fn consider(
        &self,
        at: usize,
        tier: WeightTier,
        need: &LoadNeed<'_>,
        best: &mut Option<LoadPlace>,
    ) {
        let Some(engine) = self.engines.get(at) else { return };
        let load = load_ms(need.model, tier) as f64;
        if best.as_ref().is_some_and(|place| place.cost <= load) {
            return;
        }
        let Some((victims, eviction_cost)) = self.victims(engine, need) else { return };
        let cost = load + eviction_cost + self.crowding_cost(engine, need);
        if best.as_ref().is_none_or(|place| cost < place.cost) {
            *best = Some(LoadPlace { cost, at, victims, tier });
        }
    }

    /// Cost in ms of running the model's calls beside the other work of an engine: the time that they wait for a slot, and
    /// something for each call that runs beside them, which slows down every token.
    fn crowding_cost(&self, engine: &PlannedEngine, need: &LoadNeed<'_>) -> f64 {
        let Some(expected_calls) = need.expected_calls else { return 0.0 };
        let slots = f64::from(engine.entry.slots.max(1));
        let calls = f64::from(self.demand.calls_at(&engine.entry.id)) + expected_calls;
        let waiting = (calls - slots * USABLE_SLOTS).max(0.0);
        waiting / slots * SLOT_WAIT_MS + calls / slots * SHARED_ENGINE_MS
    }

    /// Models to be evicted for a load, and the cost in ms of losing them; `None` when there is not enough to
    /// evict.
    fn victims(&self, engine: &PlannedEngine, need: &LoadNeed<'_>) -> Option<(Vec<ModelId>, f64)> {
        let LoadNeed { rule, model, .. } = need;
        let size_mb = model.size_mb;
        let mut used = engine.used_mb(rule);
        let mut victims = Vec::new();
        let mut eviction_cost = 0.0;
        let mut models: Vec<(f64, &ModelId)> = Vec::new();
        for held in &engine.entry.models {
            if let Some(cost) = self.unload_cost(engine, &held.name, need) {
                models.push((cost, &held.name));
            }
        }
        models.sort_by(|left, right| left.0.total_cmp(&right.0));
        for (cost, model) in models {
            if used + size_mb <= rule.memory_mb {
                break;
            }
            used -= rule.model(model).map_or(0.0, |model| model.size_mb);
            eviction_cost += cost;
            victims.push(model.clone());
        }
        (used + size_mb <= rule.memory_mb).then_some((victims, eviction_cost))
    }

    /// Cost in ms of unloading a model; `None` when it must stay.
    fn unload_cost(&self, engine: &PlannedEngine, model: &ModelId, need: &LoadNeed<'_>) -> Option<f64> {
        let LoadNeed { rule, idle_only, now, .. } = *need;
        let running = self.demand.running_at(&engine.entry.id, model, None);
        let replicas = self.replicas(model);
        let demand = self.demand.get(model);
        // Without reports of demand, the number of engines that hold a model indicates it.
        let default_per_s = if replicas > 1 { BUSY_PER_S } else { 0.0 };
        let per_s = demand.map_or(default_per_s, |demand| demand.per_s);
        let waiting = demand.map_or(0, |demand| demand.waiting);
        if engine.ms_since_load(model, now) < PROTECT_MS {
            return None;
        }
        if idle_only && (running > 0 || waiting > 0) {
            return None;
        }
        let wanted = demand.map_or(0, |demand| self.wanted_replicas(demand, self.engines.len()));
        if per_s >= BUSY_PER_S && replicas <= wanted.max(1) {
            return None;
        }
        let reload = rule.model(model).map_or(0, |model| model.disk_ms) as f64;
        let idle_s = demand.map_or(60.0, |demand| now.since_ms(demand.asked_at) as f64 / 1_000.0).min(60.0);
        let recency = 1.0 / (1.0 + idle_s);
        let scarcity = if replicas <= 1 { 1.0 } else { 0.3 };
        let drain_ms = if running > 0 { VICTIM_CALLS_MS } else { 0.0 };
        Some(reload * scarcity * (0.1 + recency + per_s.min(2.0)) + drain_ms)
    }
}
