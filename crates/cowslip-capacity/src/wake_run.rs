//! Simulation in virtual time of models and adapters that become used and idle again.

use cowslip_messages::{DemandReport, ModelDemand, ReplicaState, TableVersion};
use cowslip_placement::{EngineOrder, OrderAction, OrderAnswer, RowKey, UpstreamReport};
use cowslip_units::{ClockTime, MemorySize, ModelId, UpstreamId};

use crate::planner_fixture::{MeasuredPlanner, boot, settle};
use crate::{FleetGenerator, PlannerFixture, WakeCounts, json_bytes};

/// Interval of planner steps in ms.
const STEP_MS: u64 = 100;
/// Interval of engine reports in ms. The design has 250; the planner requires one only each 1,000.
const REPORT_MS: u64 = 900;
/// Time in ms for which a model or adapter stays in use.
const USE_MS: u64 = 120_000;
/// Delay in ms until a ledger transaction is committed.
const COMMIT_MS: u64 = 20;

#[derive(Debug)]
struct SimulatedEngine {
    sequence: u64,
    loaded: Vec<(ModelId, MemorySize)>,
}

/// A planner with simulated engines, one router and a store, none of which ever fails.
#[derive(Debug)]
pub struct WakeRun {
    fixture: PlannerFixture,
    planner: MeasuredPlanner,
    generator: FleetGenerator,
    router: DemandReport,
    engines: Vec<SimulatedEngine>,
    /// Models and adapters in use, each with the time at which it becomes idle.
    active: Vec<(ModelId, ClockTime)>,
    /// Orders in flight, each with the time at which it completes.
    orders: Vec<(ClockTime, EngineOrder)>,
    commit: Option<(ClockTime, u64)>,
    counts: WakeCounts,
}

impl WakeRun {
    /// Creates a fleet without loaded models.
    pub fn new(seed: u64, models: usize, adapters: usize, upstreams: usize) -> Self {
        let fixture = PlannerFixture { replicas: 0, ..PlannerFixture::new(models, adapters, upstreams) };
        let mut generator = FleetGenerator::new(seed);
        let members = generator.members(1);
        let mut planner = fixture.make(&members);
        settle(&mut planner, PlannerFixture::STARTED_AT.plus_ms(1));
        let incarnation = members[0].incarnation.clone();
        let router =
            DemandReport { incarnation, sequence: 0, table: TableVersion::default(), models: Vec::new() };
        let engine =
            |_| SimulatedEngine { sequence: PlannerFixture::STARTED_AT.millis() + 10, loaded: Vec::new() };
        Self {
            fixture,
            planner,
            generator,
            router,
            engines: (0..upstreams).map(engine).collect(),
            active: Vec::new(),
            orders: Vec::new(),
            commit: None,
            counts: WakeCounts::default(),
        }
    }

    /// Runs for `length_ms`. Per hour, `hourly_share` of all models and adapters become used.
    #[allow(clippy::cast_precision_loss)]
    pub fn run(mut self, length_ms: u64, hourly_share: f64) -> WakeCounts {
        let names = self.fixture.models + self.fixture.adapters;
        let chance = names as f64 * hourly_share * STEP_MS as f64 / 3_600_000.0;
        let first = self.planner.version().count;
        let start = PlannerFixture::STARTED_AT.plus_ms(STEP_MS);
        let mut now = start;
        while now.since_ms(start) < length_ms {
            self.deliver_answers(now);
            self.report_engines(now);
            if self.generator.share() < chance {
                let at = self.generator.below(names);
                self.wake(at, now);
            }
            self.report_router(now);
            self.step(now);
            now = now.plus_ms(STEP_MS);
        }
        self.counts.table_versions = self.planner.version().count - first;
        self.counts.loaded_rows = u64::try_from(self.planner.ledger().rows().count()).unwrap_or_default();
        self.counts
    }

    fn wake(&mut self, at: usize, now: ClockTime) {
        let name = if at < self.fixture.models {
            FleetGenerator::model(at)
        } else {
            FleetGenerator::adapter(at - self.fixture.models)
        };
        if self.active.iter().all(|(active, _)| *active != name) {
            self.counts.wakes += 1;
            self.active.push((name, now.plus_ms(USE_MS)));
            self.active.sort();
        }
    }

    /// The router dispatches by the latest placement table, and reports each 100 ms while any request waits,
    /// else each second.
    fn report_router(&mut self, now: ClockTime) {
        self.active.retain(|(_, until)| *until > now);
        let mut waits = false;
        let mut models = Vec::new();
        for (name, _) in &self.active {
            match self.loaded_upstream(name) {
                Some(upstream) => models.push(ModelDemand {
                    model: name.clone(),
                    waiting: Vec::new(),
                    running: 1,
                    arrived: 0,
                    running_on: vec![upstream],
                }),
                None => {
                    waits = true;
                    models.push(PlannerFixture::waiting(name.clone(), 100));
                }
            }
        }
        let heartbeat = now.millis().is_multiple_of(1_000);
        if waits || heartbeat {
            self.counts.demand_reports += 1;
            self.router.sequence += 1;
            self.router.table = self.planner.version();
            self.router.models = models;
            self.planner.demand_report(self.router.clone(), now);
        }
    }

    fn loaded_upstream(&self, name: &ModelId) -> Option<UpstreamId> {
        let ledger = self.planner.ledger();
        let loaded = |upstream: &&UpstreamId| {
            let keys = [
                RowKey::replica((*upstream).clone(), name.clone()),
                RowKey::adapter((*upstream).clone(), name.clone()),
            ];
            keys.iter().any(|key| ledger.state(key) == Some(ReplicaState::Loaded))
        };
        ledger.places(name).find(loaded).cloned()
    }

    fn step(&mut self, now: ClockTime) {
        self.counts.steps += 1;
        let step = self.planner.step(now);
        if let Some(batch) = step.batch {
            self.counts.transactions += 1;
            self.counts.rows_put += u64::try_from(batch.puts.len()).unwrap_or_default();
            self.counts.rows_deleted += u64::try_from(batch.deletes.len()).unwrap_or_default();
            self.counts.row_bytes += batch.puts.iter().map(json_bytes).sum::<f64>();
            self.commit = Some((now.plus_ms(COMMIT_MS), batch.number));
        }
        for order in step.orders {
            self.counts.orders += 1;
            let takes_ms = match order.action {
                OrderAction::Load { load_ms, .. } | OrderAction::LoadAdapter { load_ms, .. } => load_ms,
                OrderAction::Unload => STEP_MS,
            };
            self.orders.push((now.plus_ms(takes_ms), order));
        }
    }

    fn deliver_answers(&mut self, now: ClockTime) {
        if let Some((at, number)) = self.commit
            && at <= now
        {
            self.planner.batch_committed(number);
            self.commit = None;
        }
        let due: Vec<(ClockTime, EngineOrder)> = self.orders.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            let Some(at) =
                (0..self.engines.len()).find(|at| FleetGenerator::upstream(*at) == order.key.upstream)
            else {
                continue;
            };
            let engine = &mut self.engines[at];
            engine.sequence += 1;
            engine.loaded.retain(|(name, _)| *name != order.key.name);
            match order.action {
                OrderAction::Load { memory, .. } | OrderAction::LoadAdapter { memory, .. } => {
                    engine.loaded.push((order.key.name.clone(), memory));
                    engine.loaded.sort();
                }
                OrderAction::Unload => {
                    // Unloading a model also unloads its adapters.
                    let sheet_model = order.key.name.clone();
                    let unloaded: Vec<ModelId> = self
                        .planner
                        .ledger()
                        .rows_at(&order.key.upstream)
                        .filter(|row| row.base == sheet_model)
                        .map(|row| row.key.name.clone())
                        .collect();
                    engine.loaded.retain(|(name, _)| !unloaded.contains(name));
                }
            }
            let answer = OrderAnswer::Done { sequence: engine.sequence };
            self.planner.order_answered(&order.key, &order.order, &answer, now);
        }
    }

    fn report_engines(&mut self, now: ClockTime) {
        if !now.millis().is_multiple_of(REPORT_MS) {
            return;
        }
        for (at, engine) in self.engines.iter_mut().enumerate() {
            engine.sequence += 1;
            let report = UpstreamReport {
                boot: boot(at),
                sequence: engine.sequence,
                age_ms: 0,
                loaded: engine.loaded.clone(),
                memory: MemorySize::new(81_920),
                ..UpstreamReport::default()
            };
            self.planner.upstream_report(&FleetGenerator::upstream(at), report, now, now);
        }
    }
}
