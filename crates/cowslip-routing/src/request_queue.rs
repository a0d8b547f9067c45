//! The request queue of a router.
//!
//! A waiting request is owned by this queue until it is dispatched or rejected or its caller disconnects.
//! Each of these removes it, so it can be answered only once. The order is that of [`FairQueue`], with the
//! classes as levels and the earliest deadline first within a team.

use std::collections::BTreeMap;

use cowslip_messages::{ModelDemand, TeamDemand};
use cowslip_units::{ClockTime, ErrorKind, InvariantName, ModelId, TeamId, TokenCount, assert_invariant};

use crate::{
    FairQueue, QueueRejection, QueueTicket, RequestClass, TargetForecast, WaitTarget, WaitingRequest,
};

/// Shortest retry time in ms in a rejection for lack of capacity; a shorter one would only cause another
/// rejection.
const MIN_RETRY_MS: u64 = 100;

/// The queue is full, so a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimit {
    /// Number of waiting requests.
    pub waiting: usize,
}

/// All waiting requests of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestQueue {
    waiting: FairQueue<WaitingRequest>,
    max_waiting: usize,
}

impl RequestQueue {
    /// An empty queue for at most `max_waiting` requests.
    pub fn new(max_waiting: usize) -> Self {
        Self { waiting: FairQueue::new(RequestClass::COUNT), max_waiting }
    }

    /// Adds a request. The limit does not apply to batch requests, because an accepted report must not be
    /// rejected.
    pub fn push(
        &mut self,
        team: Option<TeamId>,
        class: RequestClass,
        target: WaitTarget,
        cost: TokenCount,
        now: ClockTime,
        deadline: ClockTime,
    ) -> Result<QueueTicket, QueueLimit> {
        if class == RequestClass::Urgent && self.waiting.len() >= self.max_waiting {
            return Err(QueueLimit { waiting: self.waiting.len() });
        }
        let ticket = self.waiting.issue_ticket();
        self.waiting.push(WaitingRequest { ticket, team, class, target, cost, arrived: now, deadline });
        Ok(ticket)
    }

    /// Removes and returns the next request whose target is `ready`.
    pub fn next(&mut self, now: ClockTime, ready: impl FnMut(&WaitTarget) -> bool) -> Option<WaitingRequest> {
        let request = self.waiting.next(ready)?;
        assert_invariant(now <= request.deadline, InvariantName::AnsweredInTime, || {
            format!("{} dispatched at {now}, after its deadline {}", request.ticket, request.deadline)
        });
        Some(request)
    }

    /// Returns a request that could not be dispatched to the queue; it keeps its ticket and its deadline.
    pub fn put_back(&mut self, request: WaitingRequest) {
        self.waiting.push(request);
    }

    /// Removes a request whose caller disconnected; `None` if it is not in the queue.
    pub fn leave(&mut self, ticket: QueueTicket) -> Option<WaitingRequest> {
        self.waiting.leave(ticket)
    }

    /// Removes every request that cannot be served before its deadline according to `forecast`.
    pub fn reject_unservable(
        &mut self,
        now: ClockTime,
        mut forecast: impl FnMut(&WaitTarget) -> TargetForecast,
    ) -> Vec<QueueRejection> {
        // Batch requests have no deadline and wait as long as necessary.
        let rejections =
            self.waiting.collect_rejections(RequestClass::Urgent.level(), |request, position| {
                let (kind, retry_after_ms) =
                    rejection_if_unservable(request, position, now, forecast(&request.target))?;
                Some(QueueRejection { request: request.clone(), kind, retry_after_ms })
            });
        for rejection in &rejections {
            self.leave(rejection.request.ticket);
        }
        rejections
    }

    /// The waiting request with that ticket.
    pub fn get(&self, ticket: QueueTicket) -> Option<&WaitingRequest> {
        self.waiting.get(ticket)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Tickets of the waiting requests of a class.
    pub fn tickets(&self, class: RequestClass) -> Vec<QueueTicket> {
        self.waiting.iter().filter(|request| request.class == class).map(|request| request.ticket).collect()
    }

    /// Number of requests that wait for `target`.
    pub fn count(&self, target: &WaitTarget) -> usize {
        self.waiting.iter().filter(|request| request.target == *target).count()
    }

    /// Targets with waiting requests, sorted.
    pub fn targets(&self) -> Vec<WaitTarget> {
        self.waiting.targets()
    }

    /// Waiting requests by model and team, sorted by model, for the report to the leader.
    pub fn demand(&self, now: ClockTime) -> Vec<ModelDemand> {
        let mut models: BTreeMap<ModelId, BTreeMap<Option<TeamId>, TeamDemand>> = BTreeMap::new();
        for request in self.waiting.iter() {
            let WaitTarget::Model(model) = &request.target else {
                continue;
            };
            let teams = models.entry(model.clone()).or_default();
            let demand = teams.entry(request.team.clone()).or_insert_with(|| TeamDemand {
                team: request.team.clone(),
                urgent: 0,
                batch: 0,
                slack_ms: None,
                oldest_ms: 0,
            });
            match request.class {
                RequestClass::Urgent => demand.urgent += 1,
                RequestClass::Batch => demand.batch += 1,
            }
            if request.deadline != ClockTime::NEVER {
                let left_ms = request.deadline.since_ms(now);
                demand.slack_ms = Some(demand.slack_ms.map_or(left_ms, |earliest| earliest.min(left_ms)));
            }
            demand.oldest_ms = demand.oldest_ms.max(now.since_ms(request.arrived));
        }
        let entry = |(model, teams): (ModelId, BTreeMap<Option<TeamId>, TeamDemand>)| ModelDemand {
            model,
            waiting: teams.into_values().collect(),
            running: 0,
            arrived: 0,
            running_on: Vec::new(),
        };
        models.into_iter().map(entry).collect()
    }
}

/// Error kind and retry time if a request at `position` in its target's queue cannot be served before its
/// deadline.
fn rejection_if_unservable(
    request: &WaitingRequest,
    position: u64,
    now: ClockTime,
    forecast: TargetForecast,
) -> Option<(ErrorKind, u64)> {
    let left_ms = request.deadline.since_ms(now);
    match forecast {
        TargetForecast::Closed { kind, retry_after_ms } => Some((kind, retry_after_ms)),
        _ if now >= request.deadline => Some((ErrorKind::DeadlineExceeded, MIN_RETRY_MS)),
        TargetForecast::Open { ready_in_ms, interval_ms } => {
            let wait_ms = ready_in_ms.saturating_add(position.saturating_mul(interval_ms));
            (wait_ms > left_ms).then(|| (ErrorKind::NoCapacity, wait_ms.max(MIN_RETRY_MS)))
        }
    }
}
