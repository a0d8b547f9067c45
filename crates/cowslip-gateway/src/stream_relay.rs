//! Streamed responses. The first event is awaited before the caller gets a response head, then whole events
//! are relayed as they arrive. A stream that breaks is resumed at another upstream from its last event, where
//! the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cowslip_adapter::event_id;
use cowslip_units::{ClockTime, ErrorKind, UpstreamId};
use http::StatusCode;
use http::header::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout;

use crate::cut_cause::CutCause;
use crate::dispatch::{CallGuard, RequestProgress, SendOutcome, choose_upstream, has_alternative, may_retry};
use crate::gateway_metrics::CutLabels;
use crate::gateway_state::Gateway;
use crate::plain_call::{
    HeadCheck, caller_response, check_and_record_head, fault_outcome, read_full_body, record_response,
    return_connection, return_refused_connection, send_target, wait_or_abandon,
};
use crate::request_context::{AdmittedRequest, RequestContext, admit, may_send};
use crate::request_rejection::RequestRejection;
use crate::response_body::{ResponseAborted, ResponseBody};
use crate::upstream_pool::UpstreamConnection;
use crate::upstream_request::upstream_request;

/// Chunks buffered for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Longest event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Silence in ms after which a stream is resumed at another upstream, where that is allowed.
const STALL_TIMEOUT_MS: u64 = 1_200;

/// Reason logged for a source that sent nothing for too long.
const SILENT: &str = "silent";

/// Events that are ready this many ms after a request's deadline are still relayed.
const DEADLINE_GRACE_MS: u64 = 300;

/// Timeout of the first event as a multiple of the route's latency objective, where the request may be
/// retried.
const FIRST_EVENT_FACTOR: u64 = 2;

/// Shortest timeout of the first event, in ms.
const MIN_FIRST_EVENT_MS: u64 = 1_000;

/// An event stream from one upstream.
#[derive(Debug)]
struct EventSource {
    upstream: UpstreamId,
    headers: HeaderMap,
    status: StatusCode,
    body: Incoming,
    connection: UpstreamConnection,
    /// Bytes of an incomplete event.
    partial: BytesMut,
    guard: CallGuard,
}

/// Result of waiting for events.
enum NextEvents {
    /// One or more complete events.
    Events(Bytes),
    /// The upstream ended the stream properly.
    End,
    /// The stream broke or stalled; holds the reason.
    Broken(&'static str),
}

impl EventSource {
    /// Waits at most `wait_ms` for complete events. Bytes of an event that is never completed do not count as
    /// progress.
    async fn next(&mut self, wait_ms: u64) -> NextEvents {
        let next = timeout(Duration::from_millis(wait_ms), self.read_events()).await;
        next.unwrap_or(NextEvents::Broken(SILENT))
    }

    async fn read_events(&mut self) -> NextEvents {
        loop {
            let frame = match self.body.frame().await {
                Some(Err(_)) => return NextEvents::Broken("broken"),
                None if self.partial.is_empty() => return NextEvents::End,
                None => return NextEvents::Broken("partial"),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            // The earlier bytes hold no event end, but may end with its first byte.
            let scanned = self.partial.len().saturating_sub(1);
            self.partial.extend_from_slice(&data);
            if self.partial.len() > MAX_EVENT_BYTES {
                return NextEvents::Broken("too long");
            }
            if let Some(end) = self.partial.get(scanned..).and_then(last_event_end) {
                return NextEvents::Events(self.partial.split_to(scanned + end).freeze());
            }
        }
    }
}

/// Offset after the last complete event; `None` when there is none.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2)
}

/// Id of the last event in a sequence of complete events.
fn last_event_id(events: &[u8]) -> Option<SmolStr> {
    let body = events.strip_suffix(b"\n\n").unwrap_or(events);
    let start = body.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
    event_id(body.get(start..).unwrap_or_default())
}

/// Opens the stream and returns a response that starts with its first events.
pub(crate) async fn stream_call(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> SendOutcome {
    let sent_at = gateway.now();
    let end_ms = progress.limit.end_by.since_ms(sent_at);
    let can_retry = admitted.route.is_retryable() && progress.runs + 1 < admitted.route.max_attempts;
    let abandon_after_ms = (admitted.route.objective_ms * FIRST_EVENT_FACTOR).max(MIN_FIRST_EVENT_MS);
    let wait_ms = if can_retry { end_ms.min(abandon_after_ms) } else { end_ms };
    let opened = async {
        let mut source = match open_stream(gateway, context, admitted, progress, upstream, guard).await {
            Ok(source) => source,
            Err(outcome) => return Err(outcome),
        };
        if !source.status.is_success() {
            return Ok((source, NextEvents::End));
        }
        let first = source.next(end_ms).await;
        Ok((source, first))
    };
    let should_abandon = || has_alternative(gateway, admitted, progress, progress.runs + 1, upstream);
    let (source, first) = match wait_or_abandon(opened, wait_ms, end_ms, should_abandon).await {
        Some(Ok(opened)) => opened,
        Some(Err(outcome)) => return outcome,
        None => return SendOutcome::Lost(ErrorKind::DeadlineExceeded),
    };
    let first_byte_ms = gateway.now().since_ms(sent_at);
    if !source.status.is_success() {
        let left_ms = progress.limit.end_by.since_ms(gateway.now());
        let read =
            timeout(Duration::from_millis(left_ms), failed_response(gateway, source, first_byte_ms)).await;
        return read.unwrap_or(SendOutcome::Lost(ErrorKind::DeadlineExceeded));
    }
    match first {
        NextEvents::Events(events) => {
            record_response(gateway, upstream, source.status, &source.headers, first_byte_ms);
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
            let response = caller_response(source.status, &source.headers, ResponseBody::Streamed(receiver));
            let relay = StreamRelay {
                gateway: Arc::clone(gateway),
                context: context.clone(),
                admitted: admitted.clone(),
                progress: resumed_progress(progress),
                sender,
                resumed: false,
            };
            tokio::spawn(relay.run(source, events));
            SendOutcome::Answered(response)
        }
        NextEvents::End => {
            record_response(gateway, upstream, source.status, &source.headers, first_byte_ms);
            let response = caller_response(source.status, &source.headers, ResponseBody::buffered(""));
            return_connection(gateway, source.connection, &source.headers);
            SendOutcome::Answered(response)
        }
        NextEvents::Broken(_) => SendOutcome::Lost(ErrorKind::UpstreamFailed),
    }
}

/// State of a stream whose caller already has a response head: it may be resumed until the request's
/// deadline.
fn resumed_progress(progress: &RequestProgress) -> RequestProgress {
    let mut limit = progress.limit;
    limit.begin_by = limit.end_by;
    RequestProgress {
        need: progress.need.clone(),
        limit,
        tried: progress.tried.clone(),
        runs: progress.runs + 1,
        refused: progress.refused,
        unreached: progress.unreached,
        waited_ms: progress.waited_ms,
        cause: progress.cause,
        last_event: progress.last_event.clone(),
    }
}

/// Sends the request and checks the response head.
async fn open_stream(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> Result<EventSource, SendOutcome> {
    let now = gateway.now();
    let (address, start) = send_target(gateway, upstream).ok_or(SendOutcome::NotSent)?;
    let last_event = progress.last_event.as_deref();
    let request = upstream_request(context, admitted, &progress.limit, upstream, last_event, now);
    let request = request.map_err(|_| SendOutcome::NotSent)?;
    let allowed = || may_send(gateway, context, upstream, now);
    let sent = gateway.pool.send(address, request, allowed).await;
    let (response, connection) = sent.map_err(|fault| fault_outcome(&fault))?;
    let (parts, body) = response.into_parts();
    match check_and_record_head(gateway, context, &start, parts.status, &parts.headers) {
        HeadCheck::NotRun(misplaced) => {
            return_refused_connection(gateway, connection, body, &parts.headers, context).await;
            Err(SendOutcome::NotRun(misplaced))
        }
        HeadCheck::Mismatched => {
            connection.close();
            Err(SendOutcome::Lost(ErrorKind::UpstreamGarbled))
        }
        HeadCheck::Valid => Ok(EventSource {
            upstream: upstream.clone(),
            headers: parts.headers,
            status: parts.status,
            body,
            connection,
            partial: BytesMut::new(),
            guard,
        }),
    }
}

/// Reads the whole response of an upstream that failed by itself.
async fn failed_response(gateway: &Arc<Gateway>, source: EventSource, first_byte_ms: u64) -> SendOutcome {
    let EventSource { upstream, headers, status, body, connection, guard, .. } = source;
    drop(guard);
    record_response(gateway, &upstream, status, &headers, first_byte_ms);
    match read_full_body(body).await {
        Ok(body) => {
            return_connection(gateway, connection, &headers);
            SendOutcome::Failure(caller_response(status, &headers, ResponseBody::buffered(body)))
        }
        Err(_) => SendOutcome::Lost(ErrorKind::UpstreamFailed),
    }
}

/// Relays a stream to its caller.
struct StreamRelay {
    gateway: Arc<Gateway>,
    context: RequestContext,
    admitted: AdmittedRequest,
    progress: RequestProgress,
    sender: Sender<Result<Bytes, ResponseAborted>>,
    resumed: bool,
}

impl StreamRelay {
    async fn run(mut self, source: EventSource, first: Bytes) {
        let sender = self.sender.clone();
        let left = sender.closed();
        tokio::select! {
            () = self.relay(source, first) => {}
            // The caller disconnected: dropping the source closes the upstream connection.
            () = left => {
                if self.gateway.may_log() {
                    info!(self.gateway.logger, "caller_left"; "request" => %self.context.caller.attempt);
                }
            }
        }
    }

    async fn relay(&mut self, source: EventSource, first: Bytes) {
        let mut source = source;
        let mut events = first;
        loop {
            if let Some(id) = last_event_id(&events) {
                self.progress.last_event = Some(id);
            }
            if self.sender.send(Ok(events)).await.is_err() {
                return;
            }
            events = loop {
                if self.is_past_deadline() {
                    // Without this check, an upstream whose events are always ready could stream without end.
                    self.abort(CutCause::Deadline, &source.upstream).await;
                    return;
                }
                let mut next = source.next(self.wait_ms()).await;
                if matches!(next, NextEvents::Broken(SILENT)) && !self.can_switch_upstream(&source.upstream) {
                    next = source.next(self.remaining_ms()).await;
                }
                match next {
                    NextEvents::Events(events) => break events,
                    NextEvents::End => {
                        self.finish(source);
                        return;
                    }
                    NextEvents::Broken(why) => {
                        let broken = source.upstream.clone();
                        match self.resume(source, why).await {
                            Ok(next) => source = next,
                            Err(cause) => {
                                self.abort(cause, &broken).await;
                                return;
                            }
                        }
                    }
                }
            };
        }
    }

    /// Aborts the response, so that the caller can tell that it is incomplete.
    async fn abort(&self, cause: CutCause, upstream: &UpstreamId) {
        self.gateway.metrics.stream_cuts.get_or_create(&CutLabels { cause: cause.as_str() }).inc();
        if self.gateway.may_log() {
            let now = self.gateway.now();
            warn!(self.gateway.logger, "stream_cut"; "request" => %self.context.caller.attempt, "why" => %cause,
                "upstream" => %upstream, "runs" => self.progress.runs, "refused" => self.progress.refused,
                "unreached" => self.progress.unreached, "after_ms" => now.since_ms(self.context.arrived_at),
                "left_ms" => self.remaining_ms(), "config_at_arrival" => self.admitted.config.version(),
                "config" => self.gateway.lock().config_version());
        }
        // The caller may have disconnected already.
        drop(self.sender.send(Err(ResponseAborted)).await);
    }

    /// True when the deadline has passed, including the extra time for events that are ready.
    fn is_past_deadline(&self) -> bool {
        self.gateway.now() >= self.progress.limit.end_by.plus_ms(DEADLINE_GRACE_MS)
    }

    /// Time in ms until the request's deadline.
    fn remaining_ms(&self) -> u64 {
        self.progress.limit.end_by.since_ms(self.gateway.now())
    }

    /// Timeout in ms of the next events.
    fn wait_ms(&self) -> u64 {
        let can_retry =
            self.admitted.route.is_retryable() && self.progress.runs < self.admitted.route.max_attempts;
        if can_retry { self.remaining_ms().min(STALL_TIMEOUT_MS) } else { self.remaining_ms() }
    }

    /// True when a silent upstream should be abandoned for another one.
    fn can_switch_upstream(&self, silent: &UpstreamId) -> bool {
        has_alternative(&self.gateway, &self.admitted, &self.progress, self.progress.runs, silent)
    }

    fn finish(&self, source: EventSource) {
        let EventSource { upstream, headers, connection, guard, .. } = source;
        drop(guard);
        return_connection(&self.gateway, connection, &headers);
        if self.gateway.may_log() {
            let after_ms = self.gateway.now().since_ms(self.context.arrived_at);
            info!(self.gateway.logger, "stream_ended"; "request" => %self.context.caller.attempt,
                "upstream" => %upstream, "resumed" => self.resumed, "after_ms" => after_ms);
        }
    }

    /// Resumes the stream at another upstream from the last event.
    async fn resume(&mut self, source: EventSource, why: &'static str) -> Result<EventSource, CutCause> {
        let gateway = Arc::clone(&self.gateway);
        let now = gateway.now();
        let upstream = source.upstream.clone();
        source.connection.close();
        drop(source.guard);
        if let Some(known) = gateway.lock().upstreams.get_mut(&upstream) {
            known.record_failure(now);
        }
        self.progress.tried.push(upstream.clone());
        let obstacle = self.take_resume(now).err();
        if gateway.may_log() {
            warn!(gateway.logger, "stream_broken"; "request" => %self.context.caller.attempt,
                "upstream" => %upstream, "why" => why, "resumes" => obstacle.is_none(),
                "last_event" => self.progress.last_event.as_deref(), "runs" => self.progress.runs,
                "left_ms" => self.remaining_ms(), "config" => gateway.lock().config_version());
        }
        if let Some(cause) = obstacle {
            return Err(cause);
        }
        self.resumed = true;
        loop {
            let rejected = |rejection: RequestRejection| CutCause::Rejected(rejection.kind);
            let admitted = admit(&gateway, &self.context).map_err(rejected)?;
            let chosen = choose_upstream(&gateway, &self.context, admitted, &mut self.progress).await;
            let (chosen, admitted) = chosen.map_err(rejected)?;
            let guard = CallGuard::new(&gateway, &chosen, self.progress.need.model.as_ref());
            match open_stream(&gateway, &self.context, &admitted, &self.progress, &chosen, guard).await {
                Ok(source) if source.status.is_success() => {
                    gateway.metrics.resumes.inc();
                    self.progress.runs += 1;
                    return Ok(source);
                }
                Err(SendOutcome::NotSent) if self.progress.unreached < 3 => {
                    self.progress.unreached += 1;
                    if let Some(known) = gateway.lock().upstreams.get_mut(&chosen) {
                        known.record_unreachable(gateway.clock.now());
                    }
                }
                Err(SendOutcome::Withheld) => {}
                Err(SendOutcome::NotSent) => return Err(CutCause::Unreachable),
                Err(SendOutcome::NotRun(_)) => return Err(CutCause::Refused),
                Err(_) => return Err(CutCause::Lost),
                Ok(_) => return Err(CutCause::Failed),
            }
        }
    }

    /// Takes a retry for resuming the stream; otherwise tells what forbids it.
    fn take_resume(&self, now: ClockTime) -> Result<(), CutCause> {
        if !self.admitted.route.is_retryable() || self.progress.last_event.is_none() {
            return Err(CutCause::NotResumable);
        }
        if self.progress.runs >= self.admitted.route.max_attempts {
            return Err(CutCause::AttemptsUsed);
        }
        if now >= self.progress.limit.reject_at() {
            return Err(CutCause::Deadline);
        }
        let taken = may_retry(&self.gateway, &self.admitted, &self.progress, now);
        if taken { Ok(()) } else { Err(CutCause::NoRetryLeft) }
    }
}
