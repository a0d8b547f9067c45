//! Ids of waiting requests within one queue.

use std::fmt;

/// Identifies a waiting request; tickets ascend in order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

impl QueueTicket {
    /// The ticket with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Number of the ticket.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for QueueTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ticket {}", self.0)
    }
}
