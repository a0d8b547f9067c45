//! Requests as they are sent to upstreams.

use std::net::SocketAddr;

use bytes::Bytes;
use cowslip_routing::RequestClass;
use cowslip_units::{ClockTime, InvariantName, RequestId, assert_invariant};
use http::header::{ACCEPT, CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::Full;
use smol_str::SmolStr;

/// Headers that may be sent upstream. All others are withheld, so no upstream receives a key or a cookie.
const ALLOWED_HEADERS: [&str; 10] = [
    "content-type",
    "accept",
    "content-length",
    "traceparent",
    "x-request-id",
    "x-priority",
    "x-deadline-ms",
    "x-fleet-prefix",
    "idempotency-key",
    "host",
];

/// A request independent of the upstream that it is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRequest {
    /// Id sent as `x-request-id`.
    pub request: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's `content-type`.
    pub content_type: Option<HeaderValue>,
    /// The caller's `accept`.
    pub accept: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
    /// Priority class.
    pub class: RequestClass,
    /// Time by which the response must begin; [`ClockTime::NEVER`] for reports.
    pub deadline: ClockTime,
    /// Digest of the prompt prefix.
    pub prefix: Option<SmolStr>,
    /// Digest of the idempotency key.
    pub idempotency: Option<SmolStr>,
    /// `traceparent` header for this hop.
    pub traceparent: Option<String>,
}

impl UpstreamRequest {
    /// Copies the headers that are forwarded from those of the caller.
    pub fn copy_headers(&mut self, headers: &HeaderMap) {
        self.content_type = headers.get(CONTENT_TYPE).cloned();
        self.accept = headers.get(ACCEPT).cloned();
    }

    /// Builds the HTTP request to the upstream at `addr`; `None` if a value is not a valid header or path.
    pub fn build(&self, addr: SocketAddr, now: ClockTime) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = format!("http://{addr}{}", self.path).parse().ok()?;
        let headers = request.headers_mut();
        if let Some(content_type) = &self.content_type {
            headers.insert(CONTENT_TYPE, content_type.clone());
        }
        if let Some(accept) = &self.accept {
            headers.insert(ACCEPT, accept.clone());
        }
        if !self.body.is_empty() {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        insert_header(headers, "x-request-id", self.request.as_str())?;
        insert_header(headers, "x-priority", self.class.as_str())?;
        if self.deadline != ClockTime::NEVER {
            insert_header(headers, "x-deadline-ms", &self.deadline.since_ms(now).max(1).to_string())?;
        }
        if let Some(prefix) = &self.prefix {
            insert_header(headers, "x-fleet-prefix", prefix)?;
        }
        if let Some(idempotency) = &self.idempotency {
            insert_header(headers, "idempotency-key", idempotency)?;
        }
        if let Some(traceparent) = &self.traceparent {
            insert_header(headers, "traceparent", traceparent)?;
        }
        let allowed = headers.keys().all(|name| ALLOWED_HEADERS.contains(&name.as_str()));
        assert_invariant(allowed, InvariantName::KeyHidden, || {
            format!("request {} has headers {:?}", self.request, headers.keys().collect::<Vec<_>>())
        });
        allowed.then_some(request)
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) -> Option<()> {
    headers.insert(HeaderName::from_static(name), HeaderValue::from_str(value).ok()?);
    Some(())
}
