//! HTTP calls with a time-out, and the classification of their failures.
//!
//! The classification depends on whether the request was handed to a connection. Before that, nothing can
//! have reached the service; after it, only an answer shows what happened.

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

/// Default limit of the size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Idle connections are closed after this time in seconds, earlier than common servers close them.
const IDLE_TIMEOUT_SECS: u64 = 4;

/// Most characters of a failed answer's body that go into an error message.
const MAX_MESSAGE_CHARS: usize = 200;

/// Whether a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Changes nothing; retried once if its connection fails.
    Read,
    /// May have taken effect if its connection fails; never retried.
    Write,
}

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Whether the call may be retried.
    pub kind: CallKind,
    /// HTTP method.
    pub method: Method,
    /// Absolute URI.
    pub uri: String,
    /// Body; may be empty.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: &'static str,
}

/// Makes HTTP calls over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    max_answer_bytes: usize,
    /// Time in ms for the rest of an answer that has begun, if it ends later than the time-out of the call.
    body_timeout_ms: u64,
}

/// A failed attempt.
struct FailedAttempt {
    error: PlatformError,
    /// True if the connection failed, so that a read may be retried on another one.
    connection_failed: bool,
}

impl HttpCaller {
    /// Creates a caller without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // By default, the library retries unsent requests on its own; writes must not be retried here.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(IDLE_TIMEOUT_SECS))
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, max_answer_bytes: MAX_ANSWER_BYTES, body_timeout_ms: 0 }
    }

    /// Sets the limit of the size of an answer, in bytes.
    #[must_use]
    pub const fn with_max_answer_bytes(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Sets the time in ms for the rest of an answer that began within the time-out. A small VM may need
    /// longer to receive a large answer than a working service needs to begin it, and the next answer would
    /// be as large.
    #[must_use]
    pub const fn with_body_timeout_ms(mut self, millis: u64) -> Self {
        self.body_timeout_ms = millis;
        self
    }

    /// Makes the call; returns status and body if the service carried it out (2xx) or answered 404.
    ///
    /// # Errors
    /// [`PlatformError`] if the call was refused, was not answered, or was answered with a failure.
    pub async fn call(
        &self,
        call: CallRequest,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let (status, body) = self.call_any(call, timeout_ms).await?;
        check_status(status, &body)?;
        Ok((status, body))
    }

    /// Makes the call; returns status and body of any complete answer.
    ///
    /// # Errors
    /// [`PlatformError`] if there was no complete answer.
    pub async fn call_any(
        &self,
        call: CallRequest,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = self.call_response(call, timeout_ms).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Makes the call; returns any complete answer.
    ///
    /// # Errors
    /// [`PlatformError`] if there was no complete answer.
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

/// Maps a status to an error. A 4xx or 503 answer means that the service did not carry the call out; other
/// answers of 500 and above, and 408, leave that open.
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

/// The message of an error and its causes; the last cause has the reason given by the operating system.
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
