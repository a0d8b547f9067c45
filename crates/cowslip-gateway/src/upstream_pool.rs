//! Connections to upstreams.
//!
//! Each connection carries one request at a time. Nothing is sent twice here: a request that was not written comes
//! back to the caller as such, anything else may have run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cowslip_runtime::ProcessClock;
use cowslip_units::ClockTime;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time in ms for a connection to be made.
const CONNECT_MS: u64 = 400;

/// Time in ms for which an idle connection is reused, unless the upstream keeps it for a shorter time.
const IDLE_MS: u64 = 2_500;

/// Time in ms by which a connection is dropped before the upstream would close it.
const CLOSE_MARGIN_MS: u64 = 600;

/// Idle connections kept to one upstream.
const MAX_IDLE: usize = 16;

/// Why a send has no answer.
#[derive(Debug, Error)]
pub(crate) enum SendFault {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke; the request may have run.
    #[error("broken: {0}")]
    Broken(String),
}

/// Ends the task of a connection, and with it the connection, when dropped.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    until: ClockTime,
}

/// Idle connections by address.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamPool {
    clock: ProcessClock,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl UpstreamPool {
    /// An empty pool.
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| idle.until > now && idle.connection.sender.is_ready());
        connections.pop().map(|idle| idle.connection)
    }

    /// Sends a request over an idle connection or a new one.
    ///
    /// # Errors
    /// [`SendFault`] when no answer began.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, UpstreamConnection), SendFault> {
        let mut request = request;
        if let Some(mut connection) = self.take_idle(address) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(SendFault::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let message = error.into_error().to_string();
                Err(if unsent { SendFault::NotSent(message) } else { SendFault::Broken(message) })
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, SendFault> {
        let stream = match timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendFault::NotSent(error.to_string())),
            Err(_) => return Err(SendFault::NotSent("no connection in time".to_owned())),
        };
        stream.set_nodelay(true).map_err(|error| SendFault::NotSent(error.to_string()))?;
        let made = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|error| SendFault::NotSent(error.to_string()))?;
        let task = tokio::spawn(async move {
            // The sender learns of the failure from its own call.
            drop(connection.await);
        });
        Ok(UpstreamConnection { address, sender, task: ConnectionTask(task.abort_handle()) })
    }

    /// Keeps a connection whose answer was read to its end. `keep_alive_s` is the time for which the upstream keeps it.
    pub(crate) fn put_back(&self, connection: UpstreamConnection, keep_alive_s: Option<u64>) {
        let told_ms = keep_alive_s.map_or(u64::MAX, |seconds| seconds.saturating_mul(1_000));
        let keep_ms = IDLE_MS.min(told_ms.saturating_sub(CLOSE_MARGIN_MS));
        if keep_ms == 0 || connection.sender.is_closed() {
            return;
        }
        let until = self.clock.now().plus_ms(keep_ms);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(IdleConnection { connection, until });
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl UpstreamConnection {
    /// Closes the connection at once.
    pub(crate) fn close(self) {
        drop(self.task);
    }
}
