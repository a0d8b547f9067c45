//! Handle to a running stand-in.

use std::fmt;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use tokio::sync::oneshot;

/// A stand-in that runs on its own thread. Dropping the handle closes all connections at once, as the loss of
/// its VM would.
pub struct RunningServer {
    /// The address it listens on, with the port that was assigned.
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    pub(crate) fn new(addr: SocketAddr, stop: oneshot::Sender<()>, thread: JoinHandle<()>) -> Self {
        Self { addr, stop: Some(stop), thread: Some(thread) }
    }

    /// Closes all connections and the port, and waits for the server's thread to end.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Fails when the thread has already ended.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the server's thread has already been printed; it must not hide the test's own
            // result.
            let _ = thread.join();
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.end();
    }
}

impl fmt::Debug for RunningServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RunningServer").field("addr", &self.addr).finish_non_exhaustive()
    }
}
