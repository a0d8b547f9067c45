//! A response body that reports the end of its response to the connection.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cowslip_runtime::CallerConnections;
use http_body::{Body, Frame, SizeHint};

use crate::response_body::{ResponseAborted, ResponseBody};

/// Marks a connection as handling a request until dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connections: Arc<CallerConnections>,
    caller: SocketAddr,
}

impl RequestGuard {
    /// Marks the start of a request; `None` when its connection is above the limit.
    pub(crate) fn begin(connections: &Arc<CallerConnections>, caller: SocketAddr) -> Option<Self> {
        if !connections.begin(&caller) {
            connections.record_refusal();
            return None;
        }
        Some(Self { connections: Arc::clone(connections), caller })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connections.end(&self.caller);
    }
}

/// A body with the guard of its request.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: ResponseBody,
    _guard: Option<RequestGuard>,
}

impl CallerBody {
    /// A body whose guard is dropped with it.
    pub(crate) const fn new(body: ResponseBody, guard: Option<RequestGuard>) -> Self {
        Self { body, _guard: guard }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
