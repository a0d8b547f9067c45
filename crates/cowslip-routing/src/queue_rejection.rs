//! Rejection of a waiting request.

use cowslip_units::ErrorKind;

use crate::WaitingRequest;

/// A request that was removed from the queue and is rejected; nothing of it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRejection {
    /// The removed request.
    pub request: WaitingRequest,
    /// Error to report to the caller.
    pub kind: ErrorKind,
    /// Time in ms after which the caller may retry.
    pub retry_after_ms: u64,
}
