//! A model server: streams events, carries out orders, and ends when it begins to write an answer on a poison part.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslip_adapter_standins::StoreStandin;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::http::{Head, read_head, read_sized};
use crate::world::{HEARTBEAT_MS, Record, entry, lock, unix_ms};

/// Time in ms until an answer begins.
const BEGIN_MS: u64 = 70;

/// Events of a stream, and the pause in ms between them.
const EVENTS: u64 = 12;
const EVENT_MS: u64 = 30;

/// Time in ms for which a server is away after its end.
const DOWN_MS: u64 = 3_000;

/// Time in ms of a load from the server's disk.
const LOAD_MS: u64 = 1_000;

/// Heartbeats after which the store drops a silent server.
const SILENT_BEATS: u32 = 3;

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Attempt id.
    pub id: String,
    /// True when its prompt has the poison part.
    pub poison: bool,
    /// Time in ms.
    pub at_ms: u64,
}

struct Incarnation {
    id: String,
    born: u64,
    models: Vec<String>,
    busy: bool,
    orders: u64,
    alive: bool,
}

/// What all servers of a deployment share.
pub struct EngineLog {
    /// Requests that reached servers.
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Times in ms at which servers ended.
    pub ends: Mutex<Vec<u64>>,
    /// Id of the poison part.
    pub poison: String,
    /// True when the part ends servers.
    pub trouble: bool,
}

/// A server over all its incarnations.
pub struct Engine {
    name: String,
    zone: &'static str,
    address: SocketAddr,
    store: Arc<StoreStandin>,
    record: Record,
    log: Arc<EngineLog>,
    now: Mutex<Incarnation>,
    end: Notify,
    ending: AtomicBool,
}

impl Engine {
    /// Starts a server that holds `models`.
    pub async fn start(
        name: &str,
        zone: &'static str,
        models: &[&str],
        store: &Arc<StoreStandin>,
        record: &Record,
        log: &Arc<EngineLog>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let first = Incarnation {
            id: format!("i-{name}-1"),
            born: unix_ms(),
            models: models.iter().map(|name| (*name).to_owned()).collect(),
            busy: false,
            orders: 0,
            alive: true,
        };
        let engine = Arc::new(Self {
            name: name.to_owned(),
            zone,
            address: listener.local_addr()?,
            store: Arc::clone(store),
            record: record.clone(),
            log: Arc::clone(log),
            now: Mutex::new(first),
            end: Notify::new(),
            ending: AtomicBool::new(false),
        });
        engine.publish(0);
        tokio::spawn(Arc::clone(&engine).heartbeats());
        tokio::spawn(Arc::clone(&engine).live(listener));
        Ok(engine)
    }

    fn publish(&self, seq: u64) {
        let (id, row) = {
            let now = lock(&self.now);
            if !now.alive {
                return;
            }
            (now.id.clone(), entry("draft-models", self.address, self.zone, seq, now.born, &now.models))
        };
        self.store.put("servers", &id, &row);
    }

    async fn heartbeats(self: Arc<Self>) {
        for seq in 1.. {
            sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            self.publish(seq);
        }
    }

    /// Serves one incarnation after the other.
    async fn live(self: Arc<Self>, first: TcpListener) {
        let mut listener = first;
        for number in 2.. {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    () = self.end.notified() => break,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let engine = Arc::clone(&self);
                        connections.spawn(async move { drop(engine.serve(stream).await) });
                    }
                }
            }
            // As with a process that ends: nothing listens any more and all its connections are closed.
            drop(listener);
            connections.shutdown().await;
            let old = lock(&self.now).id.clone();
            let (store, dropped) = (Arc::clone(&self.store), old.clone());
            tokio::spawn(async move {
                sleep(Duration::from_millis(HEARTBEAT_MS) * SILENT_BEATS).await;
                store.remove("servers", &dropped);
            });
            sleep(Duration::from_millis(DOWN_MS)).await;
            listener = loop {
                match listen_again(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(Duration::from_millis(50)).await,
                }
            };
            *lock(&self.now) = Incarnation {
                id: format!("i-{}-{number}", self.name),
                born: unix_ms(),
                models: Vec::new(),
                busy: false,
                orders: 0,
                alive: true,
            };
            self.ending.store(false, Ordering::Relaxed);
            self.record.line(&format!("server {}: back as i-{}-{number}, empty", self.name, self.name));
            self.publish(0);
        }
    }

    fn crash(&self, id: &str) {
        if self.ending.swap(true, Ordering::Relaxed) {
            return;
        }
        lock(&self.now).alive = false;
        let at_ms = self.record.now_ms();
        let mut ends = lock(&self.log.ends);
        ends.push(at_ms);
        self.record.line(&format!("server {}: ends on {id}, end {} of servers", self.name, ends.len()));
        drop(ends);
        self.end.notify_one();
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await? {
            let body = read_sized(&mut stream, &mut buffer, &head).await?;
            match head.path() {
                "/-/report" => stream.write_all(self.report().as_bytes()).await?,
                "/-/order" => {
                    let answer = self.order(&body);
                    stream.write_all(answer.as_bytes()).await?;
                }
                "/healthz" => stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?,
                _ => self.stream_events(&mut stream, &head).await?,
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let now = lock(&self.now);
        let models: Vec<Value> =
            now.models.iter().map(|name| json!({"name": name, "version": 1, "adapters": []})).collect();
        let body = json!({"stage": "both", "models": models, "busy": now.busy, "seq": now.orders, "queued": 0,
            "active": 0, "kv_used": 0, "kv_total": 111_756, "handles": 0, "born": now.born, "pending": []});
        json_answer("200 OK", &body)
    }

    fn order(self: &Arc<Self>, body: &[u8]) -> String {
        let Ok(order) = serde_json::from_slice::<Value>(body) else {
            return json_answer("400 Bad Request", &json!({}));
        };
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let mut now = lock(&self.now);
        let holds = now.models.contains(&model);
        let is_load = order["operation"] == "load";
        if now.busy || order["precondition"].as_u64().is_some_and(|expected| expected != now.orders) {
            return json_answer("409 Conflict", &json!({}));
        }
        if holds == is_load {
            return json_answer("200 OK", &json!({}));
        }
        now.orders += 1;
        self.record.line(&format!("server {}: order {} {model}", self.name, order["operation"]));
        if is_load {
            now.busy = true;
            let (engine, born) = (Arc::clone(self), now.born);
            tokio::spawn(async move {
                sleep(Duration::from_millis(LOAD_MS)).await;
                {
                    let mut now = lock(&engine.now);
                    if now.born != born {
                        return;
                    }
                    now.models.push(model);
                    now.busy = false;
                }
                engine.publish(u64::MAX >> 12);
            });
        } else {
            now.models.retain(|known| *known != model);
        }
        json_answer("202 Accepted", &json!({}))
    }

    async fn stream_events(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.get("cowslippier-attempt-id").unwrap_or_default().to_owned();
        let own = lock(&self.now).id.clone();
        let model = head.get("cowslippier-model").unwrap_or_default().to_owned();
        let is_other = head.get("cowslippier-expect-instance").is_some_and(|expected| expected != own);
        if is_other || !lock(&self.now).models.contains(&model) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nCowslippier-Attempt-Id: {id}\r\nCowslippier-Instance-Id: {own}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(answer.as_bytes()).await;
        }
        let parts = head.get("cowslippier-prompt-prefix").unwrap_or_default();
        let poison = parts.split(',').any(|part| part.split(':').next() == Some(self.log.poison.as_str()));
        let at_ms = self.record.now_ms();
        lock(&self.log.arrivals).push(Arrival { id: id.clone(), poison, at_ms });
        let kind = if poison { "poison" } else { "sound" };
        self.record.line(&format!("server {}: {id} arrives ({kind})", self.name));
        sleep(Duration::from_millis(BEGIN_MS)).await;
        let last: u64 = head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nCowslippier-Attempt-Id: {id}\r\nCowslippier-Server-Seal: seal.{own}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunk(&event(last + 1))
        );
        stream.write_all(answer.as_bytes()).await?;
        if poison && self.log.trouble {
            // It has begun to write the answer: its first event is out.
            self.crash(&id);
            std::future::pending::<()>().await;
        }
        for number in last + 2..=EVENTS {
            sleep(Duration::from_millis(EVENT_MS)).await;
            stream.write_all(chunk(&event(number)).as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await
    }
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token-{number}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn json_answer(status: &str, body: &Value) -> String {
    let body = body.to_string();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(256)
}
