//! Cancels a request at a model engine.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cowslip_units::RequestId;
use http::{Method, Request};
use http_body_util::Full;

use crate::RouterCore;

/// Timeout in ms of a cancellation request.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Cancels a request at its engine when dropped, for example because the caller disconnected, unless
/// disarmed.
#[derive(Debug)]
pub struct UpstreamCancel {
    core: Arc<RouterCore>,
    request: RequestId,
    addr: SocketAddr,
    armed: bool,
}

impl UpstreamCancel {
    /// Creates a guard that cancels `request` at the engine at `addr`.
    pub fn new(core: &Arc<RouterCore>, request: &RequestId, addr: SocketAddr) -> Self {
        Self { core: Arc::clone(core), request: request.clone(), addr, armed: true }
    }

    /// Disarms the guard because the request has ended at the engine.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for UpstreamCancel {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let uri = format!("http://{}/v1/streams/{}", self.addr, self.request);
        let (Ok(runtime), Ok(uri)) = (tokio::runtime::Handle::try_current(), uri.parse()) else {
            return;
        };
        let mut message = Request::new(Full::new(Bytes::new()));
        *message.method_mut() = Method::DELETE;
        *message.uri_mut() = uri;
        let core = Arc::clone(&self.core);
        runtime.spawn(async move {
            core.metrics.count("upstream_cancels", 1);
            // If the request is lost, the engine cancels by itself once the connection is closed.
            let _ = core.upstreams.send(message, false, CANCEL_TIMEOUT_MS).await;
        });
    }
}
