//! A request in the waiting queue.

use cowslip_units::{ClockTime, TeamId, TokenCount};

use crate::{QueueEntry, QueueTicket, RequestClass, WaitTarget};

/// Queue entry of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Id within the queue.
    pub ticket: QueueTicket,
    /// Team that is charged; `None` on open routes, which share one turn.
    pub team: Option<TeamId>,
    /// Priority class.
    pub class: RequestClass,
    /// The capacity that it waits for.
    pub target: WaitTarget,
    /// Cost in tokens.
    pub cost: TokenCount,
    /// When the request entered the queue.
    pub arrived: ClockTime,
    /// When its answer must begin; [`ClockTime::NEVER`] for reports.
    pub deadline: ClockTime,
}

impl QueueEntry for WaitingRequest {
    type Target = WaitTarget;
    /// Earliest deadline first, then order of arrival.
    type Order = (ClockTime, QueueTicket);

    fn ticket(&self) -> QueueTicket {
        self.ticket
    }

    fn team(&self) -> Option<&TeamId> {
        self.team.as_ref()
    }

    fn level(&self) -> usize {
        self.class.level()
    }

    fn target(&self) -> &WaitTarget {
        &self.target
    }

    fn order(&self) -> Self::Order {
        (self.deadline, self.ticket)
    }

    fn cost(&self) -> TokenCount {
        self.cost
    }
}
