//! Tells whether a process has ended, by whether anything listens at its address.
//!
//! A host that is gone or cut off does not answer at all; it proves nothing about the process.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout in ms of a probe.
const PROBE_MS: u64 = 100;

/// True when the host answers, and nothing listens at the address.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(Duration::from_millis(PROBE_MS), TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
