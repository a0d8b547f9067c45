//! Model requests: queued, dispatched, validated, retried, and answered as a whole or as a stream.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_routing::{
    CallOutcome, EndedUpstreams, PromptPrefix, RequestState, StreamStep, WaitTarget, check_complete_answer,
};
use cowslip_runtime::sha256_hex;
use cowslip_units::{ErrorKind, RunState, TeamId, TokenCount, UpstreamId};
use gotham::helpers::http::Body;
use http::{HeaderValue, Method, Response, StatusCode, header};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Duration, sleep};

use crate::buffered_call::send_buffered;
use crate::call_flight::StartFault;
use crate::ended_probe::{MAX_ENDED_BY_CALL, has_ended};
use crate::response_body::{ChannelBody, full_body};
use crate::stream_relay::relay_stream;
use crate::stream_source::status_fault;
use crate::{
    CallFault, CallFlight, DispatchParams, ErrorResponse, ModelRequest, RequestContext, RouterCore,
    StreamEvent, StreamSource, TokenReservation, UpstreamCancel, UpstreamRequest,
};

/// Limit of dispatches of one request. Each dispatch waits in the queue first, so this bounds work rather
/// than time.
const MAX_DISPATCHES: usize = 16;
/// Delay in ms before a retry after an upstream rejected the request as busy; prevents a busy loop.
const BUSY_BACKOFF_MS: u64 = 20;
/// Length in bytes of the prompt prefix that is hashed. Requests with the same instructions share at least
/// this much.
const PREFIX_BYTES: usize = 512;
/// Capacity of the event channel to the caller; when it is full, reading from the upstream pauses.
const EVENT_BUFFER: usize = 16;

/// A complete, validated response of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelResponse {
    /// JSON body.
    pub body: Bytes,
    /// Prompt tokens plus generated tokens.
    pub used: u64,
}

/// A model request with everything needed to retry it.
#[derive(Debug)]
pub struct ModelCall {
    /// Queue and dispatch parameters.
    pub params: DispatchParams,
    /// The request as it is sent upstream.
    pub message: UpstreamRequest,
    /// Tracks whether the request may have run.
    pub state: RequestState,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Upstreams that ended under it.
    pub ended: EndedUpstreams,
}

/// Result of trying to start an attempt.
enum StartOutcome<T> {
    Started(T),
    Requeued,
}

impl ModelCall {
    /// Creates the call for a caller's request.
    pub fn new(context: &RequestContext, model_request: &ModelRequest, cost: u64) -> Self {
        let prefix = prompt_prefix(context.team.as_ref(), model_request);
        let params = DispatchParams {
            team: context.team.clone(),
            key: context.key.clone(),
            class: context.class(),
            target: WaitTarget::Model(model_request.model.clone()),
            cost: TokenCount::new(cost),
            deadline: context.deadline,
            prefix: Some(prefix.clone()),
            excluded: Vec::new(),
        };
        let mut message = UpstreamRequest {
            request: context.request.clone(),
            method: Method::POST,
            path: model_request.endpoint.path().to_owned(),
            content_type: None,
            accept: None,
            body: context.body.clone(),
            class: context.class(),
            deadline: context.deadline,
            prefix: Some(prefix.digest),
            idempotency: context.idempotency.clone(),
            traceparent: context.trace.as_ref().map(cowslip_runtime::TraceContext::to_header),
        };
        message.copy_headers(&context.headers);
        message.content_type = Some(HeaderValue::from_static("application/json"));
        let state = RequestState::new(context.request.clone(), true);
        Self {
            params,
            message,
            state,
            prompt_tokens: model_request.prompt_tokens(),
            attempts: 0,
            ended: EndedUpstreams::new(MAX_ENDED_BY_CALL),
        }
    }

    /// Runs the request and returns the complete response.
    pub async fn run_buffered(
        &mut self,
        core: &Arc<RouterCore>,
        tokens: &mut Option<TokenReservation>,
    ) -> Result<ModelResponse, ErrorResponse> {
        for _ in 0..MAX_DISPATCHES {
            let (flight, mut cancel_signal) = match self.start_attempt(core).await? {
                StartOutcome::Started(started) => started,
                StartOutcome::Requeued => continue,
            };
            if let Some(tokens) = tokens {
                tokens.mark_sent();
            }
            let cancel = UpstreamCancel::new(core, &self.message.request, flight.address);
            let span = self.upstream_span(core, &flight);
            let result = send_buffered(core, &flight, &self.message, false, &mut cancel_signal).await;
            drop(span);
            let checked = result.and_then(|response| {
                if response.status != StatusCode::OK {
                    return Err(status_fault(response.status, &response.body));
                }
                let head =
                    check_complete_answer(&self.message.request, response.request_id(), &response.body)
                        .map_err(|fault| CallFault::new(ErrorKind::UpstreamGarbled, fault.to_string()))?;
                let usage = head.usage.unwrap_or_default();
                let used = usage.prompt_tokens.max(self.prompt_tokens) + usage.completion_tokens;
                Ok((ModelResponse { body: response.body, used }, response.first_byte_ms))
            });
            match checked {
                Ok((response, first_byte_ms)) => {
                    cancel.disarm();
                    self.state.answered();
                    let service_ms = core.now().since_ms(flight.sent_at);
                    flight.end(CallOutcome::Answered { first_byte_ms, service_ms });
                    if let Some(tokens) = tokens {
                        tokens.set_used(response.used);
                    }
                    return Ok(response);
                }
                Err(fault) => {
                    if fault.not_run {
                        cancel.disarm();
                    }
                    self.record_failure(core, flight, fault, tokens).await?;
                }
            }
        }
        Err(self.reject(ErrorKind::NoCapacity, "no upstream accepted the request"))
    }

    /// Runs the request until its stream starts, then relays the stream into the returned response.
    pub async fn run_stream(
        mut self,
        core: &Arc<RouterCore>,
        tokens: &mut Option<TokenReservation>,
    ) -> Result<Response<Body>, ErrorResponse> {
        for _ in 0..MAX_DISPATCHES {
            let (flight, mut cancel_signal) = match self.start_attempt(core).await? {
                StartOutcome::Started(started) => started,
                StartOutcome::Requeued => continue,
            };
            if let Some(tokens) = tokens {
                tokens.mark_sent();
            }
            let cancel = UpstreamCancel::new(core, &self.message.request, flight.address);
            let span = self.upstream_span(core, &flight);
            match open_stream(core, &flight, &self.message, &mut cancel_signal).await {
                Ok((source, first)) => {
                    self.state.to_caller();
                    let (parts, received) = mpsc::channel(EVENT_BUFFER);
                    let relay = relay_stream(
                        Arc::clone(core),
                        self,
                        source,
                        first,
                        parts,
                        (flight, cancel_signal),
                        (cancel, tokens.take(), span),
                    );
                    tokio::spawn(relay);
                    return Ok(stream_response(received));
                }
                Err(fault) => {
                    drop(span);
                    if fault.not_run {
                        cancel.disarm();
                    }
                    self.record_failure(core, flight, fault, tokens).await?;
                }
            }
        }
        Err(self.reject(ErrorKind::NoCapacity, "no upstream accepted the request"))
    }

    /// Waits in the queue for a permit, then repeats the admission checks and starts the attempt.
    async fn start_attempt(
        &mut self,
        core: &Arc<RouterCore>,
    ) -> Result<StartOutcome<(CallFlight, oneshot::Receiver<ErrorKind>)>, ErrorResponse> {
        let span = core.traces.start("queue", self.trace().as_ref());
        let permit = self.params.wait_for_permit(core).await;
        drop(span);
        let permit = permit.map_err(|rejection| self.with_ran(rejection))?;
        let _span = core.traces.start("dispatch", self.trace().as_ref());
        match CallFlight::start(core, permit, &self.params) {
            Ok(started) => {
                self.attempts += 1;
                if self.attempts > 1 {
                    // The engine may still hold an earlier attempt, whose late response must not be taken for
                    // this one's.
                    let id = format!("{}-{}", self.state.request(), self.attempts);
                    self.message.request = id.parse().unwrap_or_else(|_| self.message.request.clone());
                }
                self.state.sending();
                Ok(StartOutcome::Started(started))
            }
            Err(StartFault::Requeue) => Ok(StartOutcome::Requeued),
            Err(StartFault::Rejected(rejection)) => Err(self.with_ran(rejection)),
        }
    }

    fn trace(&self) -> Option<cowslip_runtime::TraceContext> {
        cowslip_runtime::TraceContext::from_header(self.message.traceparent.as_deref()?)
    }

    fn upstream_span(&self, core: &RouterCore, flight: &CallFlight) -> cowslip_runtime::TraceSpan {
        let mut span = core.traces.start("upstream", self.trace().as_ref());
        span.set("upstream", flight.upstream().as_str());
        span
    }

    /// Records a failed attempt. Returns `Ok` if the request may be retried.
    async fn record_failure(
        &mut self,
        core: &Arc<RouterCore>,
        flight: CallFlight,
        fault: CallFault,
        tokens: &mut Option<TokenReservation>,
    ) -> Result<(), ErrorResponse> {
        let upstream: UpstreamId = flight.upstream().clone();
        slog::info!(core.logger, "attempt failed"; "request" => self.message.request.as_str(),
            "upstream" => upstream.as_str(), "kind" => fault.kind.as_str(), "message" => &fault.message);
        core.metrics.count("attempts_failed", 1);
        flight.record_fault(&fault);
        if has_ended(core, &flight, &fault).await {
            self.ended.add(upstream.clone());
        }
        let busy = fault.not_run && fault.kind == ErrorKind::NoCapacity;
        flight.end(if busy || fault.is_final { CallOutcome::Undecided } else { CallOutcome::Failed });
        if fault.not_run {
            self.state.not_run();
        }
        if let (Some(tokens), RunState::NotRun) = (tokens, self.state.run_state()) {
            tokens.mark_not_run();
        }
        let now = core.now();
        let in_time = now < self.params.deadline;
        // An attempt that did not run has cost no upstream any work, so its retry does not use the retry
        // budget.
        let retry = in_time
            && !fault.is_final
            && !self.ended.is_exhausted()
            && self.state.can_retry()
            && (fault.not_run || core.state().retries.take(now));
        if retry {
            self.params.excluded.push(upstream);
            if busy {
                sleep(Duration::from_millis(BUSY_BACKOFF_MS)).await;
            }
            return Ok(());
        }
        let kind = if in_time { fault.kind } else { ErrorKind::DeadlineExceeded };
        Err(self.reject(kind, &fault.message))
    }

    fn reject(&self, kind: ErrorKind, message: &str) -> ErrorResponse {
        self.with_ran(ErrorResponse::new(kind, message))
    }

    /// Adds to a rejection whether the request ran, as known from its attempts.
    pub fn with_ran(&self, rejection: ErrorResponse) -> ErrorResponse {
        let ran = self.state.run_state();
        self.state.refused(ran);
        rejection.with_ran(ran)
    }
}

/// Opens the stream and waits for its first valid event, so that an earlier failure can still be retried.
async fn open_stream(
    core: &Arc<RouterCore>,
    flight: &CallFlight,
    message: &UpstreamRequest,
    cancel_signal: &mut oneshot::Receiver<ErrorKind>,
) -> Result<(StreamSource, StreamEvent), CallFault> {
    let open = async {
        let mut source = StreamSource::open(core, flight, message).await?;
        let first = source.next().await?;
        if first.step != StreamStep::Chunk {
            return Err(CallFault::new(ErrorKind::UpstreamGarbled, "the stream has no chunk"));
        }
        Ok((source, first))
    };
    tokio::select! {
        opened = open => opened,
        Ok(kind) = cancel_signal => Err(CallFault::cancelled(kind)),
    }
}

fn stream_response(parts: mpsc::Receiver<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::new(ChannelBody::new(parts)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Converts a model's response to an HTTP response.
pub(crate) fn model_response(response: ModelResponse) -> Response<Body> {
    let mut response = Response::new(full_body(response.body));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Hash of team, model and the start of the prompt. The team is included so that a team cannot probe which
/// prompts of another team are cached.
pub(crate) fn prompt_prefix(team: Option<&TeamId>, model_request: &ModelRequest) -> PromptPrefix {
    let team = team.map(TeamId::as_str).unwrap_or_default();
    let prompt = model_request.prompt.as_bytes();
    let beginning = prompt.get(..PREFIX_BYTES).unwrap_or(prompt);
    let scoped = [team.as_bytes(), b"\n", model_request.model.as_str().as_bytes(), b"\n", beginning].concat();
    let digest = sha256_hex(&scoped);
    PromptPrefix {
        digest: SmolStr::new(digest.get(..32).unwrap_or(&digest)),
        tokens: model_request.prompt_tokens(),
    }
}
