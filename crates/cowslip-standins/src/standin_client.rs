//! HTTP client for the control endpoints of stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Timeout of control requests in ms.
const CONTROL_TIMEOUT_MS: u64 = 5_000;

/// Sends requests to one stand-in.
#[derive(Clone, Debug)]
pub struct StandinClient {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl StandinClient {
    /// Creates a client for the stand-in at `addr`; connects on the first request.
    pub fn new(addr: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        Self { addr, client }
    }

    /// Sends a request without a timeout and returns status and body.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes), String> {
        let uri = format!("http://{}{path}", self.addr);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = self.client.request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    }

    /// Sets a fault; `fault` is the body of `PUT /faults`.
    pub async fn put_fault(&self, fault: &Value) -> Result<(), String> {
        self.control(Method::PUT, "/faults", Bytes::from(fault.to_string())).await.map(|_| ())
    }

    /// Fetches the journal (`GET /journal`).
    pub async fn journal(&self) -> Result<Value, String> {
        let body = self.control(Method::GET, "/journal", Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    async fn control(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
        let limit = Duration::from_millis(CONTROL_TIMEOUT_MS);
        let (status, body) = tokio::time::timeout(limit, self.call(method, path, body))
            .await
            .map_err(|_| format!("{path}: no response within {CONTROL_TIMEOUT_MS} ms"))??;
        if status.is_success() {
            return Ok(body);
        }
        Err(format!("{path}: status {status}: {}", String::from_utf8_lossy(&body)))
    }
}
