//! Tracks the open connections of callers, limits their number and closes idle ones.

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
    waker: Option<Waker>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    by_addr: BTreeMap<SocketAddr, OpenConnection>,
    closing: bool,
}

/// Table of open connections, with the connection limit and the read deadlines.
#[derive(Debug)]
pub struct CallerConnections {
    limit: usize,
    read_timeout: Duration,
    open: Mutex<OpenConnections>,
}

impl CallerConnections {
    /// Creates an empty table. At most `limit` connections are served, and a request header must arrive
    /// within `read_timeout_ms`.
    pub fn new(limit: usize, read_timeout_ms: u64) -> Self {
        Self { limit, read_timeout: Duration::from_millis(read_timeout_ms), open: Mutex::default() }
    }

    fn open(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers an accepted connection. Returns false if it must be dropped: connections moderately above
    /// the limit still receive a rejection as a response, but their number is bounded as well.
    pub(crate) fn accept(&self, addr: SocketAddr) -> bool {
        let mut open = self.open();
        let count = open.by_addr.len();
        if count >= self.limit + self.limit / 4 + 16 {
            return false;
        }
        let connection = OpenConnection {
            phase: ConnectionPhase::Idle { since: Instant::now() },
            over_limit: count >= self.limit,
            is_new: true,
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
            !connection.over_limit
        })
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
            ConnectionPhase::Idle { since } if closing => Some(since + CLOSE_DELAY),
            ConnectionPhase::Idle { since } if connection.is_new => Some(since + self.read_timeout),
            ConnectionPhase::Idle { since } => Some(since + IDLE_TIMEOUT),
            ConnectionPhase::Header { since } => Some(since + self.read_timeout),
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
