//! Number of servers of each service in each failure domain, as the leader decides it.
//!
//! Load this answers: demand that grows for longer than a server needs to boot and to load a model, and demand that falls
//! for good. Demand also comes in bursts of 2 s, in waves with a period of 11 s and a swing of 27%, and moves to other
//! models; servers are taken away at short notice; the API is slow, refuses, or is cut off. None of these may make the
//! number go up and down:
//!
//! - It goes up when calls need more servers for longer than a burst lasts, or their trend does.
//! - It goes down by one server at a time, when the lower number would have been enough for a whole hold time, every
//!   failure domain has what was ordered, and the API has accepted all earlier orders. So a step down cannot cause a
//!   step up: what causes one is part of what is held.
//! - A failure domain that is lost, or that does not get its servers, keeps its number; the others take its part.
//!
//! An order may be sent once the [`ScalingRecord`] of its revision is in the store.

use cowslip_units::{ClockTime, FencingToken, ServiceId};

use crate::scaled_service::ScaledService;
use crate::{ScalingAnswer, ScalingInputs, ScalingOrder, ScalingRecord};

/// Age in ms from which the servers' entries are too old to decide by.
const MAX_AGE_MS: u64 = 5_000;

/// Decides numbers of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerScaler {
    fence: FencingToken,
    revision: u64,
    /// Sorted by name.
    services: Vec<ScaledService>,
}

impl ServerScaler {
    /// A scaler of the leader with that fencing token.
    pub const fn new(fence: FencingToken) -> Self {
        Self { fence, revision: 0, services: Vec::new() }
    }

    /// Sets the numbers that earlier leaders ordered. Those without a recorded answer are sent again.
    #[must_use]
    pub fn with_record(mut self, record: &ScalingRecord) -> Self {
        for number in &record.numbers {
            let domain = self.service(&number.service).domain(&number.domain);
            *domain = domain.clone().with_number(number);
        }
        self
    }

    fn service(&mut self, name: &ServiceId) -> &mut ScaledService {
        let at = self.services.binary_search_by(|service| service.name.cmp(name)).unwrap_or_else(|at| {
            self.services.insert(at, ScaledService::new(name.clone()));
            at
        });
        &mut self.services[at]
    }

    /// Returns the orders that must be sent now, those for more servers first. Each counts as under way until
    /// [`record_answer`](Self::record_answer).
    pub fn decide(&mut self, inputs: &ScalingInputs, now: ClockTime) -> Vec<ScalingOrder> {
        let age_ms = inputs.confirmed_at.map(|at| now.since_ms(at)).filter(|age_ms| *age_ms <= MAX_AGE_MS);
        let mut orders = Vec::new();
        for load in &inputs.services {
            let next = self.revision + 1;
            let service = self.service(&load.service);
            let is_changed = age_ms.is_some_and(|age_ms| service.decide(load, age_ms, next, now));
            orders.extend(service.domains.iter_mut().filter_map(|domain| domain.take_order(now)));
            if is_changed {
                self.revision = next;
            }
        }
        orders.sort_by_key(|order| order.previous.is_some_and(|previous| order.desired < previous));
        orders
    }

    /// Records the outcome of an order.
    pub fn record_answer(&mut self, order: &ScalingOrder, answer: ScalingAnswer, now: ClockTime) {
        let domain = self.service(&order.service).domain(&order.domain);
        if domain.record_answer(order.desired, answer, now) {
            self.revision += 1;
        }
    }

    /// Requires the record to be written again, because the store came back from an older copy.
    pub fn record_store_restored(&mut self) {
        self.revision += 1;
    }

    /// Revision of the record; it rises with each change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The record for the store.
    pub fn record(&self) -> ScalingRecord {
        let numbers = self
            .services
            .iter()
            .flat_map(|service| service.domains.iter().filter_map(|domain| domain.recorded(&service.name)));
        ScalingRecord { fence: self.fence, numbers: numbers.collect() }
    }

    /// Last decision for each service and failure domain, with its reason and inputs.
    pub fn decisions(&self) -> impl Iterator<Item = &ScalingOrder> {
        let domains = self.services.iter().flat_map(|service| &service.domains);
        domains.filter_map(|domain| domain.last_order())
    }
}
