//! Which waiting request takes a place that became free at an upstream.
//!
//! Load this answers: more requests than places, of several priority classes and teams, for models that share
//! engines. Requests that can still meet their objective go before those that cannot, the more urgent class
//! first, and at least one dispatch in eight goes to a less urgent class. Within a class, teams take turns by
//! tokens. Within a team, a request that has waited for half of its time goes first, then one that came again
//! after a rejection, then the one with the least time left.
//!
//! A request whose turn will not come in time is rejected at once, so that its caller can come again while there
//! is time.

use cowslip_routing::{FairQueue, QueueEntry, QueueTicket};
use cowslip_units::ClockTime;

use crate::admission_request::AdmissionEntry;
use crate::dispatch_rate::DispatchRate;
use crate::returning_keys::ReturningKeys;
use crate::{AdmissionRequest, AdmissionTarget, KnownUpstream, PRIORITY_CLASSES};

/// Time in ms between two searches for requests that cannot be served in time.
const SWEEP_MS: u64 = 50;

/// A request that leaves the queue because its turn will not come in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRejection {
    /// The request.
    pub ticket: QueueTicket,
    /// Time in ms until it could probably be served.
    pub wait_ms: u64,
    /// Requests for the same upstreams that are expected to be dispatched before it.
    pub position: u64,
    /// Number of waiting requests, with this one.
    pub waiting: usize,
}

/// The requests of a gateway that wait for an upstream.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    waiting: FairQueue<AdmissionEntry>,
    returning: ReturningKeys,
    /// Dispatch rates by target, sorted.
    rates: Vec<(AdmissionTarget, DispatchRate)>,
    swept_at: ClockTime,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self {
            waiting: FairQueue::new(2 * PRIORITY_CLASSES),
            returning: ReturningKeys::default(),
            rates: Vec::new(),
            swept_at: ClockTime::ZERO,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, request: AdmissionRequest, now: ClockTime) -> QueueTicket {
        let returns = request.key.as_ref().is_some_and(|key| self.returning.take(key, now));
        let goes_first = returns || request.has_begun;
        let ticket = self.waiting.issue_ticket();
        self.waiting.push(AdmissionEntry::new(ticket, request, goes_first, now));
        ticket
    }

    /// Removes and returns the next request whose target is `ready`.
    pub fn next(
        &mut self,
        now: ClockTime,
        ready: impl FnMut(&AdmissionTarget) -> bool,
    ) -> Option<QueueTicket> {
        self.update_standings(now);
        let entry = self.waiting.next(ready)?;
        let others_wait = self.waiting.iter().any(|other| other.target() == entry.target());
        self.rate_mut(entry.target(), now).record(others_wait, now);
        Some(entry.ticket)
    }

    /// Removes a request that is no longer to be dispatched; `None` if it is not in the queue.
    pub fn leave(&mut self, ticket: QueueTicket) -> Option<AdmissionRequest> {
        let entry = self.waiting.leave(ticket)?;
        let target = entry.target();
        if !self.waiting.iter().any(|other| other.target() == target)
            && let Ok(at) = self.find_rate(target)
            && let Some((_, rate)) = self.rates.get_mut(at)
        {
            rate.record_idle();
        }
        Some(entry.request)
    }

    /// Records that a request was rejected, so that it goes first when it comes again.
    pub fn record_rejection(&mut self, request: &AdmissionRequest, now: ClockTime) {
        if let Some(key) = &request.key {
            self.returning.record(key.clone(), request.limit.deadline, now);
        }
    }

    /// The rejection of a request whose turn will not come in time. A request that came again, or has begun, is
    /// rejected only at the end of its time.
    pub fn rejection(&self, ticket: QueueTicket, now: ClockTime) -> Option<AdmissionRejection> {
        let entry = self.waiting.get(ticket)?;
        let position = self.waiting.position(ticket)?;
        let wait_ms = self.expected_ms(entry.target(), position, now);
        let limit = &entry.request.limit;
        let is_hopeless = !entry.goes_first && limit.is_too_late(wait_ms, now);
        let is_over = now >= limit.reject_at();
        let waiting = self.waiting.len();
        (is_hopeless || is_over).then_some(AdmissionRejection { ticket, wait_ms, position, waiting })
    }

    /// Removes the requests whose turn will not come in time. A request is judged after those that go before it
    /// have been removed.
    pub fn reject_unservable(&mut self, now: ClockTime) -> Vec<AdmissionRejection> {
        if now.since_ms(self.swept_at) < SWEEP_MS {
            return Vec::new();
        }
        self.swept_at = now;
        self.update_standings(now);
        let mut order: Vec<_> =
            self.waiting.iter().map(|entry| (entry.level(), entry.order(), entry.ticket)).collect();
        order.sort_unstable();
        let mut rejections = Vec::new();
        for (_, _, ticket) in order {
            let Some(rejection) = self.rejection(ticket, now) else {
                continue;
            };
            if let Some(request) = self.leave(ticket) {
                self.record_rejection(&request, now);
            }
            rejections.push(rejection);
        }
        rejections
    }

    /// Number of requests for the same upstreams that are expected to be dispatched before this one.
    pub fn position(&self, ticket: QueueTicket) -> Option<u64> {
        self.waiting.position(ticket)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting requests by priority class.
    pub fn count_by_class(&self) -> [usize; PRIORITY_CLASSES] {
        let mut counts = [0; PRIORITY_CLASSES];
        for entry in self.waiting.iter() {
            if let Some(count) = counts.get_mut(entry.request.class()) {
                *count += 1;
            }
        }
        counts
    }

    /// Targets of all waiting requests, sorted.
    pub fn targets(&self) -> Vec<AdmissionTarget> {
        self.waiting.targets()
    }

    /// Targets of waiting requests that may use a place at this upstream, sorted.
    pub fn targets_at(&self, known: &KnownUpstream, now: ClockTime) -> Vec<AdmissionTarget> {
        let mut targets = self.waiting.targets();
        targets.retain(|target| target.could_use(known, now));
        targets
    }

    /// Moves requests that can no longer meet their objective, or have waited for half of their time.
    fn update_standings(&mut self, now: ClockTime) {
        let outdated = self.waiting.iter().filter(|entry| entry.is_outdated(now));
        let tickets: Vec<QueueTicket> = outdated.map(|entry| entry.ticket).collect();
        for ticket in tickets {
            if let Some(entry) = self.waiting.leave(ticket) {
                self.waiting.push(AdmissionEntry::new(ticket, entry.request, entry.goes_first, now));
            }
        }
    }

    fn expected_ms(&self, target: &AdmissionTarget, position: u64, now: ClockTime) -> u64 {
        let rate = self.find_rate(target).ok().and_then(|at| self.rates.get(at));
        rate.and_then(|(_, rate)| rate.expected_ms(position, now)).unwrap_or(0)
    }

    fn find_rate(&self, target: &AdmissionTarget) -> Result<usize, usize> {
        self.rates.binary_search_by(|(known, _)| known.cmp(target))
    }

    fn rate_mut(&mut self, target: &AdmissionTarget, now: ClockTime) -> &mut DispatchRate {
        let at = match self.find_rate(target) {
            Ok(at) => at,
            Err(_) => {
                self.rates.retain(|(_, rate)| !rate.is_expired(now));
                let at = self.rates.partition_point(|(known, _)| known < target);
                self.rates.insert(at, (target.clone(), DispatchRate::default()));
                at
            }
        };
        &mut self.rates[at].1
    }
}
