//! The limits filter: receives a request within the limits on connections, header size, body size and time.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use cowslip_routing::ErrorResponse;
use cowslip_units::{ClockTime, ErrorKind, RequestId};
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Uri, header};
use http_body_util::BodyExt;
use tokio::time::{Duration, timeout};

use crate::{RequestContext, RouterCore};

/// Time in ms for which the rest of an oversized body is read and discarded, so that the caller receives the
/// rejection instead of a connection reset.
const DISCARD_BODY_MS: u64 = 500;
/// An oversized body is discarded up to this multiple of the body limit.
const DISCARD_BODY_FACTOR: usize = 16;

/// A request as handed over by the HTTP server.
#[derive(Debug)]
pub struct IncomingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Address of the caller.
    pub client: SocketAddr,
    /// Body stream, not read yet.
    pub body: Body,
}

impl IncomingRequest {
    /// Checks the limits and reads the body. `accepted` is false if the connection is above the limit.
    pub async fn receive(
        self,
        core: &Arc<RouterCore>,
        request: RequestId,
        accepted: bool,
    ) -> Result<RequestContext, ErrorResponse> {
        let arrived_at = core.now();
        if !accepted {
            let message = "too many connections are open at this VM";
            return Err(ErrorResponse::new(ErrorKind::TooManyConnections, message));
        }
        check_header(core, &self.headers, &self.uri)?;
        let body = read_body(core, self.body, &self.headers).await?;
        Ok(RequestContext {
            request,
            arrived_at,
            client: self.client,
            method: self.method,
            uri: self.uri,
            headers: self.headers,
            body,
            trace: None,
            key: None,
            team: None,
            matched: None,
            idempotency: None,
            deadline: ClockTime::NEVER,
            tokens: None,
        })
    }
}

fn check_header(core: &RouterCore, headers: &HeaderMap, uri: &Uri) -> Result<(), ErrorResponse> {
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let size = path + fields.sum::<usize>();
    let limit = core.settings.max_header_bytes;
    if size > limit {
        let message = format!("the header has {size} bytes, and at most {limit} are accepted");
        return Err(ErrorResponse::new(ErrorKind::HeaderTooLarge, &message));
    }
    Ok(())
}

async fn read_body(core: &RouterCore, mut body: Body, headers: &HeaderMap) -> Result<Bytes, ErrorResponse> {
    let limit = core.settings.max_body_bytes;
    let declared_len =
        headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    if declared_len.is_some_and(|declared_len: usize| declared_len > limit) {
        discard_body(&mut body, limit).await;
        return Err(too_large(limit));
    }
    let read = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                let message = "the body ended before its declared length";
                return Err(ErrorResponse::new(ErrorKind::BodyIncomplete, message));
            };
            if let Ok(part) = frame.into_data() {
                if bytes.len() + part.len() > limit {
                    discard_body(&mut body, limit).await;
                    return Err(too_large(limit));
                }
                bytes.extend_from_slice(&part);
            }
        }
        Ok(bytes.freeze())
    };
    let read_timeout = Duration::from_millis(core.settings.read_timeout_ms);
    let timed_out = || ErrorResponse::new(ErrorKind::ReadTimeout, "the body did not arrive in time");
    timeout(read_timeout, read).await.map_err(|_| timed_out())?
}

fn too_large(limit: usize) -> ErrorResponse {
    let message = format!("the body has more than {limit} bytes");
    ErrorResponse::new(ErrorKind::BodyTooLarge, &message)
}

async fn discard_body(body: &mut Body, limit: usize) {
    let discard_all = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > limit.saturating_mul(DISCARD_BODY_FACTOR) {
                return;
            }
        }
    };
    // If the rest does not arrive in time, the connection is closed and the caller may miss the response.
    let _ = timeout(Duration::from_millis(DISCARD_BODY_MS), discard_all).await;
}
