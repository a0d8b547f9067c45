//! Why the queue gives up on a request.

use cowslip_units::ErrorKind;

use crate::WaitingRequest;

/// A request that leaves the queue with a refusal; nothing of it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRejection {
    /// The request.
    pub request: WaitingRequest,
    /// Kind of the refusal.
    pub kind: ErrorKind,
    /// When to send the request again, in ms.
    pub retry_after_ms: u64,
}
