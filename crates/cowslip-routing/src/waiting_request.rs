//! A request in the waiting queue.

use cowslip_units::{ClockTime, TeamId, TokenCount};

use crate::{QueueTicket, RequestClass, WaitTarget};

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
