//! Updates to gateways that follow from the plan: which engines hold or load the models that their requests
//! wait for, and which models are about to be unloaded.

use cowslip_units::{ClockTime, ModelId, UpstreamId};
use smol_str::SmolStr;

use super::LoadPlanner;
use crate::adapter_plan::has_arrived;
use crate::planned_engine::{EngineTask, TaskStage};
use crate::{ArrivalLine, PlaceLine, PlannedEngine, WeightTier};

/// An engine counts as busy when its calls reach its slots divided by this.
const BUSY_SLOTS_DIVISOR: u32 = 4;

/// Shortest estimate in ms of the time until an overdue load ends: about that until its engine's next status.
const MIN_OVERDUE_WAIT_MS: u64 = 400;

/// Largest number of places of one model in an answer.
const MAX_PLACES: usize = 8;

/// Estimated time in ms until an overdue load ends: as long again as it has been overdue.
fn overdue_wait_ms(expected_at: ClockTime, now: ClockTime) -> u64 {
    now.since_ms(expected_at).max(MIN_OVERDUE_WAIT_MS)
}

fn arrival_line(engine: &PlannedEngine, task: &EngineTask, now: ClockTime) -> ArrivalLine {
    let (wait_ms, begun) = match task.stage {
        // The end of an overdue load is unknown. Gateways that were given a time sent requests to the engine again
        // and again, which it refused.
        TaskStage::Loading(until) if now > until => (overdue_wait_ms(until, now), false),
        TaskStage::Loading(until) => (until.since_ms(now), task.tier != WeightTier::Store),
        TaskStage::Send(_) | TaskStage::Sent(_) => (task.load_ms, false),
    };
    ArrivalLine { upstream: engine.entry.id.clone(), model: task.model.clone(), wait_ms, begun }
}

impl LoadPlanner {
    /// Models that are about to be loaded, with the time until they can serve. The end of a load from the weight store
    /// depends on the other loads there, so such a load has no end that requests can be timed by.
    pub fn pending_loads(&self, now: ClockTime) -> Vec<ArrivalLine> {
        let line = |engine: &PlannedEngine| Some(arrival_line(engine, engine.task.as_ref()?, now));
        self.engines.iter().filter_map(line).collect()
    }

    /// Engines that are about to load one model, like [`pending_loads`](Self::pending_loads).
    pub fn pending_loads_of(&self, model: &ModelId, now: ClockTime) -> Vec<ArrivalLine> {
        let line = |engine: &PlannedEngine| {
            let task = engine.task.as_ref().filter(|task| task.model == *model)?;
            Some(arrival_line(engine, task, now))
        };
        self.engines.iter().filter_map(line).collect()
    }

    /// True when the number of calls at an upstream is worth reporting to a large fleet: an upstream with
    /// most of its slots free is as good as an idle one. True for plain services, which are not part of the
    /// plan.
    pub fn is_busy(&self, upstream: &UpstreamId, calls: u32) -> bool {
        let engine = self.find(upstream).ok().and_then(|at| self.engines.get(at));
        engine.is_none_or(|engine| calls * BUSY_SLOTS_DIVISOR >= engine.entry.slots)
    }

    /// Engines that hold and keep a model, or an adapter of it, with the calls there of gateways other than
    /// `gateway`.
    pub fn places(
        &self,
        gateway: &str,
        model: &ModelId,
        adapter: Option<&SmolStr>,
        now: ClockTime,
    ) -> Vec<PlaceLine> {
        let keeps = |engine: &&PlannedEngine| {
            engine.entry.holds(model)
                && !engine.closed
                && !engine.task.as_ref().is_some_and(|task| task.victims.contains(model))
                && adapter.is_none_or(|adapter| has_arrived(engine, model, adapter, now))
        };
        let line = |engine: &PlannedEngine| PlaceLine {
            upstream: engine.entry.id.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
            calls: {
                let (id, demand) = (&engine.entry.id, &self.demand);
                demand.calls_at(id).saturating_sub(demand.calls_of(gateway, id))
            },
        };
        let first = self.holders.partition_point(|(held, _)| held < model);
        let holders = self.holders.get(first..).unwrap_or_default().iter();
        let holders = holders.take_while(|(held, _)| held == model);
        let engines = holders.filter_map(|(_, at)| self.engines.get(*at));
        engines.filter(keeps).take(MAX_PLACES).map(line).collect()
    }

    /// Models that are about to be unloaded, by engine.
    pub fn leaving(&self) -> Vec<(UpstreamId, ModelId)> {
        let mut lines = Vec::new();
        for engine in &self.engines {
            let victims = engine.task.iter().flat_map(|task| &task.victims);
            lines.extend(victims.map(|victim| (engine.entry.id.clone(), victim.clone())));
        }
        lines
    }
}
