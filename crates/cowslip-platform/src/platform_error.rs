//! Failures of calls to the platform or an engine.

use thiserror::Error;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// No connection could be established, so nothing was sent.
    #[error("not connected: {0}")]
    NotConnected(String),
    /// The call was sent, but its answer is missing or incomplete: it may have taken effect.
    #[error("in doubt: {0}")]
    InDoubt(String),
    /// The answer began but was not complete in time: the call may have taken effect, and the service is
    /// reachable.
    #[error("unfinished answer: {0}")]
    Unfinished(String),
    /// The service refused the call before it took effect, as in an overload or outage.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Message of the service.
        message: String,
    },
    /// The answer does not have the expected format; the call may have taken effect.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl PlatformError {
    /// Whether the call may have taken effect.
    pub const fn in_doubt(&self) -> bool {
        matches!(self, Self::InDoubt(_) | Self::Unfinished(_) | Self::Malformed(_))
    }

    /// Whether the service answered, even if the answer is unusable.
    pub const fn has_answer(&self) -> bool {
        matches!(self, Self::Unfinished(_) | Self::Malformed(_))
    }
}
