//! Builds the requests that are sent to upstreams.

use bytes::Bytes;
use cowslip_adapter::header_names::{DEADLINE_MS, EXPECT_UPSTREAM, LAST_EVENT_ID, PRIORITY, TEAM};
use cowslip_entry::{RouteKind, WaitLimit};
use cowslip_units::{ClockTime, UpstreamId};
use http::{HeaderValue, Request};
use http_body_util::Full;

use crate::request_context::{AdmittedRequest, RequestContext};

/// Builds a request. `last_event` replaces the caller's own value when a stream is resumed.
///
/// # Errors
/// [`http::Error`] when a value is not valid in a header.
pub(crate) fn upstream_request(
    context: &RequestContext,
    admitted: &AdmittedRequest,
    limit: &WaitLimit,
    upstream: &UpstreamId,
    last_event: Option<&str>,
    now: ClockTime,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(context.method.clone())
        .uri(context.target.as_str())
        .body(Full::new(context.body.clone()))?;
    let headers = request.headers_mut();
    *headers = context.headers.clone();
    headers.insert(DEADLINE_MS, HeaderValue::from(limit.deadline.since_ms(now)));
    headers.insert(EXPECT_UPSTREAM, HeaderValue::from_str(upstream.as_str())?);
    if let Some(team) = &admitted.team {
        headers.insert(TEAM, HeaderValue::from_str(team.name.as_str())?);
    }
    if admitted.route.kind == RouteKind::Streaming {
        headers.insert(PRIORITY, HeaderValue::from(u16::from(admitted.priority())));
    }
    if let Some(last_event) = last_event {
        headers.insert(LAST_EVENT_ID, HeaderValue::from_str(last_event)?);
    }
    Ok(request)
}
