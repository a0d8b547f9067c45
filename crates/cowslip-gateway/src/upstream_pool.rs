//! Connection pool for upstreams.
//!
//! Each connection carries one request at a time. The pool never sends a request twice: a request that was
//! not written is reported as such, and any other may have run. Permission to send is checked when the
//! connection is ready, because opening one takes time and the process may have been suspended meanwhile.
//!
//! An upstream may send a duplicate of an earlier response. It is told apart by its attempt id, except when
//! the same attempt is sent again; so a connection on which an attempt was refused never carries that attempt
//! again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cowslip_adapter::header_names::ATTEMPT_ID;
use cowslip_runtime::ProcessClock;
use cowslip_units::ClockTime;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::guarded_stream::{GuardedStream, WriteGuard};

/// Timeout in ms for opening a connection.
const CONNECT_MS: u64 = 400;

/// Time in ms within which the first bytes of an allowed request must be written: more than a busy process
/// needs, and less than a suspension takes.
const WRITE_START_MS: u64 = 250;

/// Time in ms for which an idle connection is reused, unless the upstream's keep-alive timeout is shorter.
const MAX_IDLE_MS: u64 = 2_500;

/// Idle connections are dropped this many ms before the upstream would close them.
const CLOSE_MARGIN_MS: u64 = 600;

/// Maximum number of idle connections kept per upstream.
const MAX_IDLE: usize = 16;

/// Number of refused attempts after which a connection is closed, to bound the list of their ids.
const MAX_REFUSED: usize = 16;

/// Maximum number of interim responses to one request before its connection is closed.
const MAX_INTERIM: u32 = 16;

/// Read buffer of a connection in bytes; also the longest response head.
const READ_BYTES: usize = 16 * 1024;

/// Longest body in bytes of a refusal that is read to reuse its connection.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Time in ms for reading the body of a refusal, which carries no information beyond its head.
const REFUSAL_BODY_MS: u64 = 100;

/// Why a send got no response.
#[derive(Debug, Error)]
pub enum SendFault {
    /// Nothing of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing was written, because the request was no longer allowed.
    #[error("withheld")]
    Withheld,
    /// The connection broke; the request may have run.
    #[error("broken: {0}")]
    Broken(String),
}

/// Task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use.
#[derive(Debug)]
pub struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    guard: Arc<WriteGuard>,
    /// Ids of the attempts refused on it.
    refused: Vec<HeaderValue>,
    /// True when it has carried another request before.
    pub(crate) is_reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    until: ClockTime,
}

/// Idle connections by address.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    clock: ProcessClock,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl UpstreamPool {
    /// An empty pool.
    pub fn new(clock: ProcessClock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    /// Takes an idle connection on which the attempt was not refused.
    fn take_idle(&self, address: SocketAddr, attempt: Option<&HeaderValue>) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| idle.until > now && idle.connection.sender.is_ready());
        let refused =
            |idle: &IdleConnection| attempt.is_some_and(|attempt| idle.connection.refused.contains(attempt));
        let at = connections.iter().rposition(|idle| !refused(idle))?;
        Some(connections.swap_remove(at).connection)
    }

    /// Sends a request on an idle or new connection, if `may_send` still allows it once the connection is
    /// ready.
    ///
    /// # Errors
    /// [`SendFault`] when no response head arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, UpstreamConnection), SendFault> {
        let valid_until = || may_send().then_some(ClockTime::NEVER);
        self.send_kind(address, request, false, valid_until).await
    }

    /// Sends an order like [`send`](Self::send), if `valid_until` allows it and its first bytes can be written before
    /// that time. The connection is reset when it is abandoned before it is returned.
    ///
    /// # Errors
    /// [`SendFault`] when no response head arrived.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        valid_until: impl Fn() -> Option<ClockTime>,
    ) -> Result<(Response<Incoming>, UpstreamConnection), SendFault> {
        self.send_kind(address, request, true, valid_until).await
    }

    async fn send_kind(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        is_order: bool,
        valid_until: impl Fn() -> Option<ClockTime>,
    ) -> Result<(Response<Incoming>, UpstreamConnection), SendFault> {
        let mut request = request;
        let attempt = request.headers().get(ATTEMPT_ID).cloned();
        if let Some(mut connection) = self.take_idle(address, attempt.as_ref()) {
            if !self.can_send(&connection, is_order, &valid_until) {
                return Err(SendFault::Withheld);
            }
            connection.limit_interim(&mut request);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The upstream closed the idle connection before the request was written.
                    Some(unsent) => request = unsent,
                    None if connection.guard.has_refused() => return Err(SendFault::Withheld),
                    None => return Err(SendFault::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        if !self.can_send(&connection, is_order, &valid_until) {
            return Err(SendFault::Withheld);
        }
        connection.limit_interim(&mut request);
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(_) if connection.guard.has_refused() => Err(SendFault::Withheld),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let message = error.into_error().to_string();
                Err(if unsent { SendFault::NotSent(message) } else { SendFault::Broken(message) })
            }
        }
    }

    /// True when a request may be sent; also starts the deadline for its first bytes.
    fn can_send(
        &self,
        connection: &UpstreamConnection,
        is_order: bool,
        valid_until: &impl Fn() -> Option<ClockTime>,
    ) -> bool {
        let start_by = self.clock.now().plus_ms(WRITE_START_MS);
        let Some(valid_until) = valid_until() else { return false };
        connection.guard.allow_until(start_by.min(valid_until));
        connection.guard.set_resets(is_order);
        true
    }

    async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, SendFault> {
        let stream = match timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendFault::NotSent(error.to_string())),
            Err(_) => return Err(SendFault::NotSent("connection timed out".to_owned())),
        };
        stream.set_nodelay(true).map_err(|error| SendFault::NotSent(error.to_string()))?;
        let guard = WriteGuard::new(self.clock);
        let stream = GuardedStream::new(stream, Arc::clone(&guard));
        let handshake = http1::Builder::new().max_buf_size(READ_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| SendFault::NotSent(error.to_string()))?;
        let task = tokio::spawn(async move {
            // A failure is reported to the sender by its own call.
            drop(connection.await);
        });
        let task = ConnectionTask(task.abort_handle());
        Ok(UpstreamConnection { address, sender, task, guard, refused: Vec::new(), is_reused: false })
    }

    /// Returns a connection whose response was read completely. `keep_alive_s` is the upstream's keep-alive
    /// timeout.
    pub fn return_connection(&self, connection: UpstreamConnection, keep_alive_s: Option<u64>) {
        let keep_alive_ms = keep_alive_s.map_or(u64::MAX, |seconds| seconds.saturating_mul(1_000));
        let keep_ms = MAX_IDLE_MS.min(keep_alive_ms.saturating_sub(CLOSE_MARGIN_MS));
        if keep_ms == 0 || connection.sender.is_closed() {
            return;
        }
        let until = self.clock.now().plus_ms(keep_ms);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE {
            let connection = UpstreamConnection { is_reused: true, ..connection };
            connections.push(IdleConnection { connection, until });
        }
    }

    /// Returns a connection on which an upstream refused an attempt, if the rest of the response is short.
    pub async fn return_refused(
        &self,
        mut connection: UpstreamConnection,
        body: Incoming,
        attempt: Option<&HeaderValue>,
        keep_alive_s: Option<u64>,
    ) {
        connection.refused.extend(attempt.cloned());
        if connection.refused.len() >= MAX_REFUSED {
            return;
        }
        let read = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        if timeout(Duration::from_millis(REFUSAL_BODY_MS), read).await.is_ok_and(|read| read.is_ok()) {
            self.return_connection(connection, keep_alive_s);
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
    /// Closes the connection when interim responses to a request do not end: the library would read them for
    /// ever and block its thread.
    fn limit_interim(&self, request: &mut Request<Full<Bytes>>) {
        let task = self.task.0.clone();
        let count = AtomicU32::new(0);
        hyper::ext::on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM {
                task.abort();
            }
        });
    }

    /// Closes the connection at once; it cannot be used any more.
    pub(crate) fn abort(&self) {
        self.task.0.abort();
    }

    /// Closes the connection at once.
    pub(crate) fn close(self) {
        drop(self.task);
    }
}
