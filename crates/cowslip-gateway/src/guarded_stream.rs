//! A connection to an upstream that starts a request only while it is still allowed.
//!
//! Permission to send is checked when a request is handed to its connection, which writes it slightly later.
//! A process that is suspended in between would write it on an expired permission, so the first bytes have a
//! deadline of their own.
//!
//! A connection that is abandoned with an order in flight is reset. Otherwise bytes that a cut link holds back in the
//! kernel arrive after the link heals, later than orders of the next leader.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use cowslip_runtime::ProcessClock;
use cowslip_units::ClockTime;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Value of `until_ms` when writing is not limited: no request is pending, or its first bytes were written.
const NO_LIMIT: u64 = u64::MAX;

/// Deadline for the first bytes of the next request on a connection.
#[derive(Debug)]
pub(crate) struct WriteGuard {
    clock: ProcessClock,
    until_ms: AtomicU64,
    refused: AtomicBool,
    resets: AtomicBool,
}

impl WriteGuard {
    /// A guard without a deadline.
    pub(crate) fn new(clock: ProcessClock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            until_ms: AtomicU64::new(NO_LIMIT),
            refused: AtomicBool::new(false),
            resets: AtomicBool::new(false),
        })
    }

    /// Sets the deadline for the start of the next request.
    pub(crate) fn allow_until(&self, until: ClockTime) {
        self.until_ms.store(until.millis(), Ordering::Relaxed);
    }

    /// Sets whether a close of the connection drops what the kernel has not sent, from the next request on.
    pub(crate) fn set_resets(&self, resets: bool) {
        self.resets.store(resets, Ordering::Relaxed);
    }

    /// True when a request missed its deadline; none of its bytes were written.
    pub(crate) fn has_refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    fn check(&self) -> io::Result<()> {
        let until_ms = self.until_ms.load(Ordering::Relaxed);
        if until_ms != NO_LIMIT && self.clock.now().millis() > until_ms {
            self.refused.store(true, Ordering::Relaxed);
            return Err(io::Error::other("write permission expired before the first byte"));
        }
        Ok(())
    }

    fn mark_started(&self) {
        self.until_ms.store(NO_LIMIT, Ordering::Relaxed);
    }
}

/// A TCP stream whose writes are subject to a [`WriteGuard`].
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    guard: Arc<WriteGuard>,
    /// True while the socket is set to drop unsent bytes at its close.
    resets: bool,
}

impl GuardedStream {
    /// Wraps a connected stream.
    pub(crate) const fn new(stream: TcpStream, guard: Arc<WriteGuard>) -> Self {
        Self { stream, guard, resets: false }
    }

    /// Prepares the socket for a write, unless the write is no longer allowed. The kernel keeps the setting, so it also
    /// holds when the process is killed.
    fn prepare_write(&mut self) -> io::Result<()> {
        self.guard.check()?;
        let resets = self.guard.resets.load(Ordering::Relaxed);
        if resets != self.resets {
            SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))?;
            self.resets = resets;
        }
        Ok(())
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.guard.mark_started();
        }
        result
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
