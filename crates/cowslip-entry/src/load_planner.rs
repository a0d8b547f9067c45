//! Model placement: which engine loads which model, and which models are evicted for it.
//!
//! Load this answers: many more models than places in the engines, most of them requested about once in the
//! time of a load, a few all the time. A rare model is loaded where its weights are nearest, in place of an
//! idle model with the least demand. Models that no engine has on its disk are loaded ahead of demand while
//! the weight store is idle, because the first load takes several times as long as later ones.

mod plan_updates;
mod victim_choice;

use cowslip_units::{ClockTime, ModelId, ServiceId, UpstreamId};

use crate::copy_index::CopyIndex;
use crate::missing_models::MissingModels;
use crate::model_answer::{model_answered, task_left_ms};
use crate::planned_engine::{EngineTask, TaskStage, load_ms};
use crate::store_slots::StoreSlots;
use crate::store_speed::{RunningLoad, StoreSpeed};
use crate::{
    BegunLoad, DelayedLoad, DemandTable, EngineAction, EngineOrder, EngineRule, EngineStatus, GatewayReport,
    LoadCause, LoadDelay, ModelDemand, ModelRate, ModelRule, OrderAge, OrderAnswer, PlanStep, PlanSummary,
    PlannedEngine, ServiceRule, StoreLimit, StoreUse, UpstreamEntry, WeightTier,
};
use victim_choice::{LoadNeed, LoadPlace};

/// Concurrent calls of a busy model that one engine should run.
const CALLS_PER_REPLICA: f64 = 8.0;

/// Largest share of an engine's slots that the calls of one model should take where work decides, because the engine holds
/// other models too.
const REPLICA_SLOT_SHARE: f64 = 0.4;

/// Rate in requests a second from which a model has two replicas.
const BUSY_PER_S: f64 = 0.6;

/// Estimated time in ms until the running calls of a victim end.
const VICTIM_CALLS_MS: f64 = 1_500.0;

/// Time in ms by which waiting for a busy engine with a nearer copy must be shorter than a load elsewhere.
const BUSY_MARGIN_MS: f64 = 500.0;

/// Time in ms after the expected end of a load at which the engine's status is queried.
const LOAD_OVERDUE_MS: u64 = 250;

/// Time in ms between two searches for models that no engine has a copy of.
const FETCH_PAUSE_MS: u64 = 200;

/// Time in ms added to that interval once every model has a copy: that changes only when an engine is lost.
const ALL_COPIED_PAUSE_MS: u64 = 800;

/// Missing replicas from which a model is hot: its requests are rejected although other engines are idle.
const HOT_DEFICIT: usize = 2;

/// A load from the weight store whose time is measured.
#[derive(Clone, Debug)]
struct MeasuredLoad {
    upstream: UpstreamId,
    model: ModelId,
    load: RunningLoad,
}

/// The leader's placement plan for all engines.
#[derive(Clone, Debug)]
pub struct LoadPlanner {
    engines: Vec<PlannedEngine>,
    /// Engines with a copy of each model's weights.
    copies: CopyIndex,
    /// Shortest time in ms until a busy engine of the current service is free; infinite when none is busy.
    least_busy_ms: f64,
    demand: DemandTable,
    /// Requested models that no engine that gets orders has a copy of.
    missing: MissingModels,
    /// Time of the last step, up to which requests are known there.
    stepped_at: ClockTime,
    /// Slots for loads from the weight store.
    slots: StoreSlots,
    /// Each model held by an engine, with the engine's index; sorted. What engines have unloaded since the last step is
    /// listed too.
    holders: Vec<(ModelId, usize)>,
    /// Number of engines that hold or are about to hold each model of the current service; sorted.
    replicas: Vec<(ModelId, usize)>,
    /// Concurrent calls of a model that one engine of the current service should run.
    calls_per_replica: f64,
    /// True when the work of the engines decides where models of the current service are loaded.
    is_load_aware: bool,
    /// Measured speed of the weight store.
    store_speed: StoreSpeed,
    /// Loads from the weight store that are being measured, by engine.
    measured_loads: Vec<MeasuredLoad>,
    /// Time of the last search for models that no engine has a copy of.
    fetched_at: ClockTime,
    /// Time before which no order is sent, because orders of an earlier leader may still arrive.
    orders_from: ClockTime,
    /// Times from which single engines may get orders, according to the previous leader's handover; sorted.
    held_back: Vec<(UpstreamId, ClockTime)>,
    /// Loads that requests wait for, as far as the last step has begun them or could not.
    begun: Vec<BegunLoad>,
    /// Sorted by model after a step.
    delayed: Vec<DelayedLoad>,
}

impl LoadPlanner {
    /// A plan that sends no orders before `orders_from`.
    pub fn new(limit: StoreLimit, orders_from: ClockTime, now: ClockTime) -> Self {
        Self {
            engines: Vec::new(),
            copies: CopyIndex::default(),
            least_busy_ms: f64::INFINITY,
            demand: DemandTable::new(now),
            missing: MissingModels::default(),
            stepped_at: ClockTime::ZERO,
            slots: StoreSlots::new(limit, now),
            holders: Vec::new(),
            replicas: Vec::new(),
            calls_per_replica: CALLS_PER_REPLICA,
            is_load_aware: false,
            store_speed: StoreSpeed::new(now),
            measured_loads: Vec::new(),
            fetched_at: ClockTime::ZERO,
            orders_from,
            held_back: Vec::new(),
            begun: Vec::new(),
            delayed: Vec::new(),
        }
    }

    /// Applies the previous leader's handover: orders may be sent at once except to the engines in
    /// `held_back`, sorted by id, and the rates of busy models are known.
    pub fn apply_handover(
        &mut self,
        held_back: Vec<(UpstreamId, ClockTime)>,
        rates: &[ModelRate],
        now: ClockTime,
    ) {
        self.orders_from = self.orders_from.min(now);
        for engine in &mut self.engines {
            engine.orders_from = orders_from_of(&held_back, &engine.entry.id);
        }
        self.held_back = held_back;
        self.demand.apply_rates(rates, now);
    }

    /// Engines that were sent an order within the last `gap_ms`.
    pub fn recent_orders(&self, gap_ms: u64, now: ClockTime) -> Vec<OrderAge> {
        let age = |engine: &PlannedEngine| {
            Some(OrderAge { upstream: engine.entry.id.clone(), age_ms: engine.order_age_ms(now)? })
        };
        self.engines.iter().filter_map(age).filter(|order| order.age_ms < gap_ms).collect()
    }

    /// Demand by model.
    pub fn demand(&self) -> &DemandTable {
        &self.demand
    }

    /// All engines, sorted by id.
    pub fn engines(&self) -> &[PlannedEngine] {
        &self.engines
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.engines.binary_search_by(|engine| engine.entry.id.cmp(id))
    }

    /// Applies a gateway's report.
    pub fn record_report(&mut self, report: GatewayReport, now: ClockTime) {
        self.demand.record_report(report, now);
    }

    /// Applies the entries of all engines; engines without an entry are removed. Closed engines get no
    /// orders.
    pub fn sync<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
        is_closed: impl Fn(&UpstreamEntry) -> bool,
        now: ClockTime,
    ) {
        let mut entries: Vec<&UpstreamEntry> = entries.collect();
        entries.sort_by(|left, right| left.id.cmp(&right.id));
        let mut known = std::mem::take(&mut self.engines).into_iter().peekable();
        self.engines.reserve(entries.len());
        for entry in entries {
            while let Some(engine) = known.next_if(|engine| engine.entry.id < entry.id) {
                engine.leave_index(&mut self.copies);
            }
            let engine = known.next_if(|engine| engine.entry.id == entry.id);
            let mut engine = engine.unwrap_or_else(|| {
                let orders_from = orders_from_of(&self.held_back, &entry.id);
                PlannedEngine::new(entry.clone(), now).with_orders_from(orders_from)
            });
            engine.update(entry, now);
            engine.update_index(&mut self.copies);
            engine.closed = is_closed(&engine.entry);
            self.engines.push(engine);
        }
        for engine in known {
            engine.leave_index(&mut self.copies);
        }
    }

    /// Applies an engine's status; `None` when it did not answer.
    pub fn status(&mut self, upstream: &UpstreamId, status: Option<EngineStatus>, now: ClockTime) {
        let Ok(at) = self.find(upstream) else { return };
        let Some(engine) = self.engines.get_mut(at) else { return };
        match status {
            Some(status) => engine.status(status, now),
            None => engine.status_unanswered(now),
        }
        let is_idle = engine.task.is_none();
        self.index_holder(at);
        if is_idle {
            self.end_measurement(at, now);
        }
    }

    /// Measures the loads from the weight store that have begun since the last step.
    fn measure_loads(&mut self, rule: &EngineRule, now: ClockTime) {
        self.store_speed.record_running(self.store_use().total(), now);
        let engines = &self.engines;
        let is_known = |id: &UpstreamId| engines.binary_search_by(|engine| engine.entry.id.cmp(id)).is_ok();
        self.measured_loads.retain(|measured| is_known(&measured.upstream));
        for engine in &self.engines {
            let Some(task) = &engine.task else { continue };
            let is_measured = self.measured_loads.iter().any(|measured| measured.upstream == engine.entry.id);
            if task.tier == WeightTier::Store && matches!(task.stage, TaskStage::Loading(_)) && !is_measured {
                let store_ms = rule.model(&task.model).map_or(0, |model| model.store_ms);
                let load = self.store_speed.begin(store_ms, now);
                let (upstream, model) = (engine.entry.id.clone(), task.model.clone());
                self.measured_loads.push(MeasuredLoad { upstream, model, load });
            }
        }
    }

    /// Applies the time that a load from the weight store took, once its engine holds the model. A load that failed tells
    /// nothing.
    fn end_measurement(&mut self, at: usize, now: ClockTime) {
        let Some(engine) = self.engines.get(at) else { return };
        let is_of_engine = |measured: &mut MeasuredLoad| measured.upstream == engine.entry.id;
        let Some(measured) = self.measured_loads.extract_if(.., is_of_engine).next() else { return };
        if engine.entry.holds(&measured.model) {
            self.store_speed.record_end(measured.load, now);
        }
    }

    /// Applies the outcome of an order.
    pub fn answered(&mut self, order: &EngineOrder, answer: OrderAnswer, now: ClockTime) {
        let Ok(at) = self.find(&order.upstream) else { return };
        let Some(engine) = self.engines.get_mut(at) else { return };
        if answer != OrderAnswer::NotSent {
            engine.ordered_at = Some(now);
        }
        match &order.action {
            EngineAction::Load(_) | EngineAction::Unload(_) => {
                model_answered(engine, order, answer, now);
            }
            EngineAction::LoadAdapter(..) | EngineAction::UnloadAdapter(..) => {
                crate::adapter_plan::adapter_answered(engine, order, answer, now);
            }
        }
    }

    /// Orders and status queries to be sent now.
    pub fn step(&mut self, services: &[ServiceRule], now: ClockTime) -> Vec<PlanStep> {
        self.demand.refresh(now);
        self.begun.clear();
        self.delayed.clear();
        let mut steps = Vec::new();
        self.query_engines(now, &mut steps);
        self.index_holders();
        if now < self.orders_from {
            return steps;
        }
        for service in services {
            let Some(rule) = &service.engine else { continue };
            self.calls_per_replica = calls_per_replica(service, rule);
            self.is_load_aware = service.is_self_paced();
            self.measure_loads(rule, now);
            self.slots.set_measured(self.is_load_aware.then_some(self.store_speed.at_once()));
            self.slots.refill(rule.loads_per_s, now);
            self.count_replicas(&service.name);
            self.least_busy_ms = self.least_busy_ms(&service.name, now);
            // Adapters go first: one takes milliseconds, and an engine accepts none while it loads a model.
            self.plan_adapters(&service.name, rule, now, &mut steps);
            self.update_missing(&service.name, rule, now);
            self.serve_waiting(&service.name, rule, now);
            self.serve_missing(&service.name, rule, now);
            self.add_replicas(&service.name, rule, now);
            self.fetch_ahead(&service.name, rule, now);
            self.send_tasks(&service.name, rule, now, &mut steps);
        }
        self.delayed.sort_by(|left, right| left.model.cmp(&right.model));
        self.stepped_at = now;
        steps
    }

    fn query_engines(&mut self, now: ClockTime, steps: &mut Vec<PlanStep>) {
        for engine in &mut self.engines {
            engine.assume_loaded(now);
            if let Some(task) = &engine.task
                && let TaskStage::Loading(until) = task.stage
                && now >= until.plus_ms(LOAD_OVERDUE_MS)
                && engine.query_at.is_none()
            {
                engine.query_at = Some(now);
            }
            if engine.start_query(now) {
                steps.push(PlanStep::QueryStatus(engine.entry.id.clone(), engine.entry.address));
            }
        }
    }

    /// Models being loaded from the weight store.
    fn store_use(&self) -> StoreUse {
        let mut store_use = StoreUse::default();
        for task in self.store_tasks() {
            store_use.add(task.cause);
        }
        store_use
    }

    fn store_tasks(&self) -> impl Iterator<Item = &EngineTask> {
        let tasks = self.engines.iter().filter_map(|engine| engine.task.as_ref());
        tasks.filter(|task| task.tier == WeightTier::Store)
    }

    /// What the last step found.
    pub fn summary(&self) -> PlanSummary {
        PlanSummary { delayed: self.delayed.clone(), begun: self.begun.clone(), store: self.store_use() }
    }

    /// Lists the engines that hold each model.
    fn index_holders(&mut self) {
        self.holders.clear();
        for (at, engine) in self.engines.iter().enumerate() {
            let held = engine.entry.models.iter().map(|held| (held.name.clone(), at));
            self.holders.extend(held);
        }
        self.holders.sort_unstable();
    }

    /// Adds the models of one engine to that list.
    fn index_holder(&mut self, at: usize) {
        let Some(engine) = self.engines.get(at) else { return };
        for held in &engine.entry.models {
            let line = (held.name.clone(), at);
            if let Err(place) = self.holders.binary_search(&line) {
                self.holders.insert(place, line);
            }
        }
    }

    /// Number of models of a service that no open engine has a copy of.
    pub fn models_without_copy(&self, rule: &EngineRule) -> usize {
        rule.models.iter().filter(|model| !self.has_copy(&model.name)).count()
    }

    /// True when an engine that gets orders has a copy of the model.
    fn has_copy(&self, model: &ModelId) -> bool {
        let is_open = |id: &UpstreamId| self.engine(id).is_some_and(|engine| !engine.closed);
        self.copies.engines(model).iter().any(is_open)
    }

    /// Counts the engines that hold or are about to hold each model.
    fn count_replicas(&mut self, service: &ServiceId) {
        let is_counted = |engine: &PlannedEngine| engine.entry.service == *service && !engine.closed;
        let stays = |engine: &PlannedEngine, model: &ModelId| {
            !engine.task.as_ref().is_some_and(|task| task.victims.contains(model))
        };
        let held = self.holders.iter().filter(|(model, at)| {
            self.engines.get(*at).is_some_and(|engine| is_counted(engine) && stays(engine, model))
        });
        let mut models: Vec<ModelId> = held.map(|(model, _)| model.clone()).collect();
        for engine in self.engines.iter().filter(|engine| is_counted(engine)) {
            let task = engine.task.as_ref().filter(|task| !engine.entry.holds(&task.model));
            models.extend(task.map(|task| task.model.clone()));
        }
        models.sort();
        self.replicas.clear();
        for model in models {
            match self.replicas.last_mut() {
                Some((known, count)) if *known == model => *count += 1,
                _ => self.replicas.push((model, 1)),
            }
        }
    }

    /// Adjusts the count of a model by one more (`true`) or one fewer replica.
    fn count_replica(&mut self, model: &ModelId, more: bool) {
        match self.replicas.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => {
                if let Some((_, count)) = self.replicas.get_mut(at) {
                    *count = if more { *count + 1 } else { count.saturating_sub(1) };
                }
            }
            Err(at) if more => self.replicas.insert(at, (model.clone(), 1)),
            Err(_) => {}
        }
    }

    fn replicas(&self, model: &ModelId) -> usize {
        let at = self.replicas.binary_search_by(|(known, _)| known.cmp(model));
        at.ok().and_then(|at| self.replicas.get(at)).map_or(0, |(_, count)| *count)
    }

    /// Finds the models that are requested and have no copy.
    fn update_missing(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        let mut missing = std::mem::take(&mut self.missing);
        let is_missing = |model: &ModelId| self.replicas(model) == 0 && !self.has_copy(model);
        missing.retain(service, is_missing, now);
        let is_new = |demand: &&ModelDemand| demand.asked_at >= self.stepped_at || demand.waiting > 0;
        for demand in self.demand.models().iter().filter(is_new) {
            if is_missing(&demand.model) && rule.model(&demand.model).is_some() {
                let since = now.minus_ms(demand.oldest_ms);
                missing.record_request(service, &demand.model, since, demand.asked_at);
            }
        }
        self.missing = missing;
        self.slots.set_missing(self.missing.len() > 0);
    }

    /// Loads models that no engine that gets orders has a copy of, the one that has waited longest first.
    fn serve_missing(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        let mut position = 0;
        for missing in self.missing.of_service(service) {
            let Some(model) = rule.model(&missing.model) else { continue };
            let oldest_ms = now.since_ms(missing.since);
            match self.start_load(service, rule, model, LoadCause::Waiting, now) {
                Ok(tier) => self.begun.push(BegunLoad { model: missing.model, oldest_ms, tier }),
                Err(delay) => {
                    let wait_ms = Some(self.store_wait_ms(position, model, now));
                    self.delayed.push(DelayedLoad { model: missing.model, oldest_ms, delay, wait_ms });
                    position += 1;
                }
            }
        }
    }

    /// Expected time in ms until an engine holds the model for whose load `position` others from the weight store are
    /// waited for.
    fn store_wait_ms(&self, position: usize, model: &ModelRule, now: ClockTime) -> u64 {
        let share = self.slots.missing_share(now);
        let tasks = self.store_tasks().filter(|task| task.cause == LoadCause::Waiting);
        let mut left_ms: Vec<f64> = tasks.map(|task| task_left_ms(task, now)).collect();
        left_ms.resize(left_ms.len().max(share), 0.0);
        left_ms.sort_by(f64::total_cmp);
        let load_ms = model.store_ms as f64 * self.store_speed.slowdown();
        let turns = (position / share) as f64;
        // Of more loads than that, all but the last ones end first.
        let next = left_ms.len() - share + position % share;
        let begins_ms = left_ms.get(next).copied().unwrap_or_default() + turns * load_ms;
        (begins_ms + load_ms) as u64
    }

    /// Expected time in ms until an engine holds a model whose load has not begun; `None` when that is not known, or when
    /// its load has begun.
    pub fn expected_wait_ms(&self, services: &[ServiceRule], model: &ModelId, now: ClockTime) -> Option<u64> {
        if let Ok(at) = self.delayed.binary_search_by(|load| load.model.cmp(model)) {
            return self.delayed.get(at)?.wait_ms;
        }
        let is_loading = |engine: &PlannedEngine| {
            engine.entry.holds(model) || engine.task.as_ref().is_some_and(|task| task.model == *model)
        };
        if self.has_copy(model) || self.engines.iter().any(is_loading) {
            return None;
        }
        let mut rules = services.iter().filter_map(|service| service.engine.as_ref()?.model(model));
        // Its first request: it will be the last of those that wait for the store.
        Some(self.store_wait_ms(self.missing.len(), rules.next()?, now))
    }

    /// Loads models that requests wait for and that an engine has a copy of, the one with the most waiting requests first.
    fn serve_waiting(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        let waits = |demand: &&ModelDemand| {
            demand.waiting > 0 && self.replicas(&demand.model) == 0 && self.has_copy(&demand.model)
        };
        let mut waiting: Vec<ModelDemand> = self.demand.models().iter().filter(waits).cloned().collect();
        waiting.sort_by(|left, right| {
            let by_number = right.waiting.cmp(&left.waiting);
            by_number.then(right.oldest_ms.cmp(&left.oldest_ms))
        });
        for demand in waiting {
            let Some(model) = rule.model(&demand.model) else { continue };
            let outcome = self.start_load(service, rule, model, LoadCause::Waiting, now);
            let oldest_ms = demand.oldest_ms;
            match outcome {
                Ok(tier) => self.begun.push(BegunLoad { model: demand.model, oldest_ms, tier }),
                Err(delay) => {
                    let wait_ms = self.near_wait_ms(model, now);
                    let model = demand.model;
                    self.delayed.push(DelayedLoad { model, oldest_ms, delay, wait_ms });
                }
            }
        }
    }

    /// Expected time in ms until a busy engine with a copy of a model holds it.
    fn near_wait_ms(&self, model: &ModelRule, now: ClockTime) -> Option<u64> {
        let open = self.copies.engines(&model.name).iter().filter_map(|id| self.engine(id));
        let open = open.filter(|engine| !engine.closed);
        let wait_ms =
            |engine: &PlannedEngine| busy_ms(engine, now) as u64 + load_ms(model, engine.tier(&model.name));
        open.map(wait_ms).min()
    }

    /// Number of replicas that a model should have.
    fn wanted_replicas(&self, demand: &ModelDemand, engines: usize) -> usize {
        let calls = demand.smooth_running.max(f64::from(demand.running)) + f64::from(demand.waiting);
        let by_calls = (calls / self.calls_per_replica).ceil() as usize;
        let least = usize::from(demand.per_s >= BUSY_PER_S) * 2;
        by_calls.max(least).min(engines.div_ceil(2))
    }

    /// Calls that one more replica of a model is expected to get.
    fn expected_calls(&self, model: &ModelId) -> f64 {
        let Some(demand) = self.demand.get(model) else { return 0.0 };
        let calls = demand.smooth_running.max(f64::from(demand.running)) + f64::from(demand.waiting);
        calls / (self.replicas(model) + 1) as f64
    }

    fn add_replicas(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        let engines = self.engines.iter().filter(|engine| engine.entry.service == *service).count();
        let crowded = |demand: &&ModelDemand| demand.per_s >= BUSY_PER_S || demand.waiting > 0;
        let lacks =
            |demand: &&ModelDemand| self.replicas(&demand.model) < self.wanted_replicas(demand, engines);
        let busy = self.demand.models().iter().filter(crowded).filter(lacks);
        let mut busy: Vec<ModelDemand> = busy.cloned().collect();
        busy.sort_by(|left, right| right.per_s.total_cmp(&left.per_s));
        for demand in &busy {
            let Some(model) = rule.model(&demand.model) else { continue };
            let (held, wanted) = (self.replicas(&demand.model), self.wanted_replicas(demand, engines));
            let hot = wanted - held >= HOT_DEFICIT;
            if hot && !self.has_near_copy(&demand.model) {
                self.slots.record_hot_demand(now);
            }
            let cause = if hot { LoadCause::Hot } else { LoadCause::Replica };
            // A load that can't begin now is tried again with the next plan.
            let _ = self.start_load(service, rule, model, cause, now);
        }
    }

    /// True when an engine that does not hold the model has a copy of its weights.
    fn has_near_copy(&self, model: &ModelId) -> bool {
        let mut copied = self.copies.engines(model).iter().filter_map(|id| self.engine(id));
        copied.any(|engine| !engine.closed && !engine.entry.holds(model))
    }

    fn engine(&self, id: &UpstreamId) -> Option<&PlannedEngine> {
        self.engines.get(self.find(id).ok()?)
    }

    /// Shortest time in ms until a busy engine of a service is free.
    fn least_busy_ms(&self, service: &ServiceId, now: ClockTime) -> f64 {
        let busy = self
            .engines
            .iter()
            .filter(|engine| engine.entry.service == *service && !engine.closed && !engine.is_free(now));
        busy.map(|engine| busy_ms(engine, now)).fold(f64::INFINITY, f64::min)
    }

    /// Loads models that no engine has on its disk, while the weight store has capacity left.
    fn fetch_ahead(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        if !self.slots.can_start(self.store_use(), LoadCause::Ahead, now)
            || now < self.fetched_at.plus_ms(FETCH_PAUSE_MS)
        {
            return;
        }
        self.fetched_at = now;
        let copied = |model: &ModelId| self.replicas(model) > 0 || self.has_copy(model);
        let rate = |model: &ModelId| self.demand.get(model).map_or(0.0, |demand| demand.per_s);
        let missing = rule.models.iter().filter(|model| !copied(&model.name));
        let next = missing.max_by(|left, right| rate(&left.name).total_cmp(&rate(&right.name)));
        match next {
            Some(model) => {
                // A load that can't begin now is tried again after the pause.
                let _ = self.start_load(service, rule, model, LoadCause::Ahead, now);
            }
            None => self.fetched_at = now.plus_ms(ALL_COPIED_PAUSE_MS),
        }
    }

    /// Begins a load on the engine with the lowest cost, and returns the place of the weights. Models in use are evicted only
    /// for waiting requests.
    fn start_load(
        &mut self,
        service: &ServiceId,
        rule: &EngineRule,
        model_rule: &ModelRule,
        cause: LoadCause,
        now: ClockTime,
    ) -> Result<WeightTier, LoadDelay> {
        let model = &model_rule.name;
        let need = LoadNeed {
            rule,
            model: model_rule,
            idle_only: cause != LoadCause::Waiting,
            expected_calls: self.is_load_aware.then(|| self.expected_calls(model)),
            now,
        };
        let store_ms = load_ms(model_rule, WeightTier::Store) as f64;
        let mut best: Option<LoadPlace> = None;
        let mut soonest_busy = self.least_busy_ms + store_ms;
        let copied = self.copies.engines(model);
        for at in copied.iter().filter_map(|id| self.find(id).ok()) {
            let Some(engine) = self.engines.get(at) else { continue };
            if engine.entry.service != *service || engine.closed || engine.entry.holds(model) {
                continue;
            }
            let tier = engine.tier(model);
            if engine.is_free(now) {
                self.consider(at, tier, &need, &mut best);
            } else {
                soonest_busy = soonest_busy.min(busy_ms(engine, now) + load_ms(model_rule, tier) as f64);
            }
        }
        // Engines without a copy, of which there are many, are considered only where they could be cheaper.
        let may_fetch = self.slots.can_start(self.store_use(), cause, now);
        let is_store_competitive = store_ms <= soonest_busy + BUSY_MARGIN_MS;
        if may_fetch && is_store_competitive && best.as_ref().is_none_or(|place| place.cost > store_ms) {
            for (at, engine) in self.engines.iter().enumerate() {
                let is_open = engine.entry.service == *service && !engine.entry.holds(model);
                if is_open && engine.is_free(now) && copied.binary_search(&engine.entry.id).is_err() {
                    self.consider(at, WeightTier::Store, &need, &mut best);
                }
            }
        }
        let Some(LoadPlace { cost, at, victims, tier }) = best else {
            return Err(if soonest_busy < store_ms {
                LoadDelay::EngineBusy
            } else if may_fetch {
                LoadDelay::NoEngine
            } else {
                LoadDelay::StoreBusy
            });
        };
        if cost > soonest_busy + BUSY_MARGIN_MS {
            // Waiting for an engine with a nearer copy of the weights costs less.
            return Err(LoadDelay::EngineBusy);
        }
        if tier == WeightTier::Store {
            self.slots.take();
        }
        for victim in &victims {
            self.count_replica(victim, false);
        }
        self.count_replica(model, true);
        if let Some(engine) = self.engines.get_mut(at) {
            engine.task = Some(EngineTask {
                model: model.clone(),
                tier,
                cause,
                load_ms: load_ms(model_rule, tier),
                victims,
                stage: TaskStage::Send(now),
                started_at: now,
                conflicts: 0,
            });
        }
        Ok(tier)
    }

    fn send_tasks(
        &mut self,
        service: &ServiceId,
        rule: &EngineRule,
        now: ClockTime,
        steps: &mut Vec<PlanStep>,
    ) {
        for engine in self.engines.iter_mut().filter(|engine| engine.entry.service == *service) {
            let Some(EngineTask { stage: TaskStage::Send(at), .. }) = engine.task else { continue };
            let waits = now < at.max(engine.orders_from);
            if waits || engine.is_querying || engine.query_at.is_some() || engine.adapter_sent.is_some() {
                continue;
            }
            let used_mb = engine.used_mb(rule);
            let Some(task) = engine.task.as_mut() else { continue };
            let held = |model: &&ModelId| engine.entry.models.iter().any(|held| held.name == **model);
            let victim = task.victims.iter().find(held).cloned();
            let size_mb = rule.model(&task.model).map_or(rule.memory_mb, |model| model.size_mb);
            let action = match victim {
                Some(victim) => EngineAction::Unload(victim),
                None if used_mb + size_mb <= rule.memory_mb => EngineAction::Load(task.model.clone()),
                None => {
                    // The engine holds more than the plan assumed.
                    engine.task = None;
                    continue;
                }
            };
            task.stage = TaskStage::Sent(action.clone());
            steps.push(PlanStep::Order(EngineOrder {
                upstream: engine.entry.id.clone(),
                address: engine.entry.address,
                action,
                expected_orders: engine.orders,
            }));
        }
    }

    fn plan_adapters(
        &mut self,
        service: &ServiceId,
        rule: &EngineRule,
        now: ClockTime,
        steps: &mut Vec<PlanStep>,
    ) {
        let orders = crate::adapter_plan::adapter_orders(&mut self.engines, service, rule, &self.demand, now);
        steps.extend(orders.into_iter().map(PlanStep::Order));
    }
}

/// Concurrent calls of a model that one engine of a service should run.
fn calls_per_replica(service: &ServiceRule, rule: &EngineRule) -> f64 {
    if service.is_self_paced() {
        CALLS_PER_REPLICA.min(f64::from(rule.slots) * REPLICA_SLOT_SHARE).max(1.0)
    } else {
        CALLS_PER_REPLICA
    }
}

/// Time in ms until a busy engine may get orders.
fn busy_ms(engine: &PlannedEngine, now: ClockTime) -> f64 {
    let task_ms = engine.task.as_ref().map_or(VICTIM_CALLS_MS, |task| task_left_ms(task, now));
    task_ms.max(engine.orders_from.since_ms(now) as f64)
}

/// Time from which an engine may get orders, according to a sorted list.
fn orders_from_of(held_back: &[(UpstreamId, ClockTime)], id: &UpstreamId) -> ClockTime {
    let at = held_back.binary_search_by(|(held, _)| held.cmp(id)).ok();
    at.and_then(|at| held_back.get(at)).map_or(ClockTime::ZERO, |(_, from)| *from)
}
