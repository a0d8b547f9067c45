//! Tracks the demand that routers report: waiting and running requests by model, and the table version in
//! use.

use cowslip_messages::{DemandReport, MemberEntry, ModelDemand, TableVersion};
use cowslip_units::{ClockTime, IncarnationId, ModelId, TeamId, UpstreamId};

use crate::DemandSum;

/// The demand of a router expires after this time in ms without a report; routers report every 100 ms while
/// requests wait.
pub const ROUTER_TIMEOUT_MS: u64 = 2_000;

/// The last report of one router.
#[derive(Clone, Debug, PartialEq)]
struct RouterDemand {
    incarnation: IncarnationId,
    sequence: u64,
    received_at: ClockTime,
    table: TableVersion,
    /// Models in the report, sorted.
    models: Vec<ModelId>,
}

/// The demand of one router for one model.
#[derive(Clone, Debug, PartialEq)]
struct DemandPart {
    incarnation: IncarnationId,
    received_at: ClockTime,
    demand: ModelDemand,
}

/// The demand of all routers, merged by model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandTracker {
    /// Sorted by incarnation.
    routers: Vec<RouterDemand>,
    /// Demand by model and router, sorted by model.
    models: Vec<(ModelId, Vec<DemandPart>)>,
    /// Models with waiting requests, sorted.
    waiting: Vec<ModelId>,
}

impl DemandTracker {
    /// A tracker without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the demand of a router. Returns the models whose demand may have changed; none if the report
    /// is not newer than the last one.
    pub fn report(&mut self, report: DemandReport, now: ClockTime) -> Vec<ModelId> {
        let mut names: Vec<ModelId> = report.models.iter().map(|demand| demand.model.clone()).collect();
        names.sort();
        names.dedup();
        let router = RouterDemand {
            incarnation: report.incarnation.clone(),
            sequence: report.sequence,
            received_at: now,
            table: report.table,
            models: names.clone(),
        };
        let mut changed_models = names;
        match self.routers.binary_search_by(|known| known.incarnation.cmp(&report.incarnation)) {
            Ok(at) => {
                let known = &mut self.routers[at];
                if report.sequence <= known.sequence {
                    return Vec::new();
                }
                changed_models.extend(std::mem::replace(known, router).models);
                changed_models.sort();
                changed_models.dedup();
            }
            Err(at) => self.routers.insert(at, router),
        }
        for model in &changed_models {
            self.remove_part(model, &report.incarnation);
        }
        for demand in report.models {
            let part = DemandPart { incarnation: report.incarnation.clone(), received_at: now, demand };
            self.add_part(part);
        }
        for model in &changed_models {
            self.index_waiting(model);
        }
        changed_models
    }

    /// Removes the demand of silent routers. Returns the models whose demand changed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<ModelId> {
        let silent = |router: &&RouterDemand| now.since_ms(router.received_at) > ROUTER_TIMEOUT_MS;
        let routers = self.routers.iter().filter(silent).map(|router| router.incarnation.clone());
        let routers: Vec<IncarnationId> = routers.collect();
        routers.iter().flat_map(|incarnation| self.remove_router(incarnation)).collect()
    }

    /// Removes the demand of a router that left. Returns the models whose demand changed.
    pub fn remove_router(&mut self, incarnation: &IncarnationId) -> Vec<ModelId> {
        let Ok(at) = self.routers.binary_search_by(|router| router.incarnation.cmp(incarnation)) else {
            return Vec::new();
        };
        let router = self.routers.remove(at);
        for model in &router.models {
            self.remove_part(model, incarnation);
            self.index_waiting(model);
        }
        router.models
    }

    /// Models and adapters with waiting requests, sorted.
    pub fn waiting(&self) -> &[ModelId] {
        &self.waiting
    }

    /// The demand of all routers for a model or adapter.
    pub fn sum(&self, model: &ModelId) -> DemandSum {
        let mut sum = DemandSum::default();
        for part in self.parts(model) {
            sum.running = sum.running.saturating_add(part.demand.running);
            for team in &part.demand.waiting {
                if team.urgent == 0 && team.batch == 0 {
                    continue;
                }
                sum.urgent = sum.urgent.saturating_add(team.urgent);
                sum.batch = sum.batch.saturating_add(team.batch);
                let deadline =
                    team.slack_ms.map_or(ClockTime::NEVER, |slack| part.received_at.plus_ms(slack));
                sum.deadline = sum.deadline.min(deadline);
                sum.since = sum.since.min(part.received_at.minus_ms(team.oldest_ms));
                add_team(&mut sum.teams, &team.team);
            }
        }
        sum
    }

    /// Whether requests are waiting for the model or adapter.
    pub fn is_waiting(&self, model: &ModelId) -> bool {
        self.waiting.binary_search(model).is_ok()
    }

    /// Whether any router has requests in flight for the model or adapter.
    pub fn is_running(&self, model: &ModelId) -> bool {
        self.parts(model).iter().any(|part| part.demand.running > 0)
    }

    /// Whether any router has requests in flight for the model or adapter on this upstream.
    pub fn is_running_on(&self, model: &ModelId, upstream: &UpstreamId) -> bool {
        self.parts(model).iter().any(|part| part.demand.running_on.contains(upstream))
    }

    /// Number of routers whose last report shows an older table version than this one, and number of members
    /// without a recent report.
    pub fn count_lagging(&self, members: &[MemberEntry], version: TableVersion) -> (usize, usize) {
        let late = self.routers.iter().filter(|router| router.table < version).count();
        let is_silent = |member: &&MemberEntry| {
            self.routers.binary_search_by(|router| router.incarnation.cmp(&member.incarnation)).is_err()
        };
        (late, members.iter().filter(is_silent).count())
    }

    /// Number of routers with a recent report.
    pub fn routers(&self) -> usize {
        self.routers.len()
    }

    fn parts(&self, model: &ModelId) -> &[DemandPart] {
        match self.models.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => &self.models[at].1,
            Err(_) => &[],
        }
    }

    fn add_part(&mut self, part: DemandPart) {
        match self.models.binary_search_by(|(known, _)| known.cmp(&part.demand.model)) {
            Ok(at) => self.models[at].1.push(part),
            Err(at) => self.models.insert(at, (part.demand.model.clone(), vec![part])),
        }
    }

    fn remove_part(&mut self, model: &ModelId, incarnation: &IncarnationId) {
        if let Ok(at) = self.models.binary_search_by(|(known, _)| known.cmp(model)) {
            let parts = &mut self.models[at].1;
            parts.retain(|part| &part.incarnation != incarnation);
            if parts.is_empty() {
                self.models.remove(at);
            }
        }
    }

    fn index_waiting(&mut self, model: &ModelId) {
        let has_waiting =
            |part: &DemandPart| part.demand.waiting.iter().any(|team| team.urgent + team.batch > 0);
        let is_waiting = self.parts(model).iter().any(has_waiting);
        match (self.waiting.binary_search(model), is_waiting) {
            (Err(at), true) => self.waiting.insert(at, model.clone()),
            (Ok(at), false) => {
                self.waiting.remove(at);
            }
            _ => {}
        }
    }
}

fn add_team(teams: &mut Vec<Option<TeamId>>, team: &Option<TeamId>) {
    if let Err(at) = teams.binary_search(team) {
        teams.insert(at, team.clone());
    }
}
