//! Why a stream was cut, its caller having got events but no proper end, or why a silent one was not handed
//! over.

use std::fmt;

use cowslip_units::ErrorKind;

use crate::send_outcome::SendOutcome;

/// Why a stream was cut, or not handed over.
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
    /// No other upstream can take it at once.
    NoAlternative,
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
    /// Cause when no further upstream can be tried after this outcome of a send; `None` for outcomes that do not
    /// end a stream.
    pub(crate) const fn of_outcome(outcome: &SendOutcome) -> Option<Self> {
        match outcome {
            SendOutcome::NotSent => Some(Self::Unreachable),
            SendOutcome::NotRun(_) => Some(Self::Refused),
            SendOutcome::Failure(_) | SendOutcome::Unconfirmed(_) => Some(Self::Failed),
            SendOutcome::Withdrawn | SendOutcome::Broken | SendOutcome::Lost(_) => Some(Self::Lost),
            SendOutcome::Answered(_) | SendOutcome::Withheld => None,
        }
    }

    /// Name in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::NotResumable => "not_resumable",
            Self::AttemptsUsed => "attempts_used",
            Self::NoRetryLeft => "no_retry_left",
            Self::NoAlternative => "no_alternative",
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
