//! Outcome of a planned call.

use cowslip_units::{ModelId, TeamId};

use crate::CallKind;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A complete response that matches the request.
    Served,
    /// The caller disconnected as planned.
    Disconnected,
    /// An error response of the fleet.
    Rejected {
        /// Error kind from the documented list.
        kind: String,
        /// Whether the request ran: `not_run`, `ran` or `unknown`.
        ran: String,
        /// Time in ms after which a retry is advised.
        retry_after_ms: Option<u64>,
    },
    /// An incomplete response that is recognisable as such, with the reason.
    Truncated(String),
    /// A response that looks complete but is not, or that belongs to another request.
    Invalid(String),
    /// No response because the connection failed.
    ConnectionFailed {
        /// Address of the router.
        router: String,
        /// Error of the connection.
        reason: String,
    },
    /// No response within the deadline plus a grace period of the tool.
    TimedOut,
}

/// One call with its outcome and times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// Kind of the call.
    pub kind: CallKind,
    /// Team of the caller; `None` when the call is not counted for any team.
    pub team: Option<TeamId>,
    /// Model or adapter requested by a draft or report.
    pub model: Option<ModelId>,
    /// Planned send time in ms since the start of the run.
    pub at_ms: u64,
    /// How it ended.
    pub result: CallResult,
    /// Time to the first token in ms.
    pub first_ms: Option<u64>,
    /// Time to the end of the call in ms.
    pub total_ms: u64,
    /// Longest time between two tokens in ms.
    pub gap_ms: Option<u64>,
    /// True when the response is marked as a cold start, having waited for a load.
    pub cold: bool,
    /// Tokens reserved at admission: prompt and `max_tokens`.
    pub reserved: u64,
    /// Tokens received.
    pub tokens: u64,
}
