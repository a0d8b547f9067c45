//! Which engine loads which model, and what makes way.
//!
//! Load this answers: many more models than places, most of them asked for about once in a load's time, a few asked
//! for all the time. A rare model is loaded where its weights lie nearest, in place of an idle model that is asked for
//! least. Models that no engine has on its disk are fetched ahead while the weight store is idle, because the first
//! load takes several times as long as the later ones.

use cowslip_units::{ClockTime, DomainId, ModelId, ServiceId, UpstreamId};
use smol_str::SmolStr;

use crate::adapter_plan::has_arrived;
use crate::model_answer::{DOUBT_MS, model_answered, task_left_ms};
use crate::planned_engine::{EngineTask, TaskStage, load_ms};
use crate::{
    ArrivalLine, DemandTable, EngineAction, EngineOrder, EngineRule, EngineStatus, GatewayReport, LoadBudget,
    ModelDemand, ModelRule, OrderAnswer, PlaceLine, PlanStep, PlannedEngine, ServiceRule, StoreLimit,
    UpstreamEntry, WeightTier,
};

/// Calls of a busy model that one engine should run.
const CALLS_PER_REPLICA: f64 = 8.0;

/// Rate a second from which a model has two replicas.
const BUSY_PER_S: f64 = 0.6;

/// Time in ms for which a freshly loaded model is not unloaded.
const PROTECT_MS: u64 = 1_200;

/// Time in ms that waiting for the calls of a victim is reckoned to take.
const RUNNING_MS: f64 = 1_500.0;

/// Advantage in ms of a busy engine with a nearer copy from which it is waited for.
const BUSY_MARGIN_MS: f64 = 500.0;

/// Time in ms after the expected end of a load at which the engine is asked.
const LATE_MS: u64 = 250;

/// Pause in ms between two looks for models that no engine has a copy of.
const FETCH_PAUSE_MS: u64 = 200;

/// Time in ms on top of it once every model has a copy: that changes only when an engine is lost.
const COPIED_PAUSE_MS: u64 = 800;

/// An engine counts as loaded from this part of its slots on.
const LOADED_PART: u32 = 4;

/// Places of one model that are told at most.
const MAX_PLACES: usize = 8;

/// Loads from the weight store that run ahead of demand at most, as a part of those at full speed.
const AHEAD_PART: f64 = 0.75;

/// Replicas that a model lacks from which it is hot: its requests are refused although other engines are idle.
const HOT_DEFICIT: usize = 2;

/// Time in ms after a hot model wanted the weight store in which others get little of it. A replica of a hot model serves
/// many requests, a load of a rare one mostly a single request.
const CONTENDED_MS: u64 = 2_000;

/// Loads of hot models from the weight store run up to so many times as many at once as are known to run at full speed.
const HOT_FACTOR: usize = 2;

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadCause {
    /// Requests wait, and no engine holds it.
    Waiting,
    /// Its engines have too much to do by far.
    Hot,
    /// One more engine should hold it.
    Replica,
    /// Nobody asks for it yet, and no engine has a copy of it.
    Ahead,
}

/// Where a load costs least so far.
struct LoadPlace {
    /// Its cost in ms.
    cost: f64,
    /// The engine's place among all.
    at: usize,
    victims: Vec<ModelId>,
    tier: WeightTier,
}

/// The leader's plan for all engines.
#[derive(Clone, Debug)]
pub struct LoadPlanner {
    engines: Vec<PlannedEngine>,
    demand: DemandTable,
    budget: LoadBudget,
    limit: StoreLimit,
    /// Engines that hold, or are about to hold, each model of the service in hand; sorted.
    replicas: Vec<(ModelId, usize)>,
    /// When models were last looked for that no engine has a copy of.
    fetched_at: ClockTime,
    /// When a hot model last wanted a load from the weight store.
    hot_at: Option<ClockTime>,
    /// No order is sent before this time: an earlier leader's may still arrive.
    orders_from: ClockTime,
}

impl LoadPlanner {
    /// A plan that sends orders from `orders_from` on.
    pub fn new(limit: StoreLimit, orders_from: ClockTime, now: ClockTime) -> Self {
        Self {
            engines: Vec::new(),
            demand: DemandTable::new(now),
            budget: LoadBudget::new(now),
            limit,
            replicas: Vec::new(),
            fetched_at: ClockTime::ZERO,
            hot_at: None,
            orders_from,
        }
    }

    /// The demand.
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

    /// Takes a gateway's report.
    pub fn heard(&mut self, report: GatewayReport, now: ClockTime) {
        self.demand.heard(report, now);
    }

    /// Takes the entries of all engines; those that are not named are gone.
    pub fn sync<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
        evacuated: &[DomainId],
        now: ClockTime,
    ) {
        let mut entries: Vec<&UpstreamEntry> = entries.collect();
        entries.sort_by(|left, right| left.id.cmp(&right.id));
        let mut known = std::mem::take(&mut self.engines).into_iter().peekable();
        self.engines.reserve(entries.len());
        for entry in entries {
            while known.next_if(|engine| engine.entry.id < entry.id).is_some() {}
            let engine = known.next_if(|engine| engine.entry.id == entry.id);
            let mut engine = engine.unwrap_or_else(|| PlannedEngine::new(entry.clone(), now));
            engine.update(entry, now);
            engine.closed = engine.entry.draining || evacuated.contains(&engine.entry.domain);
            self.engines.push(engine);
        }
    }

    /// Takes an engine's status, or nothing when it did not answer.
    pub fn status(&mut self, upstream: &UpstreamId, status: Option<EngineStatus>, now: ClockTime) {
        let Ok(at) = self.find(upstream) else { return };
        let Some(engine) = self.engines.get_mut(at) else { return };
        match status {
            Some(status) => engine.status(status, now),
            None => {
                engine.asking = false;
                engine.ask_at = Some(now.plus_ms(DOUBT_MS));
            }
        }
    }

    /// Takes the answer to an order.
    pub fn answered(&mut self, order: &EngineOrder, answer: OrderAnswer, rule: &EngineRule, now: ClockTime) {
        let Ok(at) = self.find(&order.upstream) else { return };
        let Some(engine) = self.engines.get_mut(at) else { return };
        match &order.action {
            EngineAction::Load(_) | EngineAction::Unload(_) => {
                model_answered(engine, order, answer, rule, now);
            }
            EngineAction::LoadAdapter(..) | EngineAction::UnloadAdapter(..) => {
                crate::adapter_plan::adapter_answered(engine, order, answer, now);
            }
        }
    }

    /// What to do now.
    pub fn step(&mut self, services: &[ServiceRule], now: ClockTime) -> Vec<PlanStep> {
        self.demand.refresh(now);
        let mut steps = Vec::new();
        self.ask(now, &mut steps);
        if now < self.orders_from {
            return steps;
        }
        for service in services {
            let Some(rule) = &service.engine else { continue };
            self.budget.refill(rule.loads_per_s, self.limit.extra, now);
            self.count_replicas(&service.name);
            self.serve_waiting(&service.name, rule, now);
            self.add_replicas(&service.name, rule, now);
            self.fetch_ahead(&service.name, rule, now);
            self.send_tasks(&service.name, rule, now, &mut steps);
            self.plan_adapters(&service.name, rule, now, &mut steps);
        }
        steps
    }

    fn ask(&mut self, now: ClockTime, steps: &mut Vec<PlanStep>) {
        for engine in &mut self.engines {
            if let Some(task) = &engine.task
                && let TaskStage::Loading(until) = task.stage
                && now >= until.plus_ms(LATE_MS)
                && engine.ask_at.is_none()
            {
                engine.ask_at = Some(now);
            }
            if !engine.asking && engine.ask_at.is_some_and(|at| now >= at) {
                engine.asking = true;
                steps.push(PlanStep::Ask(engine.entry.id.clone(), engine.entry.address));
            }
        }
    }

    /// Models being loaded from the weight store.
    fn store_loads(&self) -> usize {
        let from_store =
            |engine: &&PlannedEngine| engine.task.as_ref().is_some_and(|task| task.tier == WeightTier::Store);
        self.engines.iter().filter(from_store).count()
    }

    /// Counts the engines that hold, or are about to hold, each model.
    fn count_replicas(&mut self, service: &ServiceId) {
        let mut models: Vec<ModelId> = Vec::new();
        for engine in self.engines.iter().filter(|engine| engine.entry.service == *service && !engine.closed)
        {
            let task = engine.task.as_ref();
            let leaves = |model: &ModelId| task.is_some_and(|task| task.victims.contains(model));
            let held = engine.entry.models.iter().map(|held| &held.name);
            models.extend(held.filter(|model| !leaves(model)).cloned());
            models
                .extend(task.filter(|task| !engine.entry.holds(&task.model)).map(|task| task.model.clone()));
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

    /// One more (`true`) or one fewer engine holds the model.
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

    /// Loads models that requests wait for, the most urgent first.
    fn serve_waiting(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        let waits = |demand: &&ModelDemand| demand.waiting > 0 && rule.model(&demand.model).is_some();
        let mut waiting: Vec<ModelDemand> = self.demand.models().iter().filter(waits).cloned().collect();
        waiting.sort_by(|left, right| {
            let by_number = right.waiting.cmp(&left.waiting);
            by_number.then(right.oldest_ms.cmp(&left.oldest_ms))
        });
        for demand in waiting {
            if self.replicas(&demand.model) == 0 {
                self.start_load(service, rule, &demand.model, LoadCause::Waiting, now);
            }
        }
    }

    /// Replicas that a model should have.
    fn wanted_replicas(&self, demand: &ModelDemand, engines: usize) -> usize {
        let calls = demand.smooth_running.max(f64::from(demand.running)) + f64::from(demand.waiting);
        let by_calls = (calls / CALLS_PER_REPLICA).ceil() as usize;
        let least = usize::from(demand.per_s >= BUSY_PER_S) * 2;
        by_calls.max(least).min(engines.div_ceil(2))
    }

    fn add_replicas(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        let engines = self.engines.iter().filter(|engine| engine.entry.service == *service).count();
        let crowded = |demand: &&ModelDemand| demand.per_s >= BUSY_PER_S || demand.waiting > 0;
        let declared = |demand: &&ModelDemand| rule.model(&demand.model).is_some();
        let busy = self.demand.models().iter().filter(crowded).filter(declared);
        let mut busy: Vec<ModelDemand> = busy.cloned().collect();
        busy.sort_by(|left, right| right.per_s.total_cmp(&left.per_s));
        for demand in &busy {
            let (held, wanted) = (self.replicas(&demand.model), self.wanted_replicas(demand, engines));
            if held >= wanted {
                continue;
            }
            let hot = wanted - held >= HOT_DEFICIT;
            if hot && !self.has_near_copy(&demand.model) {
                self.hot_at = Some(now);
            }
            let cause = if hot { LoadCause::Hot } else { LoadCause::Replica };
            self.start_load(service, rule, &demand.model, cause, now);
        }
    }

    /// True when an engine that does not hold the model has a copy of it.
    fn has_near_copy(&self, model: &ModelId) -> bool {
        let near = |engine: &PlannedEngine| {
            !engine.closed && !engine.entry.holds(model) && engine.tier(model) != WeightTier::Store
        };
        self.engines.iter().any(near)
    }

    /// True while hot models wait for the weight store.
    fn is_store_contended(&self, now: ClockTime) -> bool {
        self.hot_at.is_some_and(|at| now.since_ms(at) < CONTENDED_MS)
    }

    /// Loads from the weight store that may run when one more begins for that cause.
    fn most_store_loads(&self, cause: LoadCause, now: ClockTime) -> usize {
        let at_once = self.limit.at_once;
        match cause {
            LoadCause::Hot => at_once * HOT_FACTOR,
            LoadCause::Waiting | LoadCause::Replica if self.is_store_contended(now) => at_once / 2,
            LoadCause::Waiting | LoadCause::Replica => at_once + 1,
            LoadCause::Ahead if self.is_store_contended(now) => 1,
            LoadCause::Ahead => ((at_once as f64 * AHEAD_PART) as usize).max(1),
        }
    }

    /// Fetches models that no engine has on its disk, while the weight store has room.
    fn fetch_ahead(&mut self, service: &ServiceId, rule: &EngineRule, now: ClockTime) {
        if self.store_loads() >= self.most_store_loads(LoadCause::Ahead, now)
            || now < self.fetched_at.plus_ms(FETCH_PAUSE_MS)
        {
            return;
        }
        self.fetched_at = now;
        let mut copies: Vec<&ModelId> = Vec::new();
        for engine in &self.engines {
            copies.extend(engine.entry.in_memory.iter().chain(&engine.entry.on_disk));
        }
        copies.sort();
        copies.dedup();
        let copied = |model: &ModelId| copies.binary_search(&model).is_ok() || self.replicas(model) > 0;
        let rate = |model: &ModelId| self.demand.get(model).map_or(0.0, |demand| demand.per_s);
        let missing = rule.models.iter().map(|model| &model.name).filter(|model| !copied(model));
        let next = missing.max_by(|left, right| rate(left).total_cmp(&rate(right))).cloned();
        match next {
            Some(model) => self.start_load(service, rule, &model, LoadCause::Ahead, now),
            None => self.fetched_at = now.plus_ms(COPIED_PAUSE_MS),
        }
    }

    /// Begins a load on the engine where it costs least. Only for requests that wait do models in use make way.
    fn start_load(
        &mut self,
        service: &ServiceId,
        rule: &EngineRule,
        model: &ModelId,
        cause: LoadCause,
        now: ClockTime,
    ) {
        let idle_only = cause != LoadCause::Waiting;
        let Some(model_rule) = rule.model(model) else { return };
        let store_ms = load_ms(model_rule, WeightTier::Store) as f64;
        let mut best: Option<LoadPlace> = None;
        let mut soonest_busy = f64::INFINITY;
        let mut far = Vec::new();
        for (at, engine) in self.engines.iter().enumerate() {
            if engine.entry.service != *service || engine.closed || engine.entry.holds(model) {
                continue;
            }
            let tier = engine.tier(model);
            if !engine.is_free() {
                let wait_ms = engine.task.as_ref().map_or(RUNNING_MS, |task| task_left_ms(task, rule, now));
                soonest_busy = soonest_busy.min(wait_ms + load_ms(model_rule, tier) as f64);
            } else if tier == WeightTier::Store {
                far.push(at);
            } else {
                self.consider(at, tier, rule, model_rule, idle_only, &mut best, now);
            }
        }
        // Engines without a copy, of which there are many, are looked at only where they could be cheaper.
        let may_fetch = self.budget.allows() && self.store_loads() < self.most_store_loads(cause, now);
        let worth_it = store_ms <= soonest_busy + BUSY_MARGIN_MS;
        if may_fetch && worth_it && best.as_ref().is_none_or(|place| place.cost > store_ms) {
            for at in far {
                self.consider(at, WeightTier::Store, rule, model_rule, idle_only, &mut best, now);
            }
        }
        let Some(LoadPlace { cost, at, victims, tier }) = best else { return };
        if cost > soonest_busy + BUSY_MARGIN_MS {
            // An engine with a nearer copy of the weights is worth waiting for.
            return;
        }
        if tier == WeightTier::Store {
            self.budget.take();
        }
        for victim in &victims {
            self.count_replica(victim, false);
        }
        self.count_replica(model, true);
        if let Some(engine) = self.engines.get_mut(at) {
            engine.task = Some(EngineTask {
                model: model.clone(),
                tier,
                victims,
                stage: TaskStage::Send(now),
                started_at: now,
                conflicts: 0,
            });
        }
    }

    /// Keeps an engine as the place of a load if it is the cheapest so far.
    #[allow(clippy::too_many_arguments)]
    fn consider(
        &self,
        at: usize,
        tier: WeightTier,
        rule: &EngineRule,
        model_rule: &ModelRule,
        idle_only: bool,
        best: &mut Option<LoadPlace>,
        now: ClockTime,
    ) {
        let Some(engine) = self.engines.get(at) else { return };
        let load = load_ms(model_rule, tier) as f64;
        if best.as_ref().is_some_and(|place| place.cost <= load) {
            return;
        }
        let Some((victims, loss)) = self.victims(engine, rule, model_rule.size_mb, idle_only, now) else {
            return;
        };
        let cost = load + loss;
        if best.as_ref().is_none_or(|place| cost < place.cost) {
            *best = Some(LoadPlace { cost, at, victims, tier });
        }
    }

    /// The models that should make way for `size_mb`, and what their loss costs in ms; `None` when none may.
    fn victims(
        &self,
        engine: &PlannedEngine,
        rule: &EngineRule,
        size_mb: f64,
        idle_only: bool,
        now: ClockTime,
    ) -> Option<(Vec<ModelId>, f64)> {
        let mut used = engine.used_mb(rule);
        let mut victims = Vec::new();
        let mut loss = 0.0;
        let mut models: Vec<(f64, &ModelId)> = Vec::new();
        for held in &engine.entry.models {
            if let Some(value) = self.value(engine, rule, &held.name, idle_only, now) {
                models.push((value, &held.name));
            }
        }
        models.sort_by(|left, right| left.0.total_cmp(&right.0));
        for (value, model) in models {
            if used + size_mb <= rule.memory_mb {
                break;
            }
            used -= rule.model(model).map_or(0.0, |model| model.size_mb);
            loss += value;
            victims.push(model.clone());
        }
        (used + size_mb <= rule.memory_mb).then_some((victims, loss))
    }

    /// What unloading a model costs, in ms; `None` when it must stay.
    fn value(
        &self,
        engine: &PlannedEngine,
        rule: &EngineRule,
        model: &ModelId,
        idle_only: bool,
        now: ClockTime,
    ) -> Option<f64> {
        let running = self.demand.running_at(&engine.entry.id, model, None);
        let replicas = self.replicas(model);
        let demand = self.demand.get(model);
        let per_s = demand.map_or(0.0, |demand| demand.per_s);
        let waiting = demand.map_or(0, |demand| demand.waiting);
        if engine.loaded_since(model, now) < PROTECT_MS {
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
        let soon = 1.0 / (1.0 + idle_s);
        let last = if replicas <= 1 { 1.0 } else { 0.3 };
        let busy = if running > 0 { RUNNING_MS } else { 0.0 };
        Some(reload * last * (0.1 + soon + per_s.min(2.0)) + busy)
    }

    fn send_tasks(
        &mut self,
        service: &ServiceId,
        rule: &EngineRule,
        now: ClockTime,
        steps: &mut Vec<PlanStep>,
    ) {
        for engine in self.engines.iter_mut().filter(|engine| engine.entry.service == *service) {
            let used_mb = engine.used_mb(rule);
            let Some(task) = engine.task.as_mut() else { continue };
            let TaskStage::Send(at) = task.stage else { continue };
            if now < at || engine.asking || engine.ask_at.is_some() || engine.adapter_sent.is_some() {
                continue;
            }
            let held = |model: &&ModelId| engine.entry.models.iter().any(|held| held.name == **model);
            let victim = task.victims.iter().find(held).cloned();
            let size_mb = rule.model(&task.model).map_or(rule.memory_mb, |model| model.size_mb);
            let action = match victim {
                Some(victim) => EngineAction::Unload(victim),
                None if used_mb + size_mb <= rule.memory_mb => EngineAction::Load(task.model.clone()),
                None => {
                    // The engine holds more than was planned with.
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

    /// Models that are coming, with the time until they can serve.
    pub fn arrivals(&self, services: &[ServiceRule], now: ClockTime) -> Vec<ArrivalLine> {
        let mut lines = Vec::new();
        for engine in &self.engines {
            let Some(task) = &engine.task else { continue };
            let rule = services.iter().find(|service| service.name == engine.entry.service);
            let Some(model) =
                rule.and_then(|rule| rule.engine.as_ref()).and_then(|rule| rule.model(&task.model))
            else {
                continue;
            };
            let (wait_ms, begun) = match task.stage {
                TaskStage::Loading(until) => (until.since_ms(now), true),
                TaskStage::Send(_) | TaskStage::Sent(_) => (load_ms(model, task.tier), false),
            };
            let upstream = engine.entry.id.clone();
            lines.push(ArrivalLine { upstream, model: task.model.clone(), wait_ms, begun });
        }
        lines
    }

    /// True when so many calls are worth telling to a large fleet: an upstream that has most of its slots free is as good
    /// as an idle one. Plain services, which the plan does not know, always are.
    pub fn is_loaded(&self, upstream: &UpstreamId, calls: u32) -> bool {
        let engine = self.find(upstream).ok().and_then(|at| self.engines.get(at));
        engine.is_none_or(|engine| calls * LOADED_PART >= engine.entry.slots)
    }

    /// Engines that hold a model, or an adapter of it, and keep it, with the calls there of gateways other than `gateway`.
    pub fn places(
        &self,
        gateway: &str,
        model: &ModelId,
        adapter: Option<&SmolStr>,
        now: ClockTime,
    ) -> Vec<PlaceLine> {
        let keeps = |engine: &&PlannedEngine| {
            !engine.closed
                && engine.entry.holds(model)
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
        self.engines.iter().filter(keeps).take(MAX_PLACES).map(line).collect()
    }

    /// Models that are about to be unloaded.
    pub fn leaving(&self) -> Vec<(UpstreamId, ModelId)> {
        let of_engine = |engine: &PlannedEngine| -> Vec<(UpstreamId, ModelId)> {
            let victims = engine.task.iter().flat_map(|task| &task.victims);
            victims.map(|victim| (engine.entry.id.clone(), victim.clone())).collect()
        };
        self.engines.iter().flat_map(of_engine).collect()
    }
}
