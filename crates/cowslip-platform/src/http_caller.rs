//! One HTTP call with a time-out, and the mapping of its failures.
//!
//! The mapping depends on one fact: whether the request was handed to a connection. Before that nothing can have
//! reached the service; after it, only an answer tells what happened.

use std::time::Duration;

use crate::PlatformError;
use crate::call_budget::CallBudget;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Largest accepted answer in bytes, unless a caller sets less.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Idle connections are closed after this time in seconds, before common servers close them from their side.
const IDLE_TIMEOUT_SECS: u64 = 4;

/// Longest part of a failed answer's body that goes into an error message, in characters.
const MAX_MESSAGE_CHARS: usize = 200;

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Changes nothing; repeated once when its connection fails.
    Read,
    /// May have taken effect when its connection fails; never repeated.
    Write,
}

/// What a call sends.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Whether it may be repeated.
    pub kind: CallKind,
    /// HTTP method.
    pub method: Method,
    /// Absolute URI.
    pub uri: String,
    /// Body; empty for none.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: &'static str,
}

/// Makes calls over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    max_answer_bytes: usize,
    /// Time in ms for the rest of an answer that has begun, beyond the call's time-out where that ends earlier.
    body_timeout_ms: u64,
}

/// A failed attempt.
struct FailedAttempt {
    error: PlatformError,
    /// True when the connection failed, so that a read may be repeated on another one.
    connection_failed: bool,
}

impl HttpCaller {
    /// A caller with an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The library repeats unsent requests on its own by default; writes must not be repeated here.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(IDLE_TIMEOUT_SECS))
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, max_answer_bytes: MAX_ANSWER_BYTES, body_timeout_ms: 0 }
    }

    /// Sets the largest accepted answer in bytes.
    #[must_use]
    pub const fn with_max_answer_bytes(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Sets the time in ms for the rest of an answer that began within the time-out. A large answer takes a small VM
    /// longer than the time in which a sound service begins to answer, and would be as large at the next call.
    #[must_use]
    pub const fn with_body_timeout_ms(mut self, millis: u64) -> Self {
        self.body_timeout_ms = millis;
        self
    }

    /// Makes the call and returns status and body when the service carried it out (2xx) or answered 404.
    ///
    /// # Errors
    /// [`PlatformError`] when the call was refused, was not answered, or was answered with a failure.
    pub async fn call(
        &self,
        call: CallRequest,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let (status, body) = self.call_any(call, timeout_ms).await?;
        check_status(status, &body)?;
        Ok((status, body))
    }

    /// Makes the call and returns status and body of any whole answer.
    ///
    /// # Errors
    /// [`PlatformError`] when there was no whole answer.
    pub async fn call_any(
        &self,
        call: CallRequest,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = self.call_response(call, timeout_ms).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Makes the call and returns any whole answer.
    ///
    /// # Errors
    /// [`PlatformError`] when there was no whole answer.
    pub async fn call_response(
        &self,
        call: CallRequest,
        timeout_ms: u64,
    ) -> Result<Response<Bytes>, PlatformError> {
        let mut budget = CallBudget::new(timeout_ms);
        match self.attempt(&call, &mut budget).await {
            Err(failed) if failed.connection_failed && call.kind == CallKind::Read => {
                self.attempt(&call, &mut budget).await.map_err(|failed| failed.error)
            }
            outcome => outcome.map_err(|failed| failed.error),
        }
    }

    async fn attempt(
        &self,
        call: &CallRequest,
        budget: &mut CallBudget,
    ) -> Result<Response<Bytes>, FailedAttempt> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.uri)
            .header(CONTENT_TYPE, call.content_type)
            .body(Full::new(call.body.clone()))
            .map_err(|error| FailedAttempt::new(PlatformError::NotConnected(error.to_string())))?;
        let captured = capture_connection(&mut request);
        let response = match budget.run(self.client.request(request)).await {
            Some(Ok(response)) => response,
            Some(Err(error)) if error.is_connect() => {
                return Err(FailedAttempt::new(PlatformError::NotConnected(full_message(&error))));
            }
            Some(Err(error)) => return Err(FailedAttempt::connection(full_message(&error))),
            None if captured.connection_metadata().is_none() => {
                let message = "no connection within the time-out".to_owned();
                return Err(FailedAttempt::new(PlatformError::NotConnected(message)));
            }
            None => {
                let message = "no answer within the time-out".to_owned();
                return Err(FailedAttempt::new(PlatformError::InDoubt(message)));
            }
        };
        let (head, body) = response.into_parts();
        budget.raise(self.body_timeout_ms);
        let body = Limited::new(body, self.max_answer_bytes);
        let body = match budget.run(body.collect()).await {
            Some(Ok(collected)) => collected.to_bytes(),
            Some(Err(error)) => return Err(FailedAttempt::connection(error.to_string())),
            None => {
                let message = "not complete within the time-out".to_owned();
                return Err(FailedAttempt::new(PlatformError::Unfinished(message)));
            }
        };
        Ok(Response::from_parts(head, body))
    }
}

impl Default for HttpCaller {
    fn default() -> Self {
        Self::new()
    }
}

impl FailedAttempt {
    fn new(error: PlatformError) -> Self {
        Self { error, connection_failed: false }
    }

    fn connection(message: String) -> Self {
        Self { error: PlatformError::InDoubt(message), connection_failed: true }
    }
}

/// Maps a status to a fault. A 4xx answer says that the service did not carry the call out; other answers of 500
/// and more leave that open.
fn check_status(status: StatusCode, body: &[u8]) -> Result<(), PlatformError> {
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return Ok(());
    }
    let message: String = String::from_utf8_lossy(body).chars().take(MAX_MESSAGE_CHARS).collect();
    let refused = status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error();
    if refused && status != StatusCode::REQUEST_TIMEOUT {
        return Err(PlatformError::Refused { status: status.as_u16(), message });
    }
    if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT {
        return Err(PlatformError::InDoubt(format!("status {status}: {message}")));
    }
    Err(PlatformError::Malformed(format!("unexpected status {status}: {message}")))
}

/// The error with its causes, which carry the operating system's reason.
fn full_message(error: &dyn std::error::Error) -> String {
    let mut message = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        message.push_str(": ");
        message.push_str(&inner.to_string());
        cause = inner.source();
    }
    message
}
