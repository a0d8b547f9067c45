//! One step of the planner: unload idle replicas, advance drains, place waiting loads, return orders.

use cowslip_messages::{ReplicaState, TableVersion};
use cowslip_units::{ClockTime, MemorySize, ModelId, UpstreamId};

use crate::drain_reason::DrainReason;
use crate::ledger_reports::REASON_EVICTED;
use crate::planner_places::LoadCause;
use crate::{
    DemandSum, EngineOrder, LedgerBatch, LedgerEvent, LoadDecision, OrderAction, PlacementPlanner,
    PlacementPolicy, RowKey, RowKind, WaitingLoad,
};

/// Most model loads, and most adapter loads, considered in one step.
const MAX_LOADS_PER_STEP: usize = 64;
/// Delay in ms before a load that the engine refused is retried.
const REFUSED_RETRY_MS: u64 = 5_000;
/// Delay in ms before the next search for a model for which no place was found.
const PLACE_RETRY_MS: u64 = 200;
/// Time in ms in which silent routers may still receive the table with a drain; afterwards, the engine's
/// report of no requests suffices.
const SILENT_ROUTER_GRACE_MS: u64 = 2_000;
/// Callers do not wait for replicas on an upstream that has sent no report for this time in ms.
const UNREACHABLE_AFTER_MS: u64 = 3_000;
/// Retry delay in ms for models that cannot be loaded while the store is down.
const STORE_RETRY_MS: u64 = 2_000;
/// Retry delay in ms for models that are too large for every upstream in service.
const NO_UPSTREAM_RETRY_MS: u64 = 5_000;
/// Longest time in ms for which a load waits for memory on the chosen upstream.
const MAX_INTENT_MS: u64 = 30_000;

/// The actions that result from a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerStep {
    /// Ledger writes to commit.
    pub batch: Option<LedgerBatch>,
    /// Orders to send; the rows behind them are committed.
    pub orders: Vec<EngineOrder>,
    /// Changes of ledger rows since the last step.
    pub events: Vec<LedgerEvent>,
}

impl<P: PlacementPolicy> PlacementPlanner<P> {
    /// Makes all decisions that are due at `now`.
    pub fn step(&mut self, now: ClockTime) -> PlannerStep {
        for model in self.demand.expire(now) {
            self.refresh_demand(&model, now);
        }
        let mut events = Vec::new();
        self.process_events(&mut events, now);
        self.finish_ramps(now);
        self.refused_rows.retain(|(_, until)| *until > now);
        self.blocked.retain(|(_, until)| *until > now);
        self.drain_idle(now);
        self.advance_drains(now);
        self.place_waiting(now);
        if !self.acting {
            return PlannerStep { events, ..PlannerStep::default() };
        }
        let batch = self.ledger.next_batch();
        let (waiting, demand) = (&self.waiting, &self.demand);
        let orders = self.ledger.orders(now, |key| match key.kind {
            RowKind::Adapter => demand.is_waiting(&key.name),
            RowKind::Replica => {
                let from = waiting.partition_point(|(base, _)| base < &key.name);
                waiting.get(from).is_some_and(|(base, _)| base == &key.name)
            }
        });
        for order in &orders {
            self.log.append(&order.key.name, format!("ordered: {}", order_text(order)), now);
        }
        self.process_events(&mut events, now);
        PlannerStep { batch, orders, events }
    }

    fn process_events(&mut self, events: &mut Vec<LedgerEvent>, now: ClockTime) {
        for event in self.ledger.take_events() {
            match &event {
                LedgerEvent::Loaded { key } => self.row_loaded(key, now),
                LedgerEvent::Found { key } => {
                    self.log.append(&key.name, format!("{key}: reported without a row; entered"), now);
                    self.refresh_idle(key, now);
                    self.refresh_upstream(&key.upstream.clone());
                    self.bump_version();
                }
                LedgerEvent::Freed { key, reason } => {
                    self.queue.finish(key);
                    self.idle.clear(key);
                    self.log.append(&key.name, format!("{key}: given up, {reason}"), now);
                    if *reason == REASON_EVICTED && self.has_recent_load(key, now) {
                        // The eviction may have come before the other load, which was then the first into an
                        // empty engine.
                        self.start_ramp(&key.upstream.clone(), now);
                    }
                    self.bump_version();
                }
                LedgerEvent::Deleted { key } => {
                    self.blocked.clear();
                    self.refresh_upstream(&key.upstream.clone());
                    self.bump_version();
                }
                LedgerEvent::Refused { key, reason } => {
                    self.queue.finish(key);
                    self.refused_rows.push((key.clone(), now.plus_ms(REFUSED_RETRY_MS)));
                    self.log.append(&key.name, format!("{key}: the engine refused: {reason}"), now);
                    self.bump_version();
                }
                LedgerEvent::Reissued { key } => {
                    self.idle.clear(key);
                    self.log.append(
                        &key.name,
                        format!("{key}: restarted around the load; ordered again"),
                        now,
                    );
                    self.bump_version();
                }
                LedgerEvent::Superseded => {}
            }
            events.push(event);
        }
    }

    fn row_loaded(&mut self, key: &RowKey, now: ClockTime) {
        self.queue.loaded(key, now);
        self.log.append(&key.name, format!("{key}: loaded"), now);
        if key.kind == RowKind::Replica && !self.has_other_replica(key) {
            self.start_ramp(&key.upstream, now);
            self.schedule_ramp_end(key, now);
        }
        let declared = match key.kind {
            RowKind::Replica => self.sheet.model(&key.name).is_some(),
            RowKind::Adapter => self.sheet.adapter(&key.name).is_some(),
        };
        if declared {
            self.refresh_idle(key, now);
        } else {
            self.start_drain(key, DrainReason::Undeclared, now);
        }
        self.bump_version();
    }

    /// Whether the upstream holds another replica: only the first load into an empty engine starts a slow
    /// start.
    fn has_other_replica(&self, key: &RowKey) -> bool {
        self.ledger.rows_at(&key.upstream).any(|row| {
            let held = matches!(row.state, ReplicaState::Loaded | ReplicaState::Draining);
            held && row.key.kind == RowKind::Replica && row.key != *key
        })
    }

    /// Whether another replica was loaded on the row's upstream within the duration of a slow start.
    fn has_recent_load(&self, key: &RowKey, now: ClockTime) -> bool {
        let ramp_ms = self.engines.get(&key.upstream).map_or(0, |engine| engine.ramp_ms);
        self.ledger.rows_at(&key.upstream).any(|row| {
            let loaded_at = self.ledger.confirmed_at(&row.key).filter(|_| row.state == ReplicaState::Loaded);
            row.key != *key && loaded_at.is_some_and(|at| now.since_ms(at) < ramp_ms)
        })
    }

    fn finish_ramps(&mut self, now: ClockTime) {
        let (due, later) = std::mem::take(&mut self.ramps).into_iter().partition(|(until, _)| *until <= now);
        self.ramps = later;
        let due: Vec<(ClockTime, RowKey)> = due;
        for (_, key) in due {
            self.ledger.ramp_finished(&key);
        }
    }

    /// Drains rows whose expected reuse no longer justifies their memory.
    fn drain_idle(&mut self, now: ClockTime) {
        if !self.store_up {
            return;
        }
        let due: Vec<RowKey> = self.idle.due(now).cloned().collect();
        for key in due {
            if self.start_drain(&key, DrainReason::Idle, now) {
                let text = format!("{key}: draining, expected reuse does not justify the memory");
                self.log.append(&key.name, text, now);
            } else {
                self.idle.clear(&key);
            }
        }
    }

    /// Cancels drains that are no longer needed, and unloads what has been drained.
    fn advance_drains(&mut self, now: ClockTime) {
        for drain in std::mem::take(&mut self.drains) {
            let key = drain.key.clone();
            if self.ledger.state(&key) != Some(ReplicaState::Draining) {
                // A refused unload returns to the draining state and needs the plan again.
                if self.ledger.state(&key) == Some(ReplicaState::Unloading) {
                    self.drains.push(drain);
                }
                continue;
            }
            let waits = match key.kind {
                RowKind::Replica => self.has_waiting_requests(&key.name),
                RowKind::Adapter => self.demand.is_waiting(&key.name),
            };
            let is_obsolete = match &drain.reason {
                DrainReason::Idle => waits,
                DrainReason::FreesMemory(model) => !self
                    .intents
                    .iter()
                    .any(|intent| &intent.key.name == model && intent.upstream() == &key.upstream),
                DrainReason::Undeclared | DrainReason::OutOfService => false,
            };
            if is_obsolete && self.ledger.undrain(&key).is_ok() {
                self.log.append(&key.name, format!("{key}: takes requests again"), now);
                self.refresh_idle(&key, now);
                self.bump_version();
                continue;
            }
            let drained = self.is_drained(&drain.key, drain.since, drain.version, now);
            if drained
                && self.store_up
                && self.ledger.is_unload_due(&key, now)
                && self.ledger.unload(&key).is_ok()
            {
                self.log.append(&key.name, format!("{key}: drained, unloading"), now);
                self.bump_version();
            }
            self.drains.push(drain);
        }
    }

    /// Whether every router has the table with the drain and no requests are running. A silent router cannot
    /// confirm that; after a grace period the engine's own report is used instead.
    fn is_drained(&self, key: &RowKey, since: ClockTime, version: TableVersion, now: ClockTime) -> bool {
        let (late, silent) = self.demand.count_lagging(&self.members, version);
        if late > 0 || self.has_running_requests(key) {
            return false;
        }
        if silent == 0 {
            return true;
        }
        let Some(engine) = self.engines.get(&key.upstream) else {
            return false;
        };
        let grace_end = since.plus_ms(SILENT_ROUTER_GRACE_MS + engine.report.age_ms);
        let reported = engine.reported_at.is_some_and(|at| at >= grace_end);
        now >= grace_end && reported && engine.report.running == 0 && engine.report.queued == 0
    }

    /// Places the models and adapters with waiting requests.
    fn place_waiting(&mut self, now: ClockTime) {
        self.cancel_stale_intents(now);
        let mut refused: Vec<(ModelId, u64)> = Vec::new();
        let mut loads: Vec<(WaitingLoad, bool)> = Vec::new();
        let mut adapters: Vec<ModelId> = Vec::new();
        let mut bases: Vec<ModelId> = self.waiting.iter().map(|(base, _)| base.clone()).collect();
        bases.dedup();
        for base in bases {
            let names = self.waiting_names(&base);
            if self.sheet.model(&base).is_none() {
                refused.extend(names.into_iter().map(|name| (name, NO_UPSTREAM_RETRY_MS)));
                continue;
            }
            let (usable, pending) = self.count_replicas(&base, now);
            if !self.store_up {
                if usable == 0 && pending == 0 {
                    refused.extend(names.into_iter().map(|name| (name, STORE_RETRY_MS)));
                } else {
                    let cold = names.into_iter().filter(|name| *name != base && !self.has_adapter(name));
                    refused.extend(cold.map(|name| (name, STORE_RETRY_MS)));
                }
                continue;
            }
            if pending == 0 {
                let is_blocked = self.blocked.iter().any(|(model, _)| model == &base);
                if !is_blocked {
                    loads.push((self.waiting_load(&base, &names, now), usable > 0));
                } else if let Some(old) = self.refused_before(&names) {
                    refused.extend(old);
                }
            }
            if usable > 0 {
                adapters.extend(names.into_iter().filter(|name| *name != base));
            }
        }
        loads.sort_by_key(|(load, _)| (self.policy.rank(load), load.model.clone()));
        for (ahead, (load, has_replica)) in loads.iter().take(MAX_LOADS_PER_STEP).enumerate() {
            let cause = if *has_replica { LoadCause::Queue } else { LoadCause::Cold };
            if !self.place_load(load, cause, ahead, now) {
                let names = self.waiting_names(&load.model);
                refused.extend(names.into_iter().map(|name| (name, NO_UPSTREAM_RETRY_MS)));
            }
        }
        for adapter in adapters.into_iter().take(MAX_LOADS_PER_STEP) {
            if !self.place_adapter(&adapter, now) {
                // No replica of its model can take it, so another replica is needed.
                let base = self.base_of(&adapter);
                let (_, pending) = self.count_replicas(&base, now);
                if pending == 0 {
                    let load = self.waiting_load(&base, &[adapter], now);
                    self.place_load(&load, LoadCause::AdapterMemory, loads.len(), now);
                }
            }
        }
        refused.sort();
        if refused != self.refused {
            self.refused = refused;
            self.bump_version();
        }
    }

    fn refused_before(&self, names: &[ModelId]) -> Option<Vec<(ModelId, u64)>> {
        let old: Vec<(ModelId, u64)> =
            self.refused.iter().filter(|(name, _)| names.contains(name)).cloned().collect();
        (!old.is_empty()).then_some(old)
    }

    /// Number of replicas in service that take requests, and of replicas being loaded.
    fn count_replicas(&self, base: &ModelId, now: ClockTime) -> (usize, usize) {
        let (mut usable, mut pending) = (0, 0);
        for upstream in self.ledger.places(base) {
            let Some(engine) = self.engines.get(upstream).filter(|engine| engine.is_in_service()) else {
                continue;
            };
            let reachable = engine.reported_at.is_some_and(|at| now.since_ms(at) <= UNREACHABLE_AFTER_MS);
            let key = RowKey::replica(upstream.clone(), base.clone());
            // While the store is down, a decision that is not committed will not lead to a load.
            let decided = self.store_up || self.ledger.is_written(&key);
            match self.ledger.state(&key) {
                Some(ReplicaState::Loaded) if reachable => usable += 1,
                Some(ReplicaState::Ordered) if reachable && decided => pending += 1,
                _ => {}
            }
        }
        (usable, pending)
    }

    fn has_adapter(&self, adapter: &ModelId) -> bool {
        self.ledger.places(adapter).any(|upstream| {
            let key = RowKey::adapter(upstream.clone(), adapter.clone());
            match self.ledger.state(&key) {
                Some(ReplicaState::Loaded) => true,
                Some(ReplicaState::Ordered) => self.ledger.is_written(&key),
                _ => false,
            }
        })
    }

    fn waiting_load(&self, base: &ModelId, names: &[ModelId], now: ClockTime) -> WaitingLoad {
        let mut sum = DemandSum::default();
        for name in names {
            sum.add(&self.demand.sum(name));
        }
        let counted = sum.teams.iter().map(|team| (self.team_starts.count(team, now), team.clone()));
        let (team_starts, team) = counted.min().unwrap_or((0, None));
        WaitingLoad {
            model: base.clone(),
            urgent: sum.urgent > 0,
            deadline: sum.deadline,
            since: sum.since,
            waited_ms: now.since_ms(sum.since),
            waiting: sum.waiting(),
            team,
            team_starts,
        }
    }

    /// Removes intents whose callers have left or whose upstream is no longer suitable.
    fn cancel_stale_intents(&mut self, now: ClockTime) {
        let mut kept = Vec::new();
        for intent in std::mem::take(&mut self.intents) {
            let waits = match intent.key.kind {
                RowKind::Replica => self.has_waiting_requests(&intent.key.name),
                RowKind::Adapter => self.demand.is_waiting(&intent.key.name),
            };
            let can_load = self.engines.get(intent.upstream()).is_some_and(|engine| engine.can_load(now));
            if waits && can_load && now.since_ms(intent.since) <= MAX_INTENT_MS {
                kept.push(intent);
            } else {
                let text = format!("{}: no longer waits for memory there", intent.key);
                self.log.append(&intent.key.name, text, now);
            }
        }
        self.intents = kept;
    }

    /// Free memory of an upstream, less the memory held for intents other than those of `own`.
    pub(crate) fn available_memory(&self, upstream: &UpstreamId, own: &ModelId) -> MemorySize {
        let others =
            self.intents.iter().filter(|intent| intent.upstream() == upstream && &intent.key.name != own);
        let held_memory: MemorySize = others.map(|intent| intent.need).sum();
        self.ledger.free_memory(upstream).minus(held_memory)
    }

    /// Decides to load `key`; its memory must be free.
    pub(crate) fn decide(
        &mut self,
        key: RowKey,
        base: &ModelId,
        memory: MemorySize,
        load_ms: u64,
        now: ClockTime,
    ) -> bool {
        let decision = LoadDecision { key: key.clone(), base: base.clone(), memory, load_ms };
        match self.ledger.decide(decision, now) {
            Ok(()) => {
                self.intents.retain(|intent| intent.key != key);
                self.refresh_upstream(&key.upstream);
                self.bump_version();
                true
            }
            Err(refusal) => {
                self.log.append(&key.name, format!("{key}: not decided: {refusal}"), now);
                false
            }
        }
    }

    /// Delays the next search for a place for `model`.
    pub(crate) fn block(&mut self, model: &ModelId, now: ClockTime) {
        self.blocked.push((model.clone(), now.plus_ms(PLACE_RETRY_MS)));
    }
}

fn order_text(order: &EngineOrder) -> String {
    let action = match order.action {
        OrderAction::Load { .. } => "load",
        OrderAction::LoadAdapter { .. } => "load adapter",
        OrderAction::Unload => "unload",
    };
    format!("{action} {} (order {}, fence {})", order.key, order.order, order.fence)
}
