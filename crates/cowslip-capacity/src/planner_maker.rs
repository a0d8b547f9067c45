//! Planners in a given state.

use cowslip_fleet::MAX_BUCKET_OWNERS;
use cowslip_messages::{DemandReport, MemberEntry, ModelDemand, ReplicaState, TableVersion, TeamDemand};
use cowslip_placement::{
    KeepWarmPolicy, LedgerRow, OrderIssuer, PlacementPlanner, RowKey, UpstreamReport, WeightTier,
};
use cowslip_units::{ClockTime, FencingToken, IncarnationId, MemorySize, ModelId, OrderId, UpstreamId, VmId};
use smol_str::format_smolstr;

use crate::FleetMaker;

/// The planner that is measured.
pub type MadePlanner = PlacementPlanner<KeepWarmPolicy>;

/// Memory of one replica of a made model in MiB.
const REPLICA_MIB: u64 = 30_000 + 16 * 512;
/// Checkpoints that an engine has at hand.
const CHECKPOINTS: usize = MAX_BUCKET_OWNERS;

/// Size and state of a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerMaker {
    /// Declared models.
    pub models: usize,
    /// Declared adapters.
    pub adapters: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Models without a replica, the last ones.
    pub cold: usize,
    /// Replicas on each upstream; two take all memory.
    pub replicas: usize,
    /// Adapters that are loaded.
    pub warm_adapters: usize,
}

impl PlannerMaker {
    /// When the made planner has taken over and read a report of each upstream.
    pub const STARTED_AT: ClockTime = ClockTime::new(100_000);

    /// A fleet of this size with a replica on each upstream and no adapter loaded.
    pub const fn new(models: usize, adapters: usize, upstreams: usize) -> Self {
        Self { models, adapters, upstreams, cold: 1, replicas: 1, warm_adapters: 0 }
    }

    /// Models that have replicas.
    const fn warm_models(&self) -> usize {
        let warm = self.models.saturating_sub(self.cold);
        if warm == 0 { 1 } else { warm }
    }

    /// The model of a replica on an upstream.
    pub fn model_on(&self, upstream: usize, replica: usize) -> ModelId {
        FleetMaker::model((upstream + replica) % self.warm_models())
    }

    /// A model without a replica.
    pub fn cold_model(&self, at: usize) -> ModelId {
        FleetMaker::model(self.models.saturating_sub(1 + at))
    }

    /// Rows of the loaded replicas and adapters.
    pub fn rows(&self) -> Vec<LedgerRow> {
        let mut rows = Vec::new();
        for at in 0..self.upstreams {
            for replica in 0..self.replicas.min(self.warm_models()) {
                let name = self.model_on(at, replica);
                rows.push(row(
                    RowKey::replica(FleetMaker::upstream(at), name.clone()),
                    name,
                    REPLICA_MIB,
                    at,
                ));
            }
        }
        for at in 0..self.warm_adapters {
            let model = at % self.models.max(1);
            if model < self.warm_models() && model < self.upstreams {
                // The first replicas of the model are on every so many-th upstream.
                let places = (self.upstreams - model).div_ceil(self.warm_models());
                let upstream = model + (at / self.models) % places * self.warm_models();
                let key = RowKey::adapter(FleetMaker::upstream(upstream), FleetMaker::adapter(at));
                rows.push(row(key, FleetMaker::model(model), 200, upstream));
            }
        }
        rows
    }

    /// A planner that has taken these rows over and read a report of each upstream at [`Self::STARTED_AT`].
    pub fn make(&self, members: &[MemberEntry]) -> MadePlanner {
        let now = Self::STARTED_AT;
        let mut planner = PlacementPlanner::new(KeepWarmPolicy::new(), issuer());
        planner.set_sheet(FleetMaker::sheet(self.models, self.adapters, self.upstreams, 5), now);
        planner.set_listed(&self.listed(), now);
        planner.set_members(members, now);
        planner.adopt(self.rows(), now);
        self.report_all(&mut planner, now.plus_ms(1));
        settle(&mut planner, now.plus_ms(1));
        planner
    }

    /// All upstreams as the VM list names them.
    pub fn listed(&self) -> Vec<(UpstreamId, bool)> {
        (0..self.upstreams).map(|at| (FleetMaker::upstream(at), true)).collect()
    }

    /// The engine's report of an upstream that holds its rows.
    pub fn report(&self, planner: &MadePlanner, at: usize, now: ClockTime) -> UpstreamReport {
        let upstream = FleetMaker::upstream(at);
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

    /// Lets the planner read a report of each upstream.
    pub fn report_all(&self, planner: &mut MadePlanner, now: ClockTime) {
        for at in 0..self.upstreams {
            let report = self.report(planner, at, now);
            planner.upstream_report(&FleetMaker::upstream(at), report, now, now);
        }
    }

    /// The report of a router with so many requests in flight on upstreams drawn at random.
    pub fn demand(
        &self,
        maker: &mut FleetMaker,
        router: &IncarnationId,
        sequence: u64,
        streams: usize,
    ) -> DemandReport {
        let mut models: Vec<ModelDemand> = Vec::new();
        for _ in 0..streams {
            let at = maker.below(self.upstreams);
            let replica = maker.below(self.replicas);
            self.add_stream(&mut models, at, replica);
        }
        DemandReport { incarnation: router.clone(), sequence, table: TableVersion::default(), models }
    }

    /// Adds a running request to a report.
    pub fn add_stream(&self, models: &mut Vec<ModelDemand>, upstream: usize, replica: usize) {
        let (model, place) = (self.model_on(upstream, replica), FleetMaker::upstream(upstream));
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

    /// Demand of one urgent waiting request.
    pub fn waiting(model: ModelId, oldest_ms: u64) -> ModelDemand {
        let waiting = vec![TeamDemand {
            team: Some(FleetMaker::team(1)),
            urgent: 1,
            batch: 0,
            slack_ms: Some(10_000),
            oldest_ms,
        }];
        ModelDemand { model, waiting, running: 0, arrived: 1, running_on: Vec::new() }
    }
}

/// The leader whose planner is made.
pub(crate) fn issuer() -> OrderIssuer {
    OrderIssuer {
        vm: VmId::new("entry-000").expect("the name consists of accepted characters"),
        incarnation: IncarnationId::new("entry-000:00c0ffee00c0ffee")
            .expect("the name consists of accepted characters"),
        epoch: FencingToken::new(7),
    }
}

/// The start of an engine.
pub(crate) fn boot(at: usize) -> smol_str::SmolStr {
    format_smolstr!("boot-{at:016x}")
}

/// Steps until nothing is left to write; each batch commits at once.
pub(crate) fn settle(planner: &mut MadePlanner, now: ClockTime) {
    while let Some(batch) = planner.step(now).batch {
        planner.batch_committed(batch.number);
    }
}

fn row(key: RowKey, base: ModelId, mebibytes: u64, upstream: usize) -> LedgerRow {
    let order = OrderId::new(&format!("entry-001:00c0ffee00c0ffee:6-{upstream}"))
        .expect("the id consists of accepted characters");
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
