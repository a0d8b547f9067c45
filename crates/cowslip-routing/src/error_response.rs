//! The response to a caller whose request was rejected or failed.

use cowslip_units::{ErrorKind, RetryHint, RunState};
use serde::Serialize;

/// An error response: what happened, whether the request ran, and when to retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Kind of the error, with its fixed status code and retry hint.
    pub kind: ErrorKind,
    /// Description for humans.
    pub message: String,
    /// Whether the request ran.
    pub ran: RunState,
    /// Time in ms after which to retry; `None` when a retry would fail in the same way.
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
    /// An error for a request that did not run, with the retry time of its kind.
    pub fn new(kind: ErrorKind, message: &str) -> Self {
        let retry_after_ms = match kind.answer().retry {
            RetryHint::Never => None,
            RetryHint::AfterMs(millis) => Some(millis),
        };
        Self { kind, message: message.to_owned(), ran: RunState::NotRun, retry_after_ms }
    }

    /// Replaces the statement about whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: RunState) -> Self {
        self.ran = ran;
        self
    }

    /// Replaces the retry time, in ms.
    #[must_use]
    pub fn with_retry_ms(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// HTTP status code of the kind.
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
        // Serialising strings and numbers into memory cannot fail; an empty body would still carry the
        // status.
        serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default()
    }

    /// Value of the `Retry-After` header: whole seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|millis| millis.div_ceil(1_000).max(1))
    }
}
