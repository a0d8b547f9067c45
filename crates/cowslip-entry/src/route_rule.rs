//! Routes as operators declare them.

use cowslip_units::{RouteId, ServiceId};
use smol_str::SmolStr;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call may run once.
    NonIdempotent,
    /// A stream of events; it may run once unless it can be resumed.
    Streaming,
}

/// A service of a route with its part of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its part among the weights of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Its name.
    pub name: RouteId,
    /// Host that callers name.
    pub host: SmolStr,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time in ms that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time in ms to the first event or the whole answer that callers hope for.
    pub objective_ms: u64,
    /// Longest pause in ms between two events that is still on time.
    pub pause_ms: u64,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<RouteTarget>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// True when no key is needed.
    pub open: bool,
    /// True when an interrupted stream may go on at another upstream.
    pub resumable: bool,
    /// Regions that requests may go to; empty for all.
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

    /// The service for a request; `draw` spreads requests over the weights.
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
