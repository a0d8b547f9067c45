//! HTTP clients for the other processes' RPC interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use thiserror::Error;

/// Error while preparing calls to another process.
#[derive(Debug, Error)]
pub enum CallError {
    /// The HTTP client could not be created.
    #[error("cannot create an RPC client for {addr}: {reason}")]
    NoClient {
        /// Address of the other process.
        addr: SocketAddr,
        /// Cause reported by the client library.
        reason: String,
    },
}

/// Creates a client for the process at `addr` whose calls time out after `timeout_ms`; it connects on first
/// use.
pub fn connect(addr: SocketAddr, timeout_ms: u64) -> Result<HttpClient, CallError> {
    HttpClientBuilder::default()
        .request_timeout(Duration::from_millis(timeout_ms))
        .build(format!("http://{addr}"))
        .map_err(|error| CallError::NoClient { addr, reason: error.to_string() })
}
