//! The operators' configuration, indexed for lookups by requests.

use cowslip_units::{ServiceId, TeamId};
use smol_str::SmolStr;

use crate::{CallerLimits, RouteRule, ServiceRule, TeamRule};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    version: u64,
    limits: CallerLimits,
    /// Sorted by host, then by descending length of the prefix.
    routes: Vec<RouteRule>,
    /// Sorted by name.
    services: Vec<ServiceRule>,
    /// Sorted by name.
    teams: Vec<TeamRule>,
    /// Sorted by key.
    keys: Vec<(SmolStr, TeamId)>,
}

impl FleetConfig {
    /// An empty configuration.
    pub fn new(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Sets the limits on callers.
    #[must_use]
    pub fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, mut routes: Vec<RouteRule>) -> Self {
        routes.sort_by(|left, right| {
            let by_host = left.host.cmp(&right.host);
            by_host.then(right.prefix.len().cmp(&left.prefix.len()))
        });
        self.routes = routes;
        self
    }

    /// Sets the services.
    #[must_use]
    pub fn with_services(mut self, mut services: Vec<ServiceRule>) -> Self {
        services.sort_by(|left, right| left.name.cmp(&right.name));
        self.services = services;
        self
    }

    /// Sets the teams.
    #[must_use]
    pub fn with_teams(mut self, mut teams: Vec<TeamRule>) -> Self {
        teams.sort_by(|left, right| left.name.cmp(&right.name));
        let owned = |team: &TeamRule| -> Vec<(SmolStr, TeamId)> {
            team.keys.iter().map(|key| (key.clone(), team.name.clone())).collect()
        };
        self.keys = teams.iter().flat_map(owned).collect();
        self.keys.sort();
        self.teams = teams;
        self
    }

    /// Version number that the operators gave it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes.get(first..)?.iter().take_while(|route| route.host == host);
        of_host.into_iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// All services.
    pub fn services(&self) -> &[ServiceRule] {
        &self.services
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceRule> {
        let at = self.services.binary_search_by(|service| service.name.cmp(name)).ok()?;
        self.services.get(at)
    }

    /// All teams.
    pub fn teams(&self) -> &[TeamRule] {
        &self.teams
    }

    /// Finds a team by its name.
    pub fn team(&self, name: &TeamId) -> Option<&TeamRule> {
        let at = self.teams.binary_search_by(|team| team.name.cmp(name)).ok()?;
        self.teams.get(at)
    }

    /// Finds the team of an API key.
    pub fn team_of_key(&self, key: &str) -> Option<&TeamRule> {
        let at = self.keys.binary_search_by(|(known, _)| known.as_str().cmp(key)).ok()?;
        let (_, name) = self.keys.get(at)?;
        self.team(name)
    }
}
