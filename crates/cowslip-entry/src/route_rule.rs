//! Routes as operators declare them.

use cowslip_units::{RouteId, ServiceId};
use smol_str::SmolStr;

/// Whether requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run only once.
    NonIdempotent,
    /// A stream of events; the request may run only once unless the stream can be resumed.
    Streaming,
}

/// A service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service that gets the requests.
    pub service: ServiceId,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// One route, as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: RouteId,
    /// Host in the requests.
    pub host: SmolStr,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// Longest time in ms that a caller waits for the answer.
    pub timeout_ms: u64,
    /// Target time in ms to the first event or the whole answer.
    pub objective_ms: u64,
    /// Longest pause in ms between two events that still meets the objective.
    pub pause_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<RouteTarget>,
    /// Largest number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// True when no API key is needed.
    pub open: bool,
    /// True when an interrupted stream may be resumed at another upstream.
    pub resumable: bool,
    /// Regions that requests may be sent to; empty for all.
    pub regions: Vec<SmolStr>,
}

impl RouteRule {
    /// True when a request may run more than once.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request; `draw` is a random number that spreads requests by weight.
    pub fn target(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut rest = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}
