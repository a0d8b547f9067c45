//! A caller's TCP connection as seen by the HTTP server, with read and write timeouts.
//!
//! The server library neither limits the time for a request header nor closes idle connections on demand, so
//! this wrapper does both.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Duration, Sleep, sleep, sleep_until};

use crate::caller_connections::{CallerConnections, ConnectionPhase, ConnectionTimeouts};

/// Time for which a caller may accept no bytes of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// What an entry does with the heads of requests before its HTTP server reads them.
pub trait HeadFilter: Unpin {
    /// Changes bytes of a head in place.
    fn filter(&mut self, received: &mut [u8]);

    /// Complete response to a head that missed its deadline.
    fn timeout_response(&self) -> Vec<u8>;
}

/// A TCP stream that is counted in [`CallerConnections`] while it is open.
#[derive(Debug)]
pub struct CallerStream<F> {
    stream: TcpStream,
    addr: SocketAddr,
    connections: Arc<CallerConnections>,
    timer: Option<Pin<Box<Sleep>>>,
    /// Armed while the caller accepts no bytes of its response.
    write_timer: Option<Pin<Box<Sleep>>>,
    filter: F,
    closed: bool,
}

impl<F> CallerStream<F>
where
    F: HeadFilter,
{
    /// Wraps an accepted connection; `None` if the connection limit is far exceeded or the peer has already
    /// disconnected.
    pub fn new(stream: TcpStream, connections: &Arc<CallerConnections>, filter: F) -> Option<Self> {
        let addr = stream.peer_addr().ok()?;
        connections.accept(addr).then(|| Self::wrap(stream, addr, connections, filter))
    }

    /// Like [`Self::new`], with timeouts of its own.
    pub fn with_timeouts(
        stream: TcpStream,
        connections: &Arc<CallerConnections>,
        filter: F,
        timeouts: ConnectionTimeouts,
    ) -> Option<Self> {
        let addr = stream.peer_addr().ok()?;
        let is_accepted = connections.accept_with(addr, timeouts);
        is_accepted.then(|| Self::wrap(stream, addr, connections, filter))
    }

    /// Address of the caller, which identifies the connection.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn wrap(stream: TcpStream, addr: SocketAddr, connections: &Arc<CallerConnections>, filter: F) -> Self {
        // Small stream events must not be delayed until earlier packets are acknowledged.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            addr,
            connections: Arc::clone(connections),
            timer: None,
            write_timer: None,
            filter,
            closed: false,
        }
    }

    /// Completes when the read deadline has passed and the connection has to be closed.
    fn poll_read_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let (phase, until) = self.connections.read_deadline(&self.addr, context.waker());
        // While a response is being written the connection is in use, and the write timeout applies.
        let Some(until) = until.filter(|_| self.write_timer.is_none()) else {
            self.timer = None;
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        ready!(timer.as_mut().poll(context));
        if matches!(phase, ConnectionPhase::Header { .. }) {
            self.reject_slow_header();
        }
        self.closed = true;
        Poll::Ready(())
    }

    /// Answers a header that missed its deadline with status 408. Nothing else is being sent at that point
    /// and the response fits into any socket buffer; if the write fails, the connection is closed all the
    /// same.
    fn reject_slow_header(&self) {
        let _ = self.stream.try_write(&self.filter.timeout_response());
    }
}

impl<F> AsyncRead for CallerStream<F>
where
    F: HeadFilter,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closed {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                let in_header = !matches!(
                    self.connections.read_deadline(&self.addr, context.waker()).0,
                    ConnectionPhase::Busy
                );
                if let Some(received) = buffer.filled_mut().get_mut(before..)
                    && !received.is_empty()
                {
                    self.connections.received(&self.addr);
                    if in_header {
                        self.filter.filter(received);
                    }
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.poll_read_deadline(context).map(Ok),
        }
    }
}

impl<F> CallerStream<F> {
    /// Fails a write that makes no progress within [`WRITE_TIMEOUT`].
    fn check_write_timeout(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the caller stopped reading its response")))
    }
}

impl<F> AsyncWrite for CallerStream<F>
where
    F: HeadFilter,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write_timeout(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write_timeout(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl<F> Drop for CallerStream<F> {
    fn drop(&mut self) {
        self.connections.remove(&self.addr);
    }
}
