//! How a send to an upstream ended.

use cowslip_units::ErrorKind;
use http::{Response, StatusCode};

use crate::response_body::ResponseBody;

/// How a send ended.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// Response for the caller.
    Answered(Response<ResponseBody>),
    /// Error response of the upstream, forwarded unless the request can be retried.
    Failure(Response<ResponseBody>),
    /// The upstream answered with a status that promises that the request did not run, and did not confirm that; the
    /// request may have run.
    Unconfirmed(StatusCode),
    /// Nothing was written.
    NotSent,
    /// Nothing was written, because the request was no longer allowed when its connection was ready.
    Withheld,
    /// The upstream reported that it did not run the request; true when it lacks the model or is another
    /// upstream.
    NotRun(bool),
    /// Given up by the gateway, because a part of its prompt is quarantined from now on; the request may have run.
    Withdrawn,
    /// The upstream broke the connection before the response; the request may have run.
    Broken,
    /// No valid response in time; the request may have run.
    Lost(ErrorKind),
}

impl SendOutcome {
    /// Name in logs and metrics.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failure(_) => "failure",
            Self::Unconfirmed(_) => "unconfirmed",
            Self::NotSent => "not_sent",
            Self::Withheld => "withheld",
            Self::NotRun(true) => "misplaced",
            Self::NotRun(false) => "not_run",
            Self::Withdrawn => "withdrawn",
            Self::Broken => "broken",
            Self::Lost(_) => "lost",
        }
    }

    /// Status of the upstream's answer, if it gave one that counts.
    pub(crate) fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Answered(response) | Self::Failure(response) => Some(response.status()),
            Self::Unconfirmed(status) => Some(*status),
            _ => None,
        }
    }
}
