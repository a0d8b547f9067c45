//! A single attempt whose response is buffered completely.

use bytes::{Bytes, BytesMut};
use cowslip_units::{ClockTime, ErrorKind};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::{Duration, timeout};

use crate::{CallFault, CallFlight, RouterCore, UpstreamRequest};

/// Limit of a buffered response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// Time limit in ms for a response without a deadline (reports).
const MAX_RESPONSE_MS: u64 = 600_000;

/// A buffered response of an upstream; complete according to HTTP framing, not yet validated.
#[derive(Clone, Debug, PartialEq)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time in ms from sending the request to the first byte.
    pub first_byte_ms: u64,
}

impl BufferedResponse {
    /// Request id in the response's headers; `None` if absent or not text.
    pub fn request_id(&self) -> Option<&str> {
        self.headers.get("x-request-id")?.to_str().ok()
    }
}

/// Sends the request and reads its response until the deadline, or until this router cancels it.
pub(crate) async fn send_buffered(
    core: &RouterCore,
    flight: &CallFlight,
    request: &UpstreamRequest,
    new_connection: bool,
    cancel_signal: &mut oneshot::Receiver<ErrorKind>,
) -> Result<BufferedResponse, CallFault> {
    tokio::select! {
        response = send_and_read(core, flight, request, new_connection) => response,
        Ok(kind) = cancel_signal => Err(CallFault::cancelled(kind)),
    }
}

async fn send_and_read(
    core: &RouterCore,
    flight: &CallFlight,
    request: &UpstreamRequest,
    new_connection: bool,
) -> Result<BufferedResponse, CallFault> {
    let now = core.now();
    let invalid_request = || CallFault {
        not_run: true,
        is_final: true,
        ..CallFault::new(ErrorKind::BadRequest, "the path or a header cannot be sent upstream")
    };
    let message = request.build(flight.address, now).ok_or_else(invalid_request)?;
    let wait_ms = remaining_ms(request.deadline, now);
    let response =
        core.upstreams.send(message, new_connection, wait_ms).await.map_err(CallFault::from_send)?;
    let first_byte_ms = core.now().since_ms(flight.sent_at);
    let (head, body) = response.into_parts();
    let wait_ms = remaining_ms(request.deadline, core.now());
    let read = timeout(Duration::from_millis(wait_ms), read_body(body));
    let body = read.await.map_err(|_| {
        CallFault::new(ErrorKind::UpstreamStalled, "the upstream did not finish its answer in time")
    })??;
    Ok(BufferedResponse { status: head.status, headers: head.headers, body, first_byte_ms })
}

/// Remaining time in ms for a response.
pub(crate) fn remaining_ms(deadline: ClockTime, now: ClockTime) -> u64 {
    deadline.since_ms(now).clamp(1, MAX_RESPONSE_MS)
}

/// Reads a body up to [`MAX_RESPONSE_BYTES`].
pub(crate) async fn read_body(mut body: Incoming) -> Result<Bytes, CallFault> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| CallFault::broken(format!("the upstream cut its answer: {error}")))?;
        if let Ok(part) = frame.into_data() {
            if bytes.len() + part.len() > MAX_RESPONSE_BYTES {
                let message = format!("the upstream's answer is larger than {MAX_RESPONSE_BYTES} bytes");
                return Err(CallFault::new(ErrorKind::UpstreamGarbled, message));
            }
            bytes.extend_from_slice(&part);
        }
    }
    Ok(bytes.freeze())
}
