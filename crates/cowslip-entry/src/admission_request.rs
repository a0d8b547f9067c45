//! A request that waits for an upstream, as the admission queue sees it.

use cowslip_routing::{QueueEntry, QueueTicket};
use cowslip_units::{ClockTime, PartId, TeamId, TokenCount};

use crate::{AdmissionTarget, WaitLimit};

/// Number of priority classes; a less urgent priority counts as the last class.
pub const PRIORITY_CLASSES: usize = 4;

/// Properties of a request that enters the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Team that is charged; `None` on open routes, which share one turn.
    pub team: Option<TeamId>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The upstreams that it could use.
    pub target: AdmissionTarget,
    /// Cost in tokens.
    pub cost: TokenCount,
    /// When it arrived at the gateway.
    pub arrived: ClockTime,
    /// Last moment at which it can be sent and still meet its objective.
    pub objective_by: ClockTime,
    /// Deadlines.
    pub limit: WaitLimit,
    /// Key by which a request is recognised that comes again after a rejection.
    pub key: Option<PartId>,
    /// True when its caller has been served in part, so that a rejection would waste that part.
    pub has_begun: bool,
}

impl AdmissionRequest {
    /// Priority class.
    pub fn class(&self) -> usize {
        usize::from(self.priority).min(PRIORITY_CLASSES - 1)
    }

    /// True when it can be sent at `now` and still meet its objective.
    pub fn is_on_time(&self, now: ClockTime) -> bool {
        now <= self.objective_by
    }

    /// True when it has waited for half of its time to begin.
    pub fn has_aged(&self, now: ClockTime) -> bool {
        now.since_ms(self.arrived) * 2 >= self.limit.begin_by.since_ms(self.arrived)
    }
}

/// A request in the queue, with its standing at the time of the last update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AdmissionEntry {
    pub(crate) ticket: QueueTicket,
    pub(crate) request: AdmissionRequest,
    /// True when it came again after a rejection, or has begun.
    pub(crate) goes_first: bool,
    pub(crate) is_on_time: bool,
    pub(crate) has_aged: bool,
}

impl AdmissionEntry {
    pub(crate) fn new(
        ticket: QueueTicket,
        request: AdmissionRequest,
        goes_first: bool,
        now: ClockTime,
    ) -> Self {
        let (is_on_time, has_aged) = (request.is_on_time(now), request.has_aged(now));
        Self { ticket, request, goes_first, is_on_time, has_aged }
    }

    /// True when the standing has changed since the last update.
    pub(crate) fn is_outdated(&self, now: ClockTime) -> bool {
        self.is_on_time != self.request.is_on_time(now) || self.has_aged != self.request.has_aged(now)
    }
}

impl QueueEntry for AdmissionEntry {
    type Target = AdmissionTarget;
    /// Aged requests first, then returning ones, then those with the least time left.
    type Order = (bool, bool, ClockTime, QueueTicket);

    fn ticket(&self) -> QueueTicket {
        self.ticket
    }

    fn team(&self) -> Option<&TeamId> {
        self.request.team.as_ref()
    }

    fn level(&self) -> usize {
        self.request.class() + if self.is_on_time { 0 } else { PRIORITY_CLASSES }
    }

    fn target(&self) -> &AdmissionTarget {
        &self.request.target
    }

    fn order(&self) -> Self::Order {
        let by = if self.is_on_time { self.request.objective_by } else { self.request.limit.begin_by };
        (!self.has_aged, !self.goes_first, by, self.ticket)
    }

    fn cost(&self) -> TokenCount {
        self.request.cost
    }
}
