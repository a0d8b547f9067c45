//! Errors of a single attempt at an upstream.

use cowslip_units::ErrorKind;
use serde::Deserialize;

use crate::SendFault;

/// An attempt that ended without a usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFault {
    /// Error kind reported to the caller if the request is not retried.
    pub kind: ErrorKind,
    /// Description for the log and the caller.
    pub message: String,
    /// True if the upstream is known not to have run the request.
    pub not_run: bool,
    /// True if the engine does not have the model loaded.
    pub evicted: bool,
    /// True if the connection failed: the upstream may have restarted and would then be warming up.
    pub may_have_restarted: bool,
    /// True if the connection ended after the request was sent and before its response was complete.
    pub is_broken: bool,
    /// True if a retry is pointless: this router cancelled the attempt, or the engine rejected the request
    /// itself.
    pub is_final: bool,
}

#[derive(Deserialize)]
struct UpstreamRejection {
    error: UpstreamError,
}

#[derive(Deserialize)]
struct UpstreamError {
    #[serde(default)]
    kind: String,
    ran: Option<bool>,
}

impl CallFault {
    /// Creates a fault of a request that may have run.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            not_run: false,
            evicted: false,
            may_have_restarted: false,
            is_broken: false,
            is_final: false,
        }
    }

    /// Creates the fault of a response that its connection cut off.
    pub fn broken(message: impl Into<String>) -> Self {
        Self { is_broken: true, ..Self::new(ErrorKind::UpstreamFailed, message) }
    }

    /// Converts the error of a request for which no response was received.
    pub fn from_send(fault: SendFault) -> Self {
        match fault {
            SendFault::NotReached(message) => Self {
                not_run: true,
                may_have_restarted: true,
                ..Self::new(ErrorKind::UpstreamFailed, format!("not reached: {message}"))
            },
            SendFault::NotSent(message) => {
                Self { not_run: true, ..Self::new(ErrorKind::UpstreamFailed, format!("not sent: {message}")) }
            }
            SendFault::Failed(message) => Self { may_have_restarted: true, ..Self::broken(message) },
            SendFault::TimedOut => {
                Self::new(ErrorKind::UpstreamStalled, "the upstream did not answer in time")
            }
        }
    }

    /// Returns the fault if a response with this status and body is an upstream's statement that the request
    /// did not run.
    pub fn from_rejection(status: u16, body: &[u8]) -> Option<Self> {
        if status != 409 && status != 429 {
            return None;
        }
        let rejection: UpstreamRejection = serde_json::from_slice(body).ok()?;
        if rejection.error.ran != Some(false) {
            return None;
        }
        Some(Self {
            not_run: true,
            evicted: rejection.error.kind == "not_loaded",
            ..Self::new(ErrorKind::NoCapacity, format!("the upstream refused: {}", rejection.error.kind))
        })
    }

    /// Creates the fault of an attempt that this router cancelled.
    pub fn cancelled(kind: ErrorKind) -> Self {
        let message = match kind {
            ErrorKind::KeyWithdrawn => "the key was withdrawn while the request ran",
            _ => "this router cannot confirm its configuration any more",
        };
        Self { is_final: true, ..Self::new(kind, message) }
    }
}
