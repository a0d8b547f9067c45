//! Progress of one request over its sends.

use std::sync::Weak;

use cowslip_entry::{RequestNeed, WaitCause, WaitLimit};
use cowslip_units::{ErrorKind, UpstreamId};

use crate::choice_inputs::ChoiceInputs;
use crate::request_rejection::RequestRejection;
use crate::send_outcome::SendOutcome;

/// Progress of a request over its sends.
#[derive(Clone, Debug)]
pub(crate) struct RequestProgress {
    /// Service, model and regions that it needs.
    pub need: RequestNeed,
    /// Deadlines.
    pub limit: WaitLimit,
    /// Upstreams that failed to serve it.
    pub tried: Vec<UpstreamId>,
    /// Upstreams of slow calls for this request; each reference ends with its call.
    pub under_way: Vec<Weak<UpstreamId>>,
    /// Sends that may have run.
    pub runs: u32,
    /// Sends refused by upstreams.
    pub refused: u32,
    /// Failed connections.
    pub unreached: u32,
    /// What the last choice of an upstream relied on.
    pub inputs: ChoiceInputs,
    /// Total time in ms spent waiting for an upstream.
    pub waited_ms: u64,
    /// Reason of the last wait.
    pub cause: Option<WaitCause>,
    /// True once the request has waited at an upstream that ended.
    pub is_retry: bool,
    /// Id of the last event sent to the caller, when a stream is resumed.
    pub last_event: Option<smol_str::SmolStr>,
}

impl RequestProgress {
    /// Counts how a send ended.
    pub(crate) fn count(&mut self, upstream: &UpstreamId, outcome: &SendOutcome) {
        match outcome {
            SendOutcome::Answered(_) | SendOutcome::Withheld => {}
            SendOutcome::NotSent => self.unreached += 1,
            SendOutcome::NotRun(_) => self.refused += 1,
            SendOutcome::Failure(_)
            | SendOutcome::Unconfirmed(_)
            | SendOutcome::Withdrawn
            | SendOutcome::Broken
            | SendOutcome::Lost(_) => {
                self.runs += 1;
                self.tried.push(upstream.clone());
            }
        }
    }

    /// True while the upstream works on this request.
    pub(crate) fn is_under_way(&self, upstream: &UpstreamId) -> bool {
        self.under_way.iter().any(|known| known.upgrade().is_some_and(|known| *known == *upstream))
    }

    /// The rejection itself, unless its status promises that the request did not run though it may have.
    pub(crate) const fn true_rejection(&self, rejection: RequestRejection) -> RequestRejection {
        if self.runs > 0 && rejection.promises_not_run() { self.rejection() } else { rejection }
    }

    /// Rejection of the request when it is not sent again. One that may have run gets an error that does not
    /// claim that it did not.
    pub(crate) const fn rejection(&self) -> RequestRejection {
        RequestRejection::new(if self.runs > 0 { ErrorKind::UpstreamFailed } else { ErrorKind::NoCapacity })
    }
}
