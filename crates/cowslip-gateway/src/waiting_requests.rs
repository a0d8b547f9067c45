//! The requests of a gateway that wait for an upstream.

use cowslip_entry::ModelNeed;
use cowslip_units::ClockTime;

/// A request that is waiting for an upstream.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// Unique id of the wait.
    pub ticket: u64,
    /// Model and adapter that it needs.
    pub need: ModelNeed,
    /// Start of the wait.
    pub since: ClockTime,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// True when no upstream holds its model.
    pub unplaced: bool,
    /// True when it takes its turn in the admission queue.
    pub is_queued: bool,
}

/// Requests that wait for an upstream, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    requests: Vec<WaitingRequest>,
    next_ticket: u64,
}

impl WaitingRequests {
    /// All waiting requests.
    pub(crate) fn all(&self) -> &[WaitingRequest] {
        &self.requests
    }

    /// Registers a waiting request and returns its ticket.
    pub(crate) fn register(&mut self, need: ModelNeed, priority: u8, is_queued: bool, now: ClockTime) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.requests.push(WaitingRequest { ticket, need, since: now, priority, unplaced: false, is_queued });
        ticket
    }

    /// Records whether no upstream holds the model of a waiting request. Returns true when it has just become
    /// unplaced, so that the leader should get a report.
    pub(crate) fn set_unplaced(&mut self, ticket: u64, unplaced: bool) -> bool {
        let waiting = self.requests.iter_mut().find(|waiting| waiting.ticket == ticket);
        waiting.is_some_and(|waiting| {
            let newly_unplaced = unplaced && !waiting.unplaced;
            waiting.unplaced = unplaced;
            newly_unplaced
        })
    }

    /// Removes a request that no longer waits.
    pub(crate) fn end(&mut self, ticket: u64) {
        self.requests.retain(|waiting| waiting.ticket != ticket);
    }
}
