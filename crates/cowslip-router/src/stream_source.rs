//! A streamed response of a model engine, validated event by event and resumed after an interruption.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cowslip_routing::{EventSplitter, StreamCheck, StreamStep};
use cowslip_units::{ErrorKind, RequestId};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Duration, sleep, timeout};

use crate::buffered_call::{read_body, remaining_ms};
use crate::{CallFault, CallFlight, RouterCore, UpstreamRequest};

/// Timeout in ms between two events. Tokens arrive tens of ms apart; the queueing time before the first token
/// is limited by the deadline.
const EVENT_TIMEOUT_MS: u64 = 4_000;
/// Timeout in ms for a resumed stream to start.
const RESUME_TIMEOUT_MS: u64 = 1_000;
/// Limit of consecutive resumes without a new chunk.
const MAX_RESUMES: u32 = 3;
/// Delay in ms before a repeated resume.
const RESUME_DELAY_MS: u64 = 50;

/// A validated event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Kind of event.
    pub step: StreamStep,
    /// Payload as received from the engine.
    pub data: String,
}

/// An open stream of an engine.
#[derive(Debug)]
pub struct StreamSource {
    core: Arc<RouterCore>,
    request: RequestId,
    address: SocketAddr,
    check: StreamCheck,
    splitter: EventSplitter,
    body: Incoming,
    resumes: u32,
}

impl StreamSource {
    /// Sends the request and waits for the stream to start.
    pub async fn open(
        core: &Arc<RouterCore>,
        flight: &CallFlight,
        request: &UpstreamRequest,
    ) -> Result<Self, CallFault> {
        let now = core.now();
        let message = request.build(flight.address, now).ok_or_else(|| {
            CallFault::new(ErrorKind::BadRequest, "the path or a header cannot be sent upstream")
        })?;
        let wait_ms = remaining_ms(request.deadline, now);
        let response = core.upstreams.send(message, false, wait_ms).await.map_err(CallFault::from_send)?;
        let response = check_status(response).await?;
        if !has_request_id(&response, &request.request) {
            return Err(CallFault::new(ErrorKind::UpstreamGarbled, "the stream is not this request's"));
        }
        Ok(Self {
            core: Arc::clone(core),
            request: request.request.clone(),
            address: flight.address,
            check: StreamCheck::new(request.request.clone()),
            splitter: EventSplitter::new(),
            body: response.into_body(),
            resumes: 0,
        })
    }

    /// Returns the next event that the caller has not received yet, or the end marker. Resumes an interrupted
    /// stream.
    pub async fn next(&mut self) -> Result<StreamEvent, CallFault> {
        loop {
            match self.next_checked().await {
                Ok(event) if event.step == StreamStep::Repeated => {}
                Ok(event) => {
                    self.resumes = 0;
                    return Ok(event);
                }
                Err(fault) => self.resume(fault).await?,
            }
        }
    }

    /// Records that the event was sent to the caller.
    pub fn forwarded(&mut self, step: StreamStep) {
        self.check.forwarded(step);
    }

    /// Prompt and generated tokens so far; estimated from the chunks until the engine reports its usage.
    pub fn used_tokens(&self, prompt_tokens: u64) -> u64 {
        match self.check.usage() {
            Some(usage) => usage.prompt_tokens + usage.completion_tokens,
            None => prompt_tokens + self.check.next_offset(),
        }
    }

    async fn next_checked(&mut self) -> Result<StreamEvent, CallFault> {
        let garbled = |message: String| CallFault::new(ErrorKind::UpstreamGarbled, message);
        loop {
            if let Some(event) = self.splitter.next_event() {
                let data = event.map_err(|fault| garbled(fault.to_string()))?;
                let step = self.check.check(&data).map_err(|fault| garbled(fault.to_string()))?;
                return Ok(StreamEvent { step, data });
            }
            let frame = timeout(Duration::from_millis(EVENT_TIMEOUT_MS), self.body.frame())
                .await
                .map_err(|_| CallFault::new(ErrorKind::UpstreamStalled, "the upstream stopped sending"))?;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        self.splitter.push(&part);
                    }
                }
                Some(Err(error)) => {
                    return Err(CallFault::broken(format!("the upstream cut its stream: {error}")));
                }
                None => {
                    return Err(CallFault::broken("the upstream's stream ended without an end marker"));
                }
            }
        }
    }

    /// Reopens the stream at the next offset; returns `fault` if the stream cannot be resumed.
    async fn resume(&mut self, fault: CallFault) -> Result<(), CallFault> {
        while self.resumes < MAX_RESUMES {
            if self.resumes > 0 {
                sleep(Duration::from_millis(RESUME_DELAY_MS)).await;
            }
            self.resumes += 1;
            self.core.metrics.count("stream_resumes", 1);
            let path = format!("/v1/streams/{}?from={}", self.request, self.check.next_offset());
            let Ok(uri) = format!("http://{}{path}", self.address).parse() else {
                break;
            };
            let mut message = Request::new(Full::new(Bytes::new()));
            *message.method_mut() = Method::GET;
            *message.uri_mut() = uri;
            let Ok(response) = self.core.upstreams.send(message, false, RESUME_TIMEOUT_MS).await else {
                continue;
            };
            if response.status() == StatusCode::OK && has_request_id(&response, &self.request) {
                self.body = response.into_body();
                self.splitter = EventSplitter::new();
                return Ok(());
            }
            if response.status() == StatusCode::NOT_FOUND {
                break;
            }
        }
        Err(fault)
    }
}

/// Converts a response with a status other than 200 to a fault.
async fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, CallFault> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    let body = timeout(Duration::from_millis(EVENT_TIMEOUT_MS), read_body(response.into_body())).await;
    let body = body.ok().and_then(Result::ok).unwrap_or_default();
    Err(status_fault(status, &body))
}

/// Fault for a model engine's response with a status other than 200.
pub(crate) fn status_fault(status: StatusCode, body: &[u8]) -> CallFault {
    if let Some(fault) = CallFault::from_rejection(status.as_u16(), body) {
        return fault;
    }
    if status.is_client_error() {
        let message = format!("the model engine does not accept the request (status {})", status.as_u16());
        return CallFault { is_final: true, ..CallFault::new(ErrorKind::BadRequest, message) };
    }
    CallFault::new(ErrorKind::UpstreamFailed, format!("the upstream failed with status {}", status.as_u16()))
}

fn has_request_id(response: &Response<Incoming>, request: &RequestId) -> bool {
    response.headers().get("x-request-id").is_some_and(|id| id.as_bytes() == request.as_str().as_bytes())
}
