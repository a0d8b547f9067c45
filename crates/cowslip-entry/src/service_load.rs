//! Load and servers of one service, summed up from what the leader knows.

use cowslip_units::{ClockTime, DomainId, ServiceId};

use crate::{
    DemandTable, EngineRule, FleetConfig, ModelDemand, PlannedEngine, ScalingRule, ServiceRule,
    UpstreamRegistry,
};

/// Rate in requests a second from which a model without calls in flight counts as in demand.
const MIN_DEMAND_PER_S: f64 = 0.3;

/// Servers of a service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainServers {
    /// Failure domain.
    pub domain: DomainId,
    /// Servers that take new work.
    pub serving: u32,
    /// True when operators have evacuated the failure domain.
    pub evacuated: bool,
}

/// Load and servers of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: ServiceId,
    /// Limits of the number of servers.
    pub rule: ScalingRule,
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Longest time in ms of a load of one of its models; zero for a plain service.
    pub load_ms: u64,
    /// Calls in flight in all failure domains.
    pub calls: u32,
    /// Requests that wait although a server holds their model.
    pub waiting_for_slot: u32,
    /// Requests that wait for a model that no server holds.
    pub waiting_for_model: u32,
    /// Size in MB of the models in demand, each counted once; zero for a plain service.
    pub model_mb: f64,
    /// Memory of one server for models in MB; zero for a plain service.
    pub memory_mb: f64,
    /// Servers by failure domain, sorted.
    pub domains: Vec<DomainServers>,
}

impl ServiceLoad {
    /// Sums up all services whose number of servers is to be scaled, sorted by name.
    pub fn of_fleet(
        config: &FleetConfig,
        demand: &DemandTable,
        engines: &[PlannedEngine],
        upstreams: &UpstreamRegistry,
        evacuated: &[DomainId],
    ) -> Vec<Self> {
        let scaled = config.services().iter().filter_map(|service| Some((service, service.scaling?)));
        scaled
            .map(|(service, rule)| Self::of_service(service, rule, demand, engines, upstreams, evacuated))
            .collect()
    }

    fn of_service(
        service: &ServiceRule,
        rule: ScalingRule,
        demand: &DemandTable,
        engines: &[PlannedEngine],
        upstreams: &UpstreamRegistry,
        evacuated: &[DomainId],
    ) -> Self {
        let own = || upstreams.all().iter().filter(|known| known.entry.service == service.name);
        let mut domains: Vec<DomainServers> = Vec::new();
        for known in own() {
            let domain = &known.entry.domain;
            let at = domains.binary_search_by(|servers| servers.domain.cmp(domain)).unwrap_or_else(|at| {
                let evacuated = evacuated.contains(domain);
                domains.insert(at, DomainServers { domain: domain.clone(), serving: 0, evacuated });
                at
            });
            // The operators' evacuation is told apart from servers that leave.
            if !upstreams.is_closed(&known.entry, &[]) && known.removed_at.is_none() {
                domains[at].serving += 1;
            }
        }
        let slots = own().map(|known| known.entry.slots).max().unwrap_or(0);
        let calls = own().map(|known| demand.calls_at(&known.entry.id)).sum();
        let load = Self {
            service: service.name.clone(),
            rule,
            slots,
            load_ms: 0,
            calls,
            waiting_for_slot: 0,
            waiting_for_model: 0,
            model_mb: 0.0,
            memory_mb: 0.0,
            domains,
        };
        match &service.engine {
            Some(engine) => load.with_models(engine, demand, engines),
            None => load,
        }
    }

    fn with_models(mut self, rule: &EngineRule, demand: &DemandTable, engines: &[PlannedEngine]) -> Self {
        let is_own = |engine: &&PlannedEngine| engine.entry.service == self.service;
        let own: Vec<&PlannedEngine> = engines.iter().filter(is_own).collect();
        self.slots = self.slots.min(rule.slots);
        self.load_ms = rule.models.iter().map(|model| model.store_ms).max().unwrap_or(0);
        self.memory_mb = rule.memory_mb;
        for model in &rule.models {
            let Some(demand) = demand.get(&model.name).filter(|demand| is_in_demand(demand)) else {
                continue;
            };
            self.model_mb += model.size_mb;
            if own.iter().any(|engine| engine.entry.holds(&model.name)) {
                self.waiting_for_slot += demand.waiting;
            } else {
                self.waiting_for_model += demand.waiting;
            }
        }
        self
    }

    /// Horizon in ms of the decision: a server that is ordered now is useful after that time.
    pub const fn horizon_ms(&self) -> u64 {
        self.rule.boot_ms.saturating_add(self.load_ms)
    }
}

fn is_in_demand(demand: &ModelDemand) -> bool {
    demand.waiting + demand.running > 0 || demand.per_s >= MIN_DEMAND_PER_S
}

/// Inputs of [`crate::ServerScaler::decide`].
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingInputs {
    /// Load of each scaled service, sorted by name.
    pub services: Vec<ServiceLoad>,
    /// Time of the last confirmation of the servers' entries by the store; `None` while they are not known.
    pub confirmed_at: Option<ClockTime>,
}
