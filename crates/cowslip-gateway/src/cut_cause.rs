//! Why a stream was cut: its caller got events, but no proper end.

use std::fmt;

use cowslip_units::ErrorKind;

/// Why a stream was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutCause {
    /// The request's deadline was reached or too close for another attempt.
    Deadline,
    /// The route does not allow to resume a stream, or its last event has no id.
    NotResumable,
    /// It was already sent to as many upstreams as the route allows.
    AttemptsUsed,
    /// The retry budget was empty.
    NoRetryLeft,
    /// It is no longer allowed, or no upstream could take it.
    Rejected(ErrorKind),
    /// The upstreams that were chosen did not accept a connection.
    Unreachable,
    /// The upstream that was chosen refused it.
    Refused,
    /// The upstream that was chosen answered with a failure.
    Failed,
    /// The upstream that was chosen did not answer, or not with a valid head.
    Lost,
}

impl CutCause {
    /// Name in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::NotResumable => "not_resumable",
            Self::AttemptsUsed => "attempts_used",
            Self::NoRetryLeft => "no_retry_left",
            Self::Rejected(kind) => kind.as_str(),
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

impl fmt::Display for CutCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
