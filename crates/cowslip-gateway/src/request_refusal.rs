//! Answers of the gateway's own.

use cowslip_units::{ErrorKind, RetryHint};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

use crate::answer_body::AnswerBody;

/// Why a request was refused or failed, and when its caller should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestRefusal {
    /// Why.
    pub kind: ErrorKind,
    /// Time in ms after which the caller should come back.
    pub retry_after_ms: Option<u64>,
}

impl RequestRefusal {
    /// A refusal with the time of its kind.
    pub(crate) const fn new(kind: ErrorKind) -> Self {
        let retry_after_ms = match kind.answer().retry {
            RetryHint::AfterMs(millis) => Some(millis),
            RetryHint::Never => None,
        };
        Self { kind, retry_after_ms }
    }

    /// Sets the time after which the caller should come back.
    #[must_use]
    pub(crate) const fn with_retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// The answer.
    pub(crate) fn response(&self) -> Response<AnswerBody> {
        let answer = self.kind.answer();
        let body = format!("{{\"error\":\"{}\"}}", answer.name);
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        // A time to come back is only told where the request has not run.
        let promises = matches!(answer.status, 408 | 429 | 503);
        if let (Some(millis), true) = (self.retry_after_ms, promises) {
            let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
