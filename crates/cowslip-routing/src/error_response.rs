//! The answer to a caller whose request is refused or failed.

use cowslip_units::{ErrorKind, RetryHint, RunState};
use serde::Serialize;

/// A refusal: what happened, whether the request ran, and when to send it again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// For people.
    pub message: String,
    /// Whether the request ran.
    pub ran: RunState,
    /// When to send it again, in ms; `None` when the same request is refused again.
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    kind: ErrorKind,
    message: &'a str,
    ran: RunState,
    retry_after_ms: Option<u64>,
}

impl ErrorResponse {
    /// A refusal of a request that did not run, with the retry time of its kind.
    pub fn new(kind: ErrorKind, message: &str) -> Self {
        let retry_after_ms = match kind.answer().retry {
            RetryHint::Never => None,
            RetryHint::AfterMs(millis) => Some(millis),
        };
        Self { kind, message: message.to_owned(), ran: RunState::NotRun, retry_after_ms }
    }

    /// The refusal with another statement about whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: RunState) -> Self {
        self.ran = ran;
        self
    }

    /// The refusal with a retry time in ms.
    #[must_use]
    pub fn with_retry_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// HTTP status.
    pub const fn status(&self) -> u16 {
        self.kind.answer().status
    }

    /// The JSON body.
    pub fn to_json(&self) -> String {
        let fields = ErrorFields {
            kind: self.kind,
            message: &self.message,
            ran: self.ran,
            retry_after_ms: self.retry_after_ms,
        };
        // Serialising strings and numbers into memory cannot fail; an empty body would still carry the status.
        serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default()
    }

    /// The `Retry-After` header in whole seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|millis| millis.div_ceil(1_000).max(1))
    }
}
