//! Builds planners in a defined state.

use cowslip_fleet::MAX_BUCKET_OWNERS;
use cowslip_messages::{DemandReport, MemberEntry, ModelDemand, ReplicaState, TableVersion, TeamDemand};
use cowslip_placement::{
    KeepWarmPolicy, LedgerRow, OrderIssuer, PlacementPlanner, RowKey, UpstreamReport, WeightTier,
};
use cowslip_units::{ClockTime, FencingToken, IncarnationId, MemorySize, ModelId, OrderId, UpstreamId, VmId};
use smol_str::format_smolstr;

use crate::FleetGenerator;

/// The type of planner that is measured.
pub type MeasuredPlanner = PlacementPlanner<KeepWarmPolicy>;

/// Memory of one replica of a generated model in MiB.
const REPLICA_MIB: u64 = 30_000 + 16 * 512;
/// Number of checkpoints cached by an engine.
const CHECKPOINTS: usize = MAX_BUCKET_OWNERS;

/// Size and state of a planner to build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerFixture {
    /// Number of declared models.
    pub models: usize,
    /// Number of declared adapters.
    pub adapters: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of models without a replica; these are the last ones.
    pub cold: usize,
    /// Replicas per upstream; two fill its memory.
    pub replicas: usize,
    /// Number of loaded adapters.
    pub warm_adapters: usize,
}

impl PlannerFixture {
    /// Time at which the planner has adopted the ledger rows; 1 ms later it has a report of each upstream.
    pub const STARTED_AT: ClockTime = ClockTime::new(100_000);

    /// A fleet of this size with one replica per upstream and no adapter loaded.
    pub const fn new(models: usize, adapters: usize, upstreams: usize) -> Self {
        Self { models, adapters, upstreams, cold: 1, replicas: 1, warm_adapters: 0 }
    }

    /// Number of models with replicas.
    const fn warm_models(&self) -> usize {
        let warm = self.models.saturating_sub(self.cold);
        if warm == 0 { 1 } else { warm }
    }

    /// Model of a replica on an upstream.
    pub fn model_on(&self, upstream: usize, replica: usize) -> ModelId {
        FleetGenerator::model((upstream + replica) % self.warm_models())
    }

    /// Name of the `at`-th model without a replica.
    pub fn cold_model(&self, at: usize) -> ModelId {
        FleetGenerator::model(self.models.saturating_sub(1 + at))
    }

    /// Ledger rows of the loaded replicas and adapters.
    pub fn rows(&self) -> Vec<LedgerRow> {
        let mut rows = Vec::new();
        for at in 0..self.upstreams {
            for replica in 0..self.replicas.min(self.warm_models()) {
                let name = self.model_on(at, replica);
                rows.push(row(
                    RowKey::replica(FleetGenerator::upstream(at), name.clone()),
                    name,
                    REPLICA_MIB,
                    at,
                ));
            }
        }
        for at in 0..self.warm_adapters {
            let model = at % self.models.max(1);
            if model < self.warm_models() && model < self.upstreams {
                // Replicas of a model are on every `warm_models`-th upstream.
                let places = (self.upstreams - model).div_ceil(self.warm_models());
                let upstream = model + (at / self.models) % places * self.warm_models();
                let key = RowKey::adapter(FleetGenerator::upstream(upstream), FleetGenerator::adapter(at));
                rows.push(row(key, FleetGenerator::model(model), 200, upstream));
            }
        }
        rows
    }

    /// Builds a planner that has adopted these rows at [`Self::STARTED_AT`] and received a report of each
    /// upstream.
    pub fn make(&self, members: &[MemberEntry]) -> MeasuredPlanner {
        let now = Self::STARTED_AT;
        let mut planner = PlacementPlanner::new(KeepWarmPolicy::new(), issuer());
        planner.set_sheet(FleetGenerator::sheet(self.models, self.adapters, self.upstreams, 5), now);
        planner.set_listed(&self.listed(), now);
        planner.set_members(members, now);
        planner.adopt(self.rows(), now);
        self.report_all(&mut planner, now.plus_ms(1));
        settle(&mut planner, now.plus_ms(1));
        planner
    }

    /// All upstreams as listed in the VM list.
    pub fn listed(&self) -> Vec<(UpstreamId, bool)> {
        (0..self.upstreams).map(|at| (FleetGenerator::upstream(at), true)).collect()
    }

    /// The report of an engine that has loaded the replicas in its ledger rows.
    pub fn report(&self, planner: &MeasuredPlanner, at: usize, now: ClockTime) -> UpstreamReport {
        let upstream = FleetGenerator::upstream(at);
        let rows = planner.ledger().rows_at(&upstream);
        let mut loaded: Vec<(ModelId, MemorySize)> =
            rows.map(|row| (row.key.name.clone(), row.memory)).collect();
        loaded.sort();
        let mut checkpoints: Vec<(ModelId, WeightTier)> = (0..CHECKPOINTS.min(self.models))
            .map(|near| (self.model_on(at, near), WeightTier::Disk))
            .collect();
        checkpoints.sort();
        checkpoints.dedup();
        UpstreamReport {
            boot: boot(at),
            sequence: now.millis(),
            age_ms: 100,
            loaded,
            running: 8,
            queued: 2,
            memory: MemorySize::new(81_920),
            checkpoints,
        }
    }

    /// Passes a report of each upstream to the planner.
    pub fn report_all(&self, planner: &mut MeasuredPlanner, now: ClockTime) {
        for at in 0..self.upstreams {
            let report = self.report(planner, at, now);
            planner.upstream_report(&FleetGenerator::upstream(at), report, now, now);
        }
    }

    /// The report of a router with `streams` requests in flight on randomly drawn upstreams.
    pub fn demand(
        &self,
        generator: &mut FleetGenerator,
        router: &IncarnationId,
        sequence: u64,
        streams: usize,
    ) -> DemandReport {
        let mut models: Vec<ModelDemand> = Vec::new();
        for _ in 0..streams {
            let at = generator.below(self.upstreams);
            let replica = generator.below(self.replicas);
            self.add_stream(&mut models, at, replica);
        }
        DemandReport { incarnation: router.clone(), sequence, table: TableVersion::default(), models }
    }

    /// Adds a running request to a demand report.
    pub fn add_stream(&self, models: &mut Vec<ModelDemand>, upstream: usize, replica: usize) {
        let (model, place) = (self.model_on(upstream, replica), FleetGenerator::upstream(upstream));
        let at = match models.binary_search_by(|demand| demand.model.cmp(&model)) {
            Ok(at) => at,
            Err(at) => {
                let demand = ModelDemand {
                    model,
                    waiting: Vec::new(),
                    running: 0,
                    arrived: 1,
                    running_on: Vec::new(),
                };
                models.insert(at, demand);
                at
            }
        };
        let demand = &mut models[at];
        demand.running += 1;
        if let Err(at) = demand.running_on.binary_search(&place) {
            demand.running_on.insert(at, place);
        }
    }

    /// Demand for a model with one urgent waiting request.
    pub fn waiting(model: ModelId, oldest_ms: u64) -> ModelDemand {
        let waiting = vec![TeamDemand {
            team: Some(FleetGenerator::team(1)),
            urgent: 1,
            batch: 0,
            slack_ms: Some(10_000),
            oldest_ms,
        }];
        ModelDemand { model, waiting, running: 0, arrived: 1, running_on: Vec::new() }
    }
}

/// The leader that issues the planner's orders.
pub(crate) fn issuer() -> OrderIssuer {
    OrderIssuer {
        vm: VmId::new("entry-000").expect("the name contains only accepted characters"),
        incarnation: IncarnationId::new("entry-000:00c0ffee00c0ffee")
            .expect("the name contains only accepted characters"),
        epoch: FencingToken::new(7),
    }
}

/// Boot id of the engine on upstream `at`.
pub(crate) fn boot(at: usize) -> smol_str::SmolStr {
    format_smolstr!("boot-{at:016x}")
}

/// Runs the planner until it has nothing to write; each batch commits immediately.
pub(crate) fn settle(planner: &mut MeasuredPlanner, now: ClockTime) {
    while let Some(batch) = planner.step(now).batch {
        planner.batch_committed(batch.number);
    }
}

fn row(key: RowKey, base: ModelId, mebibytes: u64, upstream: usize) -> LedgerRow {
    let order = OrderId::new(&format!("entry-001:00c0ffee00c0ffee:6-{upstream}"))
        .expect("the id contains only accepted characters");
    LedgerRow {
        key,
        base,
        state: ReplicaState::Loaded,
        memory: MemorySize::new(mebibytes),
        load_ms: 4_000,
        order,
        unload: None,
        epoch: FencingToken::new(6),
        issuers: Vec::new(),
        boot: Some(boot(upstream)),
        sequence: 1,
        fresh: false,
    }
}
