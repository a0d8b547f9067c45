//! Tracks the open connections of callers, limits their number and closes idle ones.
//!
//! It responds to the number of connections: at the limit, the one that has waited longest for a request, or for the end
//! of a request's head, can be closed for a new one ([`CallerConnections::evict_idle`]).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use tokio::time::{Duration, Instant};

/// Idle timeout of a keep-alive connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// During shutdown an idle connection is closed this long after its response, so that the last bytes still
/// reach the socket.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Connections above the limit that are still answered, beside a quarter of the limit.
const EXTRA_CONNECTIONS: usize = 16;

/// How long a connection may wait for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// For the first byte of the first request.
    pub first: Duration,
    /// From the first byte of a head to its end.
    pub header: Duration,
    /// Between two requests.
    pub idle: Duration,
}

/// Connections that were closed or refused at the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Closed while they waited for a request.
    pub evicted: u64,
    /// Answered with a refusal.
    pub refused: u64,
    /// Closed without an answer.
    pub dropped: u64,
}

/// State of a connection within the request cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// No byte of the next request has arrived since the given time.
    Idle { since: Instant },
    /// Request header bytes have been arriving since the given time.
    Header { since: Instant },
    /// A request is being handled or its response is being sent.
    Busy,
}

#[derive(Debug)]
struct OpenConnection {
    phase: ConnectionPhase,
    /// Accepted above the limit: its request is rejected.
    over_limit: bool,
    /// No request has been received yet.
    is_new: bool,
    /// Since when it is to be closed for a new connection.
    evicted_at: Option<Instant>,
    timeouts: ConnectionTimeouts,
    waker: Option<Waker>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    by_addr: BTreeMap<SocketAddr, OpenConnection>,
    closing: bool,
    counts: ConnectionCounts,
}

impl ConnectionPhase {
    /// Since when a request is waited for; `None` while one is handled.
    const fn waits_since(self) -> Option<Instant> {
        match self {
            Self::Idle { since } | Self::Header { since } => Some(since),
            Self::Busy => None,
        }
    }
}

impl OpenConnections {
    /// Number of connections that are not about to be closed.
    fn count(&self) -> usize {
        self.by_addr.values().filter(|connection| connection.evicted_at.is_none()).count()
    }
}

/// Table of open connections, with the connection limit and the read deadlines.
#[derive(Debug)]
pub struct CallerConnections {
    limit: usize,
    timeouts: ConnectionTimeouts,
    open: Mutex<OpenConnections>,
}

impl CallerConnections {
    /// Creates an empty table. At most `limit` connections are served, and a request header must arrive
    /// within `read_timeout_ms`.
    pub fn new(limit: usize, read_timeout_ms: u64) -> Self {
        let read = Duration::from_millis(read_timeout_ms);
        let timeouts = ConnectionTimeouts { first: read, header: read, idle: IDLE_TIMEOUT };
        Self { limit, timeouts, open: Mutex::default() }
    }

    fn open(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers an accepted connection. Returns false if it must be dropped: connections moderately above
    /// the limit still receive a rejection as a response, but their number is bounded as well.
    pub fn accept(&self, addr: SocketAddr) -> bool {
        self.accept_with(addr, self.timeouts)
    }

    /// Like [`Self::accept`], with timeouts of its own.
    pub fn accept_with(&self, addr: SocketAddr, timeouts: ConnectionTimeouts) -> bool {
        let mut open = self.open();
        if open.by_addr.len() >= self.limit + self.limit / 4 + EXTRA_CONNECTIONS {
            open.counts.dropped += 1;
            return false;
        }
        let count = open.count();
        let connection = OpenConnection {
            phase: ConnectionPhase::Idle { since: Instant::now() },
            over_limit: count >= self.limit,
            is_new: true,
            evicted_at: None,
            timeouts,
            waker: None,
        };
        open.by_addr.insert(addr, connection);
        true
    }

    /// Removes a closed connection.
    pub(crate) fn remove(&self, addr: &SocketAddr) {
        self.open().by_addr.remove(addr);
    }

    /// Marks the start of a request; returns false if its connection is above the limit.
    pub fn begin(&self, addr: &SocketAddr) -> bool {
        let mut open = self.open();
        let connection = open.by_addr.get_mut(addr);
        connection.is_none_or(|connection| {
            connection.phase = ConnectionPhase::Busy;
            connection.is_new = false;
            // Its request arrived before it was closed.
            connection.evicted_at = None;
            !connection.over_limit
        })
    }

    /// Counts a request that was refused because its connection is above the limit.
    pub fn record_refusal(&self) {
        self.open().counts.refused += 1;
    }

    /// True when the next connection would be above the limit.
    pub fn is_full(&self) -> bool {
        self.open().count() >= self.limit
    }

    /// Closes the connection that has waited longest for a request or for the rest of a head; returns false when there
    /// is none.
    pub fn evict_idle(&self) -> bool {
        let mut open = self.open();
        let waiting = open.by_addr.values_mut().filter(|connection| connection.evicted_at.is_none());
        let oldest = waiting.filter_map(|connection| Some((connection.phase.waits_since()?, connection)));
        let Some((_, connection)) = oldest.min_by_key(|(since, _)| *since) else { return false };
        connection.evicted_at = Some(Instant::now());
        if let Some(waker) = connection.waker.take() {
            waker.wake();
        }
        open.counts.evicted += 1;
        true
    }

    /// Returns what was counted since the last call.
    pub fn take_counts(&self) -> ConnectionCounts {
        std::mem::take(&mut self.open().counts)
    }

    /// Marks the end of a response, whether it was sent or abandoned.
    pub fn end(&self, addr: &SocketAddr) {
        let mut open = self.open();
        if let Some(connection) = open.by_addr.get_mut(addr) {
            connection.phase = ConnectionPhase::Idle { since: Instant::now() };
            if let Some(waker) = connection.waker.take() {
                waker.wake();
            }
        }
    }

    /// Records that request bytes arrived.
    pub(crate) fn received(&self, addr: &SocketAddr) {
        if let Some(connection) = self.open().by_addr.get_mut(addr)
            && matches!(connection.phase, ConnectionPhase::Idle { .. })
        {
            connection.phase = ConnectionPhase::Header { since: Instant::now() };
        }
    }

    /// Registers `waker` as waiting for bytes. Returns the phase and the deadline for the next bytes; the
    /// deadline is `None` while a request is handled, because that has time limits of its own.
    pub(crate) fn read_deadline(
        &self,
        addr: &SocketAddr,
        waker: &Waker,
    ) -> (ConnectionPhase, Option<Instant>) {
        let mut open = self.open();
        let closing = open.closing;
        let Some(connection) = open.by_addr.get_mut(addr) else {
            return (ConnectionPhase::Busy, None);
        };
        connection.waker = Some(waker.clone());
        let until = match connection.phase {
            ConnectionPhase::Busy => None,
            _ if connection.evicted_at.is_some() => connection.evicted_at,
            ConnectionPhase::Idle { since } if closing => Some(since + CLOSE_DELAY),
            ConnectionPhase::Idle { since } if connection.is_new => Some(since + connection.timeouts.first),
            ConnectionPhase::Idle { since } => Some(since + connection.timeouts.idle),
            ConnectionPhase::Header { since } => Some(since + connection.timeouts.header),
        };
        (connection.phase, until)
    }

    /// Closes idle connections from now on; used by graceful shutdown.
    pub fn close_idle(&self) {
        let mut open = self.open();
        open.closing = true;
        for waker in open.by_addr.values_mut().filter_map(|connection| connection.waker.take()) {
            waker.wake();
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open().by_addr.len()
    }

    /// True if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open().by_addr.is_empty()
    }
}
