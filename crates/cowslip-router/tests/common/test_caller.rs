//! HTTP client that acts as a caller. All waits are bounded.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cowslip_runtime::sha256_hex;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone)]
pub(crate) struct TestCaller {
    pub(crate) addr: SocketAddr,
    pub(crate) key: Option<String>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A stream as received by the caller.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ReadStream {
    pub(crate) status: u16,
    pub(crate) text: String,
    pub(crate) done: bool,
    pub(crate) error: Option<Value>,
}

impl TestCaller {
    pub(crate) fn new(addr: SocketAddr, key: Option<&str>) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { addr, key: key.map(str::to_owned), client }
    }

    pub(crate) fn with_key(&self, key: Option<&str>) -> Self {
        Self { key: key.map(str::to_owned), ..self.clone() }
    }

    pub(crate) async fn open(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<Incoming> {
        let mut request = Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        if let Some(key) = &self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        timeout(RESPONSE_TIMEOUT, self.client.request(request))
            .await
            .expect("no response within the timeout")
            .expect("no response")
    }

    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (StatusCode, HeaderMap, Value) {
        let response = self.open(method, path, headers, body).await;
        let (head, body) = response.into_parts();
        let body = timeout(RESPONSE_TIMEOUT, body.collect())
            .await
            .expect("no complete body within the timeout")
            .expect("no complete body")
            .to_bytes();
        (head.status, head.headers, serde_json::from_slice(&body).unwrap_or(Value::Null))
    }

    pub(crate) async fn chat(
        &self,
        model: &str,
        prompt: &str,
        tokens: u64,
    ) -> (StatusCode, HeaderMap, Value) {
        self.send("POST", "/v1/chat/completions", &[], &chat_body(model, prompt, tokens, false)).await
    }

    pub(crate) async fn stream(&self, model: &str, prompt: &str, tokens: u64) -> ReadStream {
        let body = chat_body(model, prompt, tokens, true);
        read_stream(self.open("POST", "/v1/chat/completions", &[], &body).await).await
    }

    /// Sends raw bytes with pauses and returns everything received until the connection closes.
    pub(crate) async fn raw(&self, parts: &[&[u8]], pause: Duration, shut: bool) -> String {
        let mut stream = TcpStream::connect(self.addr).await.unwrap();
        for part in parts {
            // The router may already have closed the connection; some tests expect that.
            let _ = stream.write_all(part).await;
            tokio::time::sleep(pause).await;
        }
        if shut {
            let _ = stream.shutdown().await;
        }
        let mut text = Vec::new();
        let _ = timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut text))
            .await
            .expect("no end of the stream within the timeout");
        String::from_utf8_lossy(&text).into_owned()
    }
}

pub(crate) fn chat_body(model: &str, prompt: &str, tokens: u64, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"model": model, "messages": messages, "max_tokens": tokens, "stream": stream}).to_string()
}

/// Text that the engines generate for a prompt.
pub(crate) fn expected_text(model: &str, prompt: &str, tokens: u64) -> String {
    let digest = sha256_hex(format!("{model}\n{prompt}").as_bytes());
    (0..tokens).map(|offset| format!("word{offset}-{} ", &digest[..8])).collect()
}

/// Reads a stream to the end.
pub(crate) async fn read_stream(response: Response<Incoming>) -> ReadStream {
    let mut read = ReadStream { status: response.status().as_u16(), ..ReadStream::default() };
    let body = timeout(RESPONSE_TIMEOUT, response.into_body().collect())
        .await
        .expect("no end of the stream within the timeout");
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    if read.status != 200 {
        read.error = serde_json::from_str(&text).ok();
        return read;
    }
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        if let Some(data) = event.strip_prefix("event: error\ndata: ") {
            read.error = serde_json::from_str(data).ok();
            continue;
        }
        let data = event.strip_prefix("data: ").expect("an event without data");
        assert!(!read.done, "an event after the end marker: {data}");
        if data == "[DONE]" {
            read.done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).expect("a chunk that is not JSON");
        read.text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    read
}
