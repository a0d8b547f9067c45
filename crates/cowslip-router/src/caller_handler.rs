//! Handler of the callers' HTTP server: runs intake, the filter chain and the call, and returns the response.

use std::panic::RefUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use cowslip_routing::ErrorResponse;
use cowslip_runtime::{TraceContext, random_hex};
use cowslip_units::{ErrorKind, RequestId};
use gotham::anyhow;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{State, client_addr};
use http::{HeaderMap, HeaderValue, Method, Response, Uri, header};

use crate::health_response::health_response;
use crate::model_call::{ModelCall, model_response};
use crate::response_body::{GuardedBody, ResponseGuard, rejection_response};
use crate::{
    DeadlineFilter, IdempotencyFilter, IncomingRequest, RateFilter, RequestAction, RequestContext,
    RequestFilter, RouteFilter, RouterCore, TeamFilter, TraceFilter, ViewFilter,
};

/// Handles the requests of callers.
#[derive(Clone, Debug)]
pub struct CallerHandler {
    core: Arc<RouterCore>,
}

impl CallerHandler {
    /// Creates a handler that uses `core`.
    pub const fn new(core: Arc<RouterCore>) -> Self {
        Self { core }
    }
}

// The server library catches panics of a handler, and the state's lock ignores poisoning.
impl RefUnwindSafe for CallerHandler {}

impl NewHandler for CallerHandler {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for CallerHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let incoming = take_request(&mut state);
            let response = match incoming {
                Some(call) => respond(&self.core, call).await,
                None => {
                    rejection_response(&ErrorResponse::new(ErrorKind::Internal, "the request is incomplete"))
                }
            };
            Ok((state, response))
        })
    }
}

fn take_request(state: &mut State) -> Option<IncomingRequest> {
    let client = client_addr(state)?;
    Some(IncomingRequest {
        method: state.try_take::<Method>()?,
        uri: state.try_take::<Uri>()?,
        headers: state.try_take::<HeaderMap>()?,
        client,
        body: state.try_take::<Body>()?,
    })
}

/// Handles one request and returns its response.
async fn respond(core: &Arc<RouterCore>, call: IncomingRequest) -> Response<Body> {
    let accepted = core.connections.begin(&call.client);
    let guard = ResponseGuard::new(&core.connections, call.client);
    if let Some(response) = health_response(core, &call.method, call.uri.path()) {
        return finish(core, response, guard, None, None, false);
    }
    let arrived_at = core.now();
    let parent =
        call.headers.get("traceparent").and_then(|value| TraceContext::from_header(value.to_str().ok()?));
    let mut span = core.traces.start("accept", parent.as_ref());
    let request = match RequestId::new(&random_hex(16)) {
        Ok(request) => request,
        Err(error) => {
            let rejection = ErrorResponse::new(ErrorKind::Internal, &error.to_string());
            return finish(core, rejection_response(&rejection), guard, None, None, true);
        }
    };
    span.set("request", request.as_str());
    core.metrics.count("requests", 1);
    core.state().retries.request();
    let served = match call.receive(core, request.clone(), accepted).await {
        Ok(context) => serve(core, context, &span).await,
        // Unread body bytes on the connection must not be parsed as the next request.
        Err(rejection) => Err((rejection, true)),
    };
    let (response, close) = match served {
        Ok(response) => (response, false),
        Err((rejection, close)) => {
            core.metrics.count(&format!("refusals.{}", rejection.kind), 1);
            slog::info!(core.logger, "refused"; "request" => request.as_str(), "kind" => rejection.kind.as_str(),
                "ran" => rejection.ran.as_str(), "message" => &rejection.message);
            span.set("refusal", rejection.kind.as_str());
            (rejection_response(&rejection), close)
        }
    };
    span.set("status", response.status().as_str());
    core.metrics.time_ms("answer_begins", core.now().since_ms(arrived_at));
    let trace = span.context();
    finish(core, response, guard, Some(&request), Some(&trace), close)
}

/// Runs the filter chain, then the call.
async fn serve(
    core: &Arc<RouterCore>,
    mut context: RequestContext,
    span: &cowslip_runtime::TraceSpan,
) -> Result<Response<Body>, (ErrorResponse, bool)> {
    let filtered = async {
        TraceFilter::new(span).apply(core, &mut context).await?;
        ViewFilter.apply(core, &mut context).await?;
        TeamFilter.apply(core, &mut context).await?;
        RouteFilter.apply(core, &mut context).await?;
        IdempotencyFilter.apply(core, &mut context).await?;
        DeadlineFilter.apply(core, &mut context).await?;
        RateFilter.apply(core, &mut context).await?;
        dispatch(core, &mut context).await
    };
    filtered.await.map_err(|rejection| (rejection, false))
}

/// Runs the action that the route filter selected.
async fn dispatch(
    core: &Arc<RouterCore>,
    context: &mut RequestContext,
) -> Result<Response<Body>, ErrorResponse> {
    let Some(matched) = context.matched.take() else {
        return Err(ErrorResponse::new(ErrorKind::Internal, "the request has no route"));
    };
    match &matched.action {
        RequestAction::Model(model_request) => {
            let cold = {
                let mut state = core.state();
                *state.arrival_counts.entry(model_request.model.clone()).or_default() += 1;
                state.placement.loaded(&model_request.model).is_empty()
            };
            let mut call = ModelCall::new(context, model_request, matched.cost);
            let mut response = if model_request.stream {
                call.run_stream(core, &mut context.tokens).await?
            } else {
                call.run_buffered(core, &mut context.tokens).await.map(model_response)?
            };
            if cold {
                response.headers_mut().insert("x-cold-start", HeaderValue::from_static("1"));
            }
            Ok(response)
        }
        RequestAction::ListModels => Ok(crate::model_list::model_list(core, context.team.as_ref())),
        RequestAction::Service if matched.idempotent => {
            crate::service_call::call_service(core, context, &matched).await
        }
        RequestAction::Service => crate::claim_call::call_claimed(core, context, &matched).await,
        RequestAction::NewReport(model_request) => {
            crate::report_calls::accept_report(core, context, model_request).await
        }
        RequestAction::FetchReport(report) => crate::report_calls::fetch_report(core, context, report).await,
        RequestAction::CancelReport(report) => {
            crate::report_calls::cancel_report(core, context, report).await
        }
    }
}

/// Adds the headers common to all responses, and the guard that marks the end of the response on its
/// connection.
fn finish(
    core: &Arc<RouterCore>,
    mut response: Response<Body>,
    guard: ResponseGuard,
    request: Option<&RequestId>,
    trace: Option<&TraceContext>,
    close: bool,
) -> Response<Body> {
    let headers = response.headers_mut();
    if let Some(value) = request.and_then(|request| HeaderValue::from_str(request.as_str()).ok()) {
        headers.insert("x-request-id", value);
    }
    if let Some(value) = trace.and_then(|trace| HeaderValue::from_str(&trace.to_header()).ok()) {
        headers.insert("traceparent", value);
    }
    if close || core.state().draining {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| Body::new(GuardedBody::new(body, guard)))
}
