//! Why a call to the platform or an engine failed.

use thiserror::Error;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The connection could not be made: nothing was sent.
    #[error("not connected: {0}")]
    NotConnected(String),
    /// The call was sent and its answer did not come whole: it may have taken effect.
    #[error("in doubt: {0}")]
    InDoubt(String),
    /// The answer began and did not come whole in time: the call may have taken effect, and the service is there.
    #[error("unfinished answer: {0}")]
    Unfinished(String),
    /// The service refused the call before it took effect (overload, outage).
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// The service's message.
        message: String,
    },
    /// The answer does not have the agreed form; the call may have taken effect.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl PlatformError {
    /// True when the call may have taken effect.
    pub const fn in_doubt(&self) -> bool {
        matches!(self, Self::InDoubt(_) | Self::Unfinished(_) | Self::Malformed(_))
    }

    /// True when the service answered, be it with something that is of no use.
    pub const fn has_answer(&self) -> bool {
        matches!(self, Self::Unfinished(_) | Self::Malformed(_))
    }
}
