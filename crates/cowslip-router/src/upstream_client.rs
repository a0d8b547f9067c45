//! HTTP client for upstreams.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

/// Connect timeout. Upstreams are in the same region, and a host that no longer exists may not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Reason why no response began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFault {
    /// No connection could be established.
    NotReached(String),
    /// The pooled connection was closed before any byte of the request was sent.
    NotSent(String),
    /// The connection failed; the request may have arrived.
    Failed(String),
    /// The response did not begin in time; the request may have arrived.
    TimedOut,
}

/// Sends requests to upstreams over pooled connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl UpstreamClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_idle_timeout(IDLE_TIMEOUT).pool_timer(TokioTimer::new()).retry_canceled_requests(false);
        let pooled = builder.build(connector.clone());
        // The upstream may close a pooled connection just as a request is written to it. A request that must
        // not run twice gets a new connection, so that a failed connect is the only case in which it is not
        // sent.
        let unpooled = builder.pool_max_idle_per_host(0).build(connector);
        Self { pooled, unpooled }
    }

    /// Sends `request` and waits at most `wait_ms` for the response to begin. With `new_connection`, no
    /// pooled connection is used.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        wait_ms: u64,
    ) -> Result<Response<Incoming>, SendFault> {
        let client = if new_connection { &self.unpooled } else { &self.pooled };
        match timeout(Duration::from_millis(wait_ms), client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(SendFault::NotReached(describe(&error))),
            Ok(Err(error)) if not_sent(&error) => Err(SendFault::NotSent(describe(&error))),
            Ok(Err(error)) => Err(SendFault::Failed(describe(&error))),
            Err(_) => Err(SendFault::TimedOut),
        }
    }
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

/// True if the connection was closed before the request was taken from the connection's queue.
fn not_sent(error: &ClientError) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

fn describe(error: &ClientError) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
