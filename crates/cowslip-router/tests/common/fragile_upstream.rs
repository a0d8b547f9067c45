//! An upstream that ends whenever it begins a call, and listens again after some time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Time after which it listens again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Answer to a poll, which does not end it.
const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

pub(crate) struct FragileUpstream {
    ends: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl FragileUpstream {
    /// Listens at an address that has just become free. Calls are requests whose path begins with `path`.
    pub(crate) fn start(addr: SocketAddr, path: &'static str) -> Self {
        let ends = Arc::new(AtomicU32::new(0));
        let task = tokio::spawn(run(addr, path, Arc::clone(&ends)));
        Self { ends, task }
    }

    /// Number of times that it has ended.
    pub(crate) fn ends(&self) -> u32 {
        self.ends.load(Ordering::Relaxed)
    }
}

impl Drop for FragileUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(addr: SocketAddr, path: &'static str, ends: Arc<AtomicU32>) {
    loop {
        let listener = bind(addr).await;
        let (end, mut ended) = mpsc::channel(1);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                Ok((stream, _)) = listener.accept() => {
                    connections.spawn(serve(stream, path, end.clone()));
                }
                _ = ended.recv() => break,
            }
        }
        ends.fetch_add(1, Ordering::Relaxed);
        drop(listener);
        drop(connections);
        sleep(RESTART_DELAY).await;
    }
}

async fn bind(addr: SocketAddr) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        if socket.bind(addr).is_ok() {
            return socket.listen(64).unwrap();
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Reads the head of a request. A call ends the upstream; the connection stays open until then.
async fn serve(mut stream: TcpStream, path: &str, end: mpsc::Sender<()>) {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        match stream.read_buf(&mut head).await {
            Ok(length) if length > 0 => {}
            _ => return,
        }
    }
    let line = String::from_utf8_lossy(&head).into_owned();
    if line.split(' ').nth(1).is_some_and(|target| target.starts_with(path)) {
        end.send(()).await.unwrap();
        std::future::pending::<()>().await;
    }
    // The poll may have been given up.
    drop(stream.write_all(NOT_FOUND).await);
}
