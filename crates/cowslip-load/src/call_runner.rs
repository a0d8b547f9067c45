//! Sends planned calls and verifies their responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::{
    CallKind, CallOutcome, CallResult, EventReader, HealthChecker, PlannedCall, TeamTarget, expected_text,
};

/// Grace period in ms after a deadline before a missing response counts as timed out.
const DEADLINE_GRACE_MS: u64 = 1_500;
/// Timeout in ms of a report, polls included.
const REPORT_TIMEOUT_MS: u64 = 120_000;
/// Long-poll time in ms of one query for a report.
const REPORT_POLL_MS: u64 = 5_000;
/// Characters per token, the estimate that the routers use for prompts.
const CHARS_PER_TOKEN: usize = 4;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends planned calls. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct CallRunner {
    client: HttpClient,
    health: HealthChecker,
    deadline_ms: u64,
}

/// Measurements of one exchange.
#[derive(Debug, Default)]
struct CallMeasurement {
    first_ms: Option<u64>,
    gap_ms: Option<u64>,
    tokens: u64,
    cold: bool,
}

impl CallRunner {
    /// Creates a runner whose drafts have this deadline. `health` chooses the router for each request, as a
    /// load balancer would.
    pub fn new(health: HealthChecker, deadline_ms: u64) -> Self {
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(64).build_http();
        Self { client, health, deadline_ms }
    }

    /// Sends a call and waits for its outcome.
    pub async fn run(&self, call: &PlannedCall, target: &TeamTarget) -> CallOutcome {
        let start = Instant::now();
        let mut measurement = CallMeasurement::default();
        let result = match call.kind {
            CallKind::Draft => self.draft(call, target, start, &mut measurement).await,
            CallKind::Report => self.report(call, target, &mut measurement).await,
            CallKind::Order => self.order(call, target).await,
            CallKind::Lookup => self.lookup(call, target).await,
        };
        let prompt_tokens = call.prompt.len().div_ceil(CHARS_PER_TOKEN) as u64;
        CallOutcome {
            kind: call.kind,
            team: Some(target.team.clone()),
            model: call.model.clone(),
            at_ms: call.at_ms,
            result,
            first_ms: measurement.first_ms,
            total_ms: elapsed_ms(start),
            gap_ms: measurement.gap_ms,
            cold: measurement.cold,
            reserved: prompt_tokens + call.max_tokens,
            tokens: measurement.tokens,
        }
    }

    /// Fetches a path as text, such as an upstream's journal or load report.
    pub async fn fetch(&self, addr: SocketAddr, path: &str) -> Result<String, String> {
        let request =
            Request::get(format!("http://{addr}{path}")).body(Full::default()).map_err(error_text)?;
        let response = self.client.request(request).await.map_err(error_text)?;
        let body = response.into_body().collect().await.map_err(error_text)?.to_bytes();
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    async fn draft(
        &self,
        call: &PlannedCall,
        target: &TeamTarget,
        start: Instant,
        measurement: &mut CallMeasurement,
    ) -> CallResult {
        let limit = Duration::from_millis(self.deadline_ms + DEADLINE_GRACE_MS);
        let answer = timeout(limit, self.stream(call, target, start, measurement));
        let Some(disconnect_ms) = call.leave_after_ms else {
            return answer.await.unwrap_or(CallResult::TimedOut);
        };
        match timeout(Duration::from_millis(disconnect_ms), answer).await {
            Ok(result) => result.unwrap_or(CallResult::TimedOut),
            Err(_) => CallResult::Disconnected,
        }
    }

    async fn stream(
        &self,
        call: &PlannedCall,
        target: &TeamTarget,
        start: Instant,
        measurement: &mut CallMeasurement,
    ) -> CallResult {
        let mut body = completion_body(call);
        body["stream"] = Value::Bool(true);
        let request = self
            .request(Method::POST, call.url, "/v1/chat/completions", target)
            .header("x-deadline-ms", self.deadline_ms.to_string());
        let response = match self.send(request, body.to_string()).await {
            Ok(response) => response,
            Err(result) => return result,
        };
        measurement.cold = response.headers().contains_key("x-cold-start");
        if !response.status().is_success() {
            return rejection(response).await;
        }
        let mut reader = EventReader::new();
        let mut text = String::new();
        let mut last = start;
        let mut frames = response.into_body();
        while let Some(frame) = frames.frame().await {
            let Ok(frame) = frame else {
                return CallResult::Truncated("the connection broke".to_owned());
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            for event in reader.push(data) {
                if event == "[DONE]" {
                    return verify_text(call, &text);
                }
                let Ok(value) = serde_json::from_str::<Value>(&event) else {
                    return CallResult::Invalid(format!("event is not valid JSON: {event}"));
                };
                if let Some(kind) = value["error"]["kind"].as_str() {
                    return CallResult::Truncated(kind.to_owned());
                }
                let Some(delta) = delta_text(&value) else {
                    continue;
                };
                text.push_str(delta);
                measurement.tokens += 1;
                let now = Instant::now();
                if measurement.first_ms.is_none() {
                    measurement.first_ms = Some(elapsed_ms(start));
                } else {
                    let gap = u64::try_from(now.duration_since(last).as_millis()).unwrap_or(u64::MAX);
                    measurement.gap_ms = Some(measurement.gap_ms.unwrap_or(0).max(gap));
                }
                last = now;
            }
        }
        CallResult::Truncated("the stream ended without its end marker".to_owned())
    }

    async fn report(
        &self,
        call: &PlannedCall,
        target: &TeamTarget,
        measurement: &mut CallMeasurement,
    ) -> CallResult {
        let request = self.request(Method::POST, call.url, "/v1/reports", target);
        let response = match self.send(request, completion_body(call).to_string()).await {
            Ok(response) => response,
            Err(result) => return result,
        };
        if !response.status().is_success() {
            return rejection(response).await;
        }
        let accepted = match body_json(response).await {
            Ok(value) => value,
            Err(result) => return result,
        };
        let Some(id) = accepted["id"].as_str() else {
            return CallResult::Invalid(format!("response has no report id: {accepted}"));
        };
        let path = format!("/v1/reports/{id}?wait_ms={REPORT_POLL_MS}");
        let fetched =
            timeout(Duration::from_millis(REPORT_TIMEOUT_MS), self.fetch_report(call, target, &path)).await;
        match fetched {
            Ok(Ok(text)) => {
                measurement.tokens = call.max_tokens;
                verify_text(call, &text)
            }
            Ok(Err(result)) => result,
            Err(_) => CallResult::TimedOut,
        }
    }

    async fn fetch_report(
        &self,
        call: &PlannedCall,
        target: &TeamTarget,
        path: &str,
    ) -> Result<String, CallResult> {
        loop {
            // Alternates between two routers, as a load balancer does when one of them is stopped.
            let addr = if rand::random::<bool>() { call.url } else { call.other_url };
            let request = self.request(Method::GET, addr, path, target);
            let Ok(response) = self.send(request, String::new()).await else {
                tokio::time::sleep(Duration::from_millis(200)).await;
                continue;
            };
            if response.status().as_u16() >= 500 || response.status().as_u16() == 429 {
                tokio::time::sleep(Duration::from_millis(200)).await;
                continue;
            }
            if response.status() == StatusCode::NOT_FOUND {
                return Err(CallResult::Invalid(format!("accepted report {path} not found")));
            }
            if !response.status().is_success() {
                return Err(rejection(response).await);
            }
            let value = body_json(response).await?;
            match value["state"].as_str() {
                Some("done") => {
                    let content = &value["result"]["choices"][0]["message"]["content"];
                    return Ok(content.as_str().unwrap_or_default().to_owned());
                }
                Some("failed" | "cancelled") => return Err(CallResult::Invalid(value.to_string())),
                _ => {}
            }
        }
    }

    /// Sends a non-idempotent call through two routers with the same key; both must give the same response.
    async fn order(&self, call: &PlannedCall, target: &TeamTarget) -> CallResult {
        let path = target.order_path.clone().unwrap_or_default();
        let key =
            format!("load-{}-{}", call.number, crate::prompt_digest(target.team.as_str(), &call.prompt));
        let send = |addr: SocketAddr| {
            let request = self
                .request(Method::POST, addr, &path, target)
                .header("idempotency-key", &key)
                .header("x-deadline-ms", self.deadline_ms.to_string());
            self.send(request, json!({ "note": call.prompt }).to_string())
        };
        let limit = Duration::from_millis(self.deadline_ms + DEADLINE_GRACE_MS);
        let both = async { tokio::join!(send(call.url), send(call.other_url)) };
        let Ok((first, second)) = timeout(limit, both).await else {
            return CallResult::TimedOut;
        };
        let (first, second) = (order_response(first).await, order_response(second).await);
        match (first, second) {
            (Ok(first), Ok(second)) if first == second => CallResult::Served,
            (Ok(first), Ok(second)) => CallResult::Invalid(format!(
                "two different responses for one idempotency key: {first} and {second}"
            )),
            (Ok(_), Err(CallResult::Rejected { .. } | CallResult::ConnectionFailed { .. })) => {
                CallResult::Served
            }
            (Err(CallResult::Rejected { .. } | CallResult::ConnectionFailed { .. }), Ok(_)) => {
                CallResult::Served
            }
            (Err(result), _) | (_, Err(result)) => result,
        }
    }

    async fn lookup(&self, call: &PlannedCall, target: &TeamTarget) -> CallResult {
        let path = format!("{}/{}", target.lookup_path.clone().unwrap_or_default(), call.number);
        let request = self.request(Method::GET, call.url, &path, target);
        let limit = Duration::from_millis(self.deadline_ms + DEADLINE_GRACE_MS);
        let response = match timeout(limit, self.send(request, String::new())).await {
            Ok(Ok(response)) => response,
            Ok(Err(result)) => return result,
            Err(_) => return CallResult::TimedOut,
        };
        if !response.status().is_success() {
            return rejection(response).await;
        }
        match body_json(response).await {
            Ok(value) if value["path"].as_str() == Some(path.as_str()) => CallResult::Served,
            Ok(value) => CallResult::Invalid(format!("requested {path}, got {value}")),
            Err(result) => result,
        }
    }

    fn request(
        &self,
        method: Method,
        preferred: SocketAddr,
        path: &str,
        target: &TeamTarget,
    ) -> http::request::Builder {
        let addr = self.health.pick(preferred);
        Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", target.key))
            .header(CONTENT_TYPE, "application/json")
    }

    async fn send(
        &self,
        request: http::request::Builder,
        body: String,
    ) -> Result<Response<Incoming>, CallResult> {
        let request =
            request.body(Full::from(body)).map_err(|error| CallResult::Invalid(error.to_string()))?;
        let router = request.uri().authority().map(ToString::to_string).unwrap_or_default();
        let lost = |error| CallResult::ConnectionFailed { router, reason: error_text(error) };
        self.client.request(request).await.map_err(lost)
    }
}

fn completion_body(call: &PlannedCall) -> Value {
    let model = call.model.as_ref().map_or("", |model| model.as_str());
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": call.prompt }],
        "max_tokens": call.max_tokens,
    })
}

fn delta_text(event: &Value) -> Option<&str> {
    let choice = &event["choices"][0];
    choice["delta"]["content"].as_str().or_else(|| choice["text"].as_str()).filter(|text| !text.is_empty())
}

fn verify_text(call: &PlannedCall, text: &str) -> CallResult {
    let model = call.model.as_ref().map_or("", |model| model.as_str());
    if text == expected_text(model, &call.prompt, call.max_tokens) {
        return CallResult::Served;
    }
    let excerpt: String = text.chars().take(80).collect();
    CallResult::Invalid(format!(
        "call {}: unexpected text of {} bytes, starting with {excerpt:?}",
        call.number,
        text.len()
    ))
}

async fn rejection(response: Response<Incoming>) -> CallResult {
    let status = response.status();
    let value = match body_json(response).await {
        Ok(value) => value,
        Err(result) => return result,
    };
    match (value["error"]["kind"].as_str(), value["error"]["ran"].as_str()) {
        (Some(kind), Some(ran)) => CallResult::Rejected {
            kind: kind.to_owned(),
            ran: ran.to_owned(),
            retry_after_ms: value["error"]["retry_after_ms"].as_u64(),
        },
        _ => CallResult::Invalid(format!("status {status} without a documented error kind: {value}")),
    }
}

async fn order_response(response: Result<Response<Incoming>, CallResult>) -> Result<Value, CallResult> {
    let response = response?;
    if !response.status().is_success() {
        return Err(rejection(response).await);
    }
    body_json(response).await
}

async fn body_json(response: Response<Incoming>) -> Result<Value, CallResult> {
    let status = response.status();
    let headers: HeaderMap = response.headers().clone();
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(CallResult::Truncated(error.to_string())),
    };
    serde_json::from_slice(&body).map_err(|error| {
        let kind =
            headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or("no content type");
        CallResult::Invalid(format!("status {status}, {kind}: {error}"))
    })
}

fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn error_text<E: std::error::Error>(error: E) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
