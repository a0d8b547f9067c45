//! Outcome of a call to an upstream.

/// Outcome of a call, for load estimates and the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer was received.
    Answered {
        /// Time to the first byte in ms.
        first_byte_ms: u64,
        /// Duration of the whole request in ms.
        service_ms: u64,
    },
    /// The upstream failed, stalled or sent a malformed answer.
    Failed,
    /// The upstream refused the request without running it, or the caller disconnected.
    Undecided,
}
