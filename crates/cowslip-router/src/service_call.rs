//! Calls of services that may be repeated.

use std::sync::Arc;

use cowslip_routing::{CallOutcome, EndedUpstreams, RequestState, WaitTarget};
use cowslip_units::{ErrorKind, RunState, TokenCount};
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderName, Response, header};
use tokio::time::{Duration, sleep};

use crate::buffered_call::send_buffered;
use crate::call_flight::StartFault;
use crate::ended_probe::{MAX_ENDED_BY_CALL, has_ended};
use crate::response_body::full_body;
use crate::{
    BufferedResponse, CallFault, CallFlight, DispatchParams, ErrorResponse, RequestContext, RouteMatch,
    RouterCore, UpstreamRequest,
};

/// Limit of dispatches of one call.
const MAX_DISPATCHES: usize = 16;

/// Delay in ms before a retry after a service rejected the call as busy; prevents a busy loop.
const BUSY_BACKOFF_MS: u64 = 20;

/// Response headers that are forwarded from a service to the caller.
pub(crate) const RESPONSE_HEADERS: [HeaderName; 8] = [
    header::CONTENT_TYPE,
    header::CONTENT_LANGUAGE,
    header::CONTENT_DISPOSITION,
    header::LOCATION,
    header::ETAG,
    header::CACHE_CONTROL,
    header::LAST_MODIFIED,
    header::RETRY_AFTER,
];

/// Queue and dispatch parameters of a service call.
pub(crate) fn service_params(context: &RequestContext, matched: &RouteMatch) -> DispatchParams {
    DispatchParams {
        team: context.team.clone(),
        key: context.key.clone(),
        class: context.class(),
        target: WaitTarget::Service(matched.route.clone()),
        cost: TokenCount::new(matched.cost),
        deadline: context.deadline,
        prefix: None,
        excluded: Vec::new(),
    }
}

/// Request to the service: method, path, query and body as received.
pub(crate) fn service_message(context: &RequestContext) -> UpstreamRequest {
    let path = context.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut message = UpstreamRequest {
        request: context.request.clone(),
        method: context.method.clone(),
        path: path.to_owned(),
        content_type: None,
        accept: None,
        body: context.body.clone(),
        class: context.class(),
        deadline: context.deadline,
        prefix: None,
        idempotency: context.idempotency.clone(),
        traceparent: context.trace.as_ref().map(cowslip_runtime::TraceContext::to_header),
    };
    message.copy_headers(&context.headers);
    message
}

/// Validates a service's response: a rejection, a response to another request or a server error becomes a
/// fault.
pub(crate) fn check_service_response(
    message: &UpstreamRequest,
    upstream_response: BufferedResponse,
) -> Result<BufferedResponse, CallFault> {
    let status = upstream_response.status.as_u16();
    if let Some(fault) = CallFault::from_rejection(status, &upstream_response.body) {
        return Err(fault);
    }
    if upstream_response.status.is_server_error() {
        return Err(CallFault::new(
            ErrorKind::UpstreamFailed,
            format!("the service failed with status {status}"),
        ));
    }
    if upstream_response.request_id() != Some(message.request.as_str()) {
        let text = "the answer does not carry the id of this request";
        return Err(CallFault::new(ErrorKind::UpstreamGarbled, text));
    }
    Ok(upstream_response)
}

/// Converts a service's response to the response to the caller.
pub(crate) fn service_response(upstream_response: BufferedResponse) -> Response<Body> {
    let mut response = Response::new(full_body(upstream_response.body));
    *response.status_mut() = upstream_response.status;
    *response.headers_mut() = allowed_headers(&upstream_response.headers);
    response
}

fn allowed_headers(headers: &HeaderMap) -> HeaderMap {
    let allowed = RESPONSE_HEADERS.iter().filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
    allowed.collect()
}

/// Runs the call, and retries on other upstreams if one fails.
pub(crate) async fn call_service(
    core: &Arc<RouterCore>,
    context: &mut RequestContext,
    matched: &RouteMatch,
) -> Result<Response<Body>, ErrorResponse> {
    let mut params = service_params(context, matched);
    let message = service_message(context);
    let mut state = RequestState::new(context.request.clone(), true);
    let mut ended = EndedUpstreams::new(MAX_ENDED_BY_CALL);
    let mut rejection = ErrorResponse::new(ErrorKind::NoCapacity, "no upstream accepted the request");
    for _ in 0..MAX_DISPATCHES {
        let span = core.traces.start("queue", context.trace.as_ref());
        let permit = params.wait_for_permit(core).await;
        drop(span);
        let span = core.traces.start("dispatch", context.trace.as_ref());
        let started = permit.map(|permit| CallFlight::start(core, permit, &params));
        drop(span);
        let (flight, mut cancel_signal) = match started {
            Ok(Ok(started)) => started,
            Ok(Err(StartFault::Requeue)) => continue,
            Ok(Err(StartFault::Rejected(rejected))) | Err(rejected) => {
                rejection = rejected;
                break;
            }
        };
        state.sending();
        if let Some(tokens) = &mut context.tokens {
            tokens.mark_sent();
        }
        let mut span = core.traces.start("upstream", context.trace.as_ref());
        span.set("upstream", flight.upstream().as_str());
        let result = send_buffered(core, &flight, &message, false, &mut cancel_signal).await;
        drop(span);
        match result.and_then(|upstream_response| check_service_response(&message, upstream_response)) {
            Ok(upstream_response) => {
                state.answered();
                let service_ms = core.now().since_ms(flight.sent_at);
                let first_byte_ms = upstream_response.first_byte_ms;
                flight.end(CallOutcome::Answered { first_byte_ms, service_ms });
                return Ok(service_response(upstream_response));
            }
            Err(fault) => {
                flight.record_fault(&fault);
                if has_ended(core, &flight, &fault).await {
                    ended.add(flight.upstream().clone());
                }
                params.excluded.push(flight.upstream().clone());
                let busy = fault.not_run && fault.kind == ErrorKind::NoCapacity;
                flight.end(if busy || fault.is_final { CallOutcome::Undecided } else { CallOutcome::Failed });
                if fault.not_run {
                    state.not_run();
                }
                let now = core.now();
                let in_time = now < context.deadline;
                let kind = if in_time { fault.kind } else { ErrorKind::DeadlineExceeded };
                rejection = ErrorResponse::new(kind, &fault.message);
                let may_retry = in_time && !fault.is_final && !ended.is_exhausted();
                let retry = may_retry && (fault.not_run || core.state().retries.take(now));
                if !retry {
                    break;
                }
                if busy {
                    sleep(Duration::from_millis(BUSY_BACKOFF_MS)).await;
                }
            }
        }
    }
    let ran = state.run_state();
    state.refused(ran);
    if let (Some(tokens), RunState::NotRun) = (&mut context.tokens, ran) {
        tokens.mark_not_run();
    }
    Err(rejection.with_ran(ran))
}
