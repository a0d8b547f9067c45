//! Calls of services that may be repeated.

use std::sync::Arc;

use cowslip_routing::{CallOutcome, RequestState, WaitTarget};
use cowslip_units::{ErrorKind, RunState, TokenCount};
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderName, Response, header};
use tokio::time::{Duration, sleep};

use crate::answer_body::whole_body;
use crate::call_flight::StartFault;
use crate::whole_call::call_whole;
use crate::{
    CallFault, CallFlight, ErrorResponse, PlaceRequest, RequestContext, RouteMatch, RouterCore,
    UpstreamRequest, WholeAnswer,
};

/// Limit of dispatches of one call.
const MAX_PLACES: usize = 16;

/// Delay in ms before a retry after a service rejected the call as busy; prevents a busy loop.
const BUSY_PAUSE_MS: u64 = 20;

/// Response headers that are forwarded from a service to the caller.
pub(crate) const ANSWER_HEADERS: [HeaderName; 8] = [
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
pub(crate) fn service_place(context: &RequestContext, matched: &RouteMatch) -> PlaceRequest {
    PlaceRequest {
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
    message.take_headers(&context.headers);
    message
}

/// Validates a service's response: a rejection, a response to another request or a server error becomes a
/// fault.
pub(crate) fn check_service(
    message: &UpstreamRequest,
    answer: WholeAnswer,
) -> Result<WholeAnswer, CallFault> {
    let status = answer.status.as_u16();
    if let Some(fault) = CallFault::from_refusal(status, &answer.body) {
        return Err(fault);
    }
    if answer.status.is_server_error() {
        return Err(CallFault::new(
            ErrorKind::UpstreamFailed,
            format!("the service failed with status {status}"),
        ));
    }
    if answer.request_id() != Some(message.request.as_str()) {
        let text = "the response does not have the id of this request";
        return Err(CallFault::new(ErrorKind::UpstreamGarbled, text));
    }
    Ok(answer)
}

/// Converts a service's response to the response to the caller.
pub(crate) fn service_answer(answer: WholeAnswer) -> Response<Body> {
    let mut response = Response::new(whole_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = allowed_headers(&answer.headers);
    response
}

fn allowed_headers(headers: &HeaderMap) -> HeaderMap {
    let allowed = ANSWER_HEADERS.iter().filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
    allowed.collect()
}

/// Runs the call, and retries on other upstreams if one fails.
pub(crate) async fn call_service(
    core: &Arc<RouterCore>,
    context: &mut RequestContext,
    matched: &RouteMatch,
) -> Result<Response<Body>, ErrorResponse> {
    let mut place = service_place(context, matched);
    let message = service_message(context);
    let mut state = RequestState::new(context.request.clone(), true);
    let mut refusal = ErrorResponse::new(ErrorKind::NoCapacity, "no upstream accepted the request");
    for _ in 0..MAX_PLACES {
        let span = core.traces.start("queue", context.trace.as_ref());
        let turn = place.wait_turn(core).await;
        drop(span);
        let span = core.traces.start("dispatch", context.trace.as_ref());
        let started = turn.map(|permit| CallFlight::start(core, permit, &place));
        drop(span);
        let (flight, mut ended) = match started {
            Ok(Ok(started)) => started,
            Ok(Err(StartFault::PlaceAgain)) => continue,
            Ok(Err(StartFault::Refused(refused))) | Err(refused) => {
                refusal = refused;
                break;
            }
        };
        state.sending();
        if let Some(tokens) = &mut context.tokens {
            tokens.sent();
        }
        let mut span = core.traces.start("upstream", context.trace.as_ref());
        span.set("upstream", flight.upstream().as_str());
        let result = call_whole(core, &flight, &message, false, &mut ended).await;
        drop(span);
        match result.and_then(|answer| check_service(&message, answer)) {
            Ok(answer) => {
                state.answered();
                let service_ms = core.now().since_ms(flight.sent_at);
                let first_byte_ms = answer.first_byte_ms;
                flight.end(CallOutcome::Answered { first_byte_ms, service_ms });
                return Ok(service_answer(answer));
            }
            Err(fault) => {
                flight.noticed(&fault);
                place.excluded.push(flight.upstream().clone());
                let busy = fault.not_run && fault.kind == ErrorKind::NoCapacity;
                flight.end(if busy || fault.is_final { CallOutcome::Undecided } else { CallOutcome::Failed });
                if fault.not_run {
                    state.not_run();
                }
                let now = core.now();
                let in_time = now < context.deadline;
                let kind = if in_time { fault.kind } else { ErrorKind::DeadlineExceeded };
                refusal = ErrorResponse::new(kind, &fault.message);
                let retry = in_time && !fault.is_final && (fault.not_run || core.state().retries.take(now));
                if !retry {
                    break;
                }
                if busy {
                    sleep(Duration::from_millis(BUSY_PAUSE_MS)).await;
                }
            }
        }
    }
    let ran = state.run_state();
    state.refused(ran);
    if let (Some(tokens), RunState::NotRun) = (&mut context.tokens, ran) {
        tokens.not_run();
    }
    Err(refusal.with_ran(ran))
}
