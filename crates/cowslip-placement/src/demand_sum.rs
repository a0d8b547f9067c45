//! Demand for one model, summed over all routers.

use cowslip_units::{ClockTime, TeamId};

/// Total demand for a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandSum {
    /// Number of waiting urgent requests.
    pub urgent: u32,
    /// Number of waiting batch requests, which are requests for reports.
    pub batch: u32,
    /// Number of requests in flight.
    pub running: u32,
    /// Earliest deadline among the waiting requests; [`ClockTime::NEVER`] if there is none.
    pub deadline: ClockTime,
    /// Arrival of the oldest waiting request; [`ClockTime::NEVER`] if none is waiting.
    pub since: ClockTime,
    /// Teams with waiting requests, sorted; `None` stands for open routes.
    pub teams: Vec<Option<TeamId>>,
}

impl DemandSum {
    /// Number of waiting requests of both classes.
    pub const fn waiting(&self) -> u32 {
        self.urgent.saturating_add(self.batch)
    }

    /// Adds the demand for another model or adapter that the same replica serves.
    pub fn add(&mut self, other: &Self) {
        self.urgent = self.urgent.saturating_add(other.urgent);
        self.batch = self.batch.saturating_add(other.batch);
        self.running = self.running.saturating_add(other.running);
        self.deadline = self.deadline.min(other.deadline);
        self.since = self.since.min(other.since);
        self.teams.extend(other.teams.iter().cloned());
        self.teams.sort();
        self.teams.dedup();
    }
}

impl Default for DemandSum {
    fn default() -> Self {
        Self {
            urgent: 0,
            batch: 0,
            running: 0,
            deadline: ClockTime::NEVER,
            since: ClockTime::NEVER,
            teams: Vec::new(),
        }
    }
}
