//! A server of the logbook: runs orders and look-ups, and may answer part of them with its own 503 after it ran them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cowslip_adapter_standins::StoreStandin;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::http::{Head, read_head, read_sized};
use crate::world::{HEARTBEAT_MS, Record, entry, lock, unix_ms};

/// Time in ms that a request takes.
const WORK_MS: u64 = 60;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Attempt id.
    pub id: String,
    /// Body.
    pub body: String,
    /// Time in ms at which the run began.
    pub at_ms: u64,
}

/// A running server.
pub struct AppServer {
    /// Its id in the store.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    record: Record,
    runs: Mutex<Vec<Run>>,
    arrivals: AtomicU64,
    /// Of 100 requests, so many are run and then answered 503.
    fails_percent: AtomicU64,
}

impl AppServer {
    /// Starts a server and registers it.
    pub async fn start(
        id: &str,
        zone: &'static str,
        store: &Arc<StoreStandin>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            record: record.clone(),
            runs: Mutex::default(),
            arrivals: AtomicU64::new(0),
            fails_percent: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Arc::clone(&accepting);
                tokio::spawn(async move { drop(server.serve(stream).await) });
            }
        });
        let (server_row, store) = (Arc::clone(&server), Arc::clone(store));
        let born = unix_ms();
        store.put("servers", id, &entry("logbook-app", server.address, zone, 0, born, &[]));
        tokio::spawn(async move {
            for seq in 1.. {
                sleep(Duration::from_millis(HEARTBEAT_MS)).await;
                let row = entry("logbook-app", server_row.address, zone, seq, born, &[]);
                store.put("servers", &server_row.id, &row);
            }
        });
        Ok(server)
    }

    /// Sets the share of requests that are run and answered 503.
    pub fn fail_percent(&self, percent: u64) {
        self.fails_percent.store(percent, Ordering::Relaxed);
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await? {
            let body = read_sized(&mut stream, &mut buffer, &head).await?;
            let answer = self.answer(&head, &body).await;
            stream.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    async fn answer(&self, head: &Head, body: &[u8]) -> String {
        let id = head.get("cowslippier-attempt-id").unwrap_or_default().to_owned();
        if head.path() == "/healthz" {
            return format!(
                "HTTP/1.1 200 OK\r\nCowslippier-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        if head.get("cowslippier-expect-instance").is_some_and(|expected| expected != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nCowslippier-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        let body = String::from_utf8_lossy(body).into_owned();
        lock(&self.runs).push(Run { id: id.clone(), body: body.clone(), at_ms: self.record.now_ms() });
        self.record.line(&format!("server {}: runs {id} ({body})", self.id));
        sleep(Duration::from_millis(WORK_MS)).await;
        let number = self.arrivals.fetch_add(1, Ordering::Relaxed);
        let fails = number * 37 % 100 < self.fails_percent.load(Ordering::Relaxed);
        let status = if fails { "503 Service Unavailable" } else { "200 OK" };
        let text = if fails { "the run was recorded, but its confirmation failed" } else { "done" };
        self.record.line(&format!("server {}: answers {id} {status}", self.id));
        format!(
            "HTTP/1.1 {status}\r\nCowslippier-Attempt-Id: {id}\r\nCowslippier-Server-Seal: seal.{}.{id}\r\n\
             Content-Length: {}\r\n\r\n{text}",
            self.id,
            text.len()
        )
    }
}
