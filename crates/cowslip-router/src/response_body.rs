//! Response bodies and helpers that build responses to callers.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use tokio::sync::mpsc;

use cowslip_routing::ErrorResponse;

use crate::CallerConnections;

/// A response body fed by a task. When the caller disconnects, the body is dropped and the task sees its
/// channel closed.
#[derive(Debug)]
pub(crate) struct ChannelBody {
    parts: mpsc::Receiver<Bytes>,
}

impl ChannelBody {
    pub(crate) const fn new(parts: mpsc::Receiver<Bytes>) -> Self {
        Self { parts }
    }
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.parts.poll_recv(context).map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// Reports the end of a response to its connection when dropped.
#[derive(Debug)]
pub(crate) struct ResponseGuard {
    connections: Arc<CallerConnections>,
    client: std::net::SocketAddr,
}

impl ResponseGuard {
    /// Creates the guard of a response on the connection from `client`.
    pub(crate) fn new(connections: &Arc<CallerConnections>, client: std::net::SocketAddr) -> Self {
        Self { connections: Arc::clone(connections), client }
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.connections.end(&self.client);
    }
}

/// A body that owns a guard and drops it together with itself.
#[derive(Debug)]
pub(crate) struct GuardedBody<B> {
    body: B,
    _guard: ResponseGuard,
}

impl<B> GuardedBody<B> {
    /// Wraps `body` so that `guard` is dropped with it.
    pub(crate) const fn new(body: B, guard: ResponseGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B> http_body::Body for GuardedBody<B>
where
    B: http_body::Body<Data = Bytes, Error = io::Error> + Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Creates a body from bytes that are already complete.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Body::new(Full::new(bytes).map_err(|never: Infallible| match never {}))
}

/// Creates a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Converts a rejection to an HTTP response, with `Retry-After` if the rejection has a retry time.
pub(crate) fn rejection_response(rejection: &ErrorResponse) -> Response<Body> {
    let status = StatusCode::from_u16(rejection.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, rejection.to_json());
    if let Some(seconds) = rejection.retry_after_s() {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
