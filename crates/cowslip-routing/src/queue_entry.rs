//! What [`FairQueue`](crate::FairQueue) needs to know of a waiting request.

use std::fmt::Debug;

use cowslip_units::{TeamId, TokenCount};

use crate::QueueTicket;

/// A request in a fair queue. Its properties must not change while it is in the queue.
pub trait QueueEntry: Clone + Debug {
    /// The capacity that requests wait for.
    type Target: Clone + Debug + Ord;
    /// Order within a team and level; the least goes first.
    type Order: Copy + Debug + Ord;

    /// Id within the queue.
    fn ticket(&self) -> QueueTicket;
    /// Team that is charged; `None` on open routes, which share one turn.
    fn team(&self) -> Option<&TeamId>;
    /// Level of urgency; 0 is the most urgent.
    fn level(&self) -> usize;
    /// The capacity that it waits for.
    fn target(&self) -> &Self::Target;
    /// Its place among the requests of its team in its level. Unique, because it includes the ticket.
    fn order(&self) -> Self::Order;
    /// Cost in tokens.
    fn cost(&self) -> TokenCount;
}
