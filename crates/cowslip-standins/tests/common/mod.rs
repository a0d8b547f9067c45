//! Helpers for the stand-ins' tests. Every wait has a timeout.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cowslip_standins::{EngineServer, StandinClient};
use cowslip_units::{MemorySize, ModelId};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// Timeout of one call.
const LIMIT: Duration = Duration::from_secs(10);

/// An engine with model `m` loaded, without warm-up, and 5 ms between tokens.
pub(crate) fn engine() -> EngineServer {
    EngineServer::new("engine")
        .with_loaded(ModelId::new("m").unwrap(), MemorySize::new(10))
        .with_ramp(16, 0)
        .with_token_interval_ms(5)
        .with_report_lag_ms(0)
}

/// A stream as received by the client.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ReadStream {
    pub(crate) status: u16,
    /// Events in order; `None` for one that is not JSON.
    pub(crate) events: Vec<Option<Value>>,
    /// True when the end marker was received.
    pub(crate) done: bool,
    /// True when the body ended cleanly.
    pub(crate) ended_cleanly: bool,
}

impl ReadStream {
    pub(crate) fn offsets(&self) -> Vec<u64> {
        self.events.iter().flatten().map(|event| event["offset"].as_u64().unwrap()).collect()
    }
}

#[derive(Clone)]
pub(crate) struct TestCaller {
    pub(crate) addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestCaller {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self { addr, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response<Incoming>, String> {
        let mut request = Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let sent = tokio::time::timeout(LIMIT, self.client.request(request)).await;
        sent.expect("a response within 10 s").map_err(|error| error.to_string())
    }

    /// Sends a completion request and returns the response, its body unread.
    pub(crate) async fn start(
        &self,
        id: &str,
        priority: &str,
        request: &Value,
    ) -> Result<Response<Incoming>, String> {
        let headers = [("x-request-id", id), ("x-priority", priority)];
        self.send("POST", "/v1/completions", &headers, request.to_string()).await
    }

    /// Sends a completion request and returns status and JSON; `None` when the body is incomplete or not
    /// JSON.
    pub(crate) async fn complete(&self, id: &str, request: &Value) -> Result<(u16, Option<Value>), String> {
        let response = self.start(id, "urgent", request).await?;
        let status = response.status().as_u16();
        let body =
            tokio::time::timeout(LIMIT, response.into_body().collect()).await.expect("a body within 10 s");
        Ok((status, body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok())))
    }

    pub(crate) async fn stream(&self, id: &str, max_tokens: u32) -> ReadStream {
        let request = json!({"model": "m", "prompt": "p", "max_tokens": max_tokens, "stream": true});
        read_stream(self.start(id, "urgent", &request).await.unwrap()).await
    }

    pub(crate) async fn resume(&self, id: &str, from: u64) -> ReadStream {
        let path = format!("/v1/streams/{id}?from={from}");
        read_stream(self.send("GET", &path, &[], String::new()).await.unwrap()).await
    }

    pub(crate) async fn cancel(&self, id: &str) -> StatusCode {
        self.send("DELETE", &format!("/v1/streams/{id}"), &[], String::new()).await.unwrap().status()
    }

    pub(crate) async fn put_fault(&self, fault: Value) {
        StandinClient::new(self.addr).put_fault(&fault).await.unwrap();
    }

    pub(crate) async fn journal(&self) -> Value {
        StandinClient::new(self.addr).journal().await.unwrap()
    }

    /// Waits until the latest request with this id has this outcome, at most 5 s.
    pub(crate) async fn wait_outcome(&self, id: &str, outcome: &str) {
        for _ in 0..250 {
            let journal = self.journal().await;
            let requests = journal["requests"].as_array().unwrap();
            let last = requests.iter().rev().find(|request| request["request_id"] == id);
            if last.is_some_and(|request| request["outcome"] == outcome) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("request {id} has not reached outcome {outcome} within 5 s: {}", self.journal().await);
    }
}

/// Reads a stream until its end.
pub(crate) async fn read_stream(response: Response<Incoming>) -> ReadStream {
    let mut read = ReadStream { status: response.status().as_u16(), ..ReadStream::default() };
    let mut body = response.into_body();
    let mut text = Vec::new();
    loop {
        match tokio::time::timeout(LIMIT, body.frame()).await.expect("a body frame within 10 s") {
            Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break,
            None => {
                read.ended_cleanly = true;
                break;
            }
        }
    }
    if read.status != 200 {
        return read;
    }
    for event in String::from_utf8_lossy(&text).split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ").expect("an event with data");
        if data == "[DONE]" {
            read.done = true;
        } else {
            read.events.push(serde_json::from_str(data).ok());
        }
    }
    read
}
