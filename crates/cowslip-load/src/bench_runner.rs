//! Sends the requests of a benchmark in a closed or an open loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::{BenchKind, BenchOptions, BenchTally, EventReader};

/// Long-poll time in ms of one query for a report.
const REPORT_POLL_MS: u64 = 5_000;

type Outcome = (Result<u64, String>, Duration);

/// Runs a benchmark. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct BenchRunner {
    client: Client<HttpConnector, Full<Bytes>>,
    options: Arc<BenchOptions>,
}

impl BenchRunner {
    /// Creates a runner; connections are opened on demand.
    pub fn new(options: BenchOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, options: Arc::new(options) }
    }

    /// Sends all requests and waits for their outcomes.
    pub async fn run(&self) -> BenchTally {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        if self.options.rate > 0.0 {
            tokio::spawn(self.clone().open_loop(sender));
        } else {
            let next = Arc::new(AtomicU64::new(0));
            for _ in 0..self.options.connections {
                tokio::spawn(self.clone().closed_loop(Arc::clone(&next), sender.clone()));
            }
            drop(sender);
        }
        let mut tally = BenchTally::new();
        while let Some((result, took)) = receiver.recv().await {
            tally.add(result, took);
        }
        tally
    }

    async fn closed_loop(self, next: Arc<AtomicU64>, sender: mpsc::UnboundedSender<Outcome>) {
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= self.options.requests {
                return;
            }
            // Cannot fail: the receiver is kept until every sender is dropped.
            let _ = sender.send(self.timed_call(number).await);
        }
    }

    async fn open_loop(self, sender: mpsc::UnboundedSender<Outcome>) {
        let start = Instant::now();
        let mut at = Duration::ZERO;
        let interval = Duration::from_secs_f64(1.0 / self.options.rate);
        for number in 0..self.options.requests {
            sleep_until(start + at).await;
            at += interval;
            let (runner, sender) = (self.clone(), sender.clone());
            tokio::spawn(async move {
                let _ = sender.send(runner.timed_call(number).await);
            });
        }
    }

    /// Sends one request. Latency is counted from the actual send time, since the timer's granularity of 1 ms
    /// is not part of the target's latency.
    async fn timed_call(&self, number: u64) -> Outcome {
        let start = Instant::now();
        let result = self.call(number).await;
        (result, start.elapsed())
    }

    async fn call(&self, number: u64) -> Result<u64, String> {
        let options = &self.options;
        match options.kind {
            BenchKind::Lookup => {
                let path = format!("{}/{number}", options.path);
                let value = self.fetch_json(number, Method::GET, &path, None).await?;
                if value["path"] == path.as_str() {
                    Ok(0)
                } else {
                    Err("response for another path".to_owned())
                }
            }
            BenchKind::Order => {
                let body = json!({ "note": format!("order {number}") });
                self.fetch_json(number, Method::POST, &options.path, Some(body)).await.map(|_| 0)
            }
            BenchKind::Draft => {
                let body = self.completion(number, false);
                let value = self.fetch_json(number, Method::POST, "/v1/chat/completions", Some(body)).await?;
                let tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or_default();
                if tokens == options.tokens { Ok(tokens) } else { Err(format!("{tokens} tokens received")) }
            }
            BenchKind::Stream => self.stream(number).await,
            BenchKind::Report => self.report(number).await,
        }
    }

    async fn stream(&self, number: u64) -> Result<u64, String> {
        let body = self.completion(number, true);
        let response = self.send(number, Method::POST, "/v1/chat/completions", Some(body)).await?;
        let mut reader = EventReader::new();
        let mut frames = response.into_body();
        let mut tokens = 0;
        while let Some(frame) = frames.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            for event in reader.push(data) {
                if event == "[DONE]" && tokens == self.options.tokens {
                    return Ok(tokens);
                }
                if event == "[DONE]" || event.contains("\"error\"") {
                    return Err(format!("unexpected end of stream: {event}"));
                }
                tokens += 1;
            }
        }
        Err("stream ended without end marker".to_owned())
    }

    async fn report(&self, number: u64) -> Result<u64, String> {
        let body = self.completion(number, false);
        let accepted = self.fetch_json(number, Method::POST, "/v1/reports", Some(body)).await?;
        let id = accepted["id"].as_str().ok_or("no report id")?;
        let path = format!("/v1/reports/{id}?wait_ms={REPORT_POLL_MS}");
        loop {
            let value = self.fetch_json(number, Method::GET, &path, None).await?;
            match value["state"].as_str() {
                Some("done") => return Ok(self.options.tokens),
                Some("accepted") => {}
                _ => return Err(format!("report ended as {}", value["state"])),
            }
        }
    }

    fn completion(&self, number: u64, stream: bool) -> Value {
        let prompt = format!("bench {} prompt {number}", self.options.seed);
        json!({
            "model": self.options.model, "max_tokens": self.options.tokens, "stream": stream,
            "messages": [{ "role": "user", "content": prompt }],
        })
    }

    async fn fetch_json(
        &self,
        number: u64,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, String> {
        let response = self.send(number, method, path, body).await?;
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    async fn send(
        &self,
        number: u64,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Response<Incoming>, String> {
        let options = &self.options;
        let at = usize::try_from(number).unwrap_or_default() % options.targets.len().max(1);
        let target = options.targets.get(at).ok_or("no target")?;
        let id = format!("bench-{}-{}-{number}", options.seed, std::process::id());
        let mut request = Request::builder().method(method).uri(format!("http://{target}{path}"));
        request = match &options.key {
            Some(key) => request
                .header(AUTHORIZATION, format!("Bearer {key}"))
                .header("x-deadline-ms", options.deadline_ms.to_string()),
            None => request.header("x-request-id", &id),
        };
        if options.kind == BenchKind::Order {
            request = request.header("idempotency-key", &id);
        }
        let body = match body {
            Some(value) => {
                request = request.header(CONTENT_TYPE, "application/json");
                Bytes::from(value.to_string())
            }
            None => Bytes::new(),
        };
        let request = request.body(Full::from(body)).map_err(|error| error.to_string())?;
        let response = self.client.request(request).await.map_err(|error| error.to_string())?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        Err(format!("status {} {}", status.as_u16(), value["error"]["kind"].as_str().unwrap_or_default()))
    }
}
