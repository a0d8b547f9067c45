//! Streamed responses. The first event is awaited before the caller gets a response head, then whole events
//! are relayed as they arrive. A stream that breaks is resumed at another upstream from its last event, where
//! the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cowslip_adapter::event_id;
use cowslip_units::{ErrorKind, UpstreamId};
use http::StatusCode;
use http::header::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout;

use crate::answer_body::{AnswerBody, CutOff};
use crate::dispatch::{CallGuard, RequestFlight, SendOutcome, choose, has_alternative, may_repeat};
use crate::gateway_state::Gateway;
use crate::plain_call::{
    HeadCheck, caller_answer, note_answer, noted_head, put_back, read_whole, refused, send_target,
    unanswered, with_patience,
};
use crate::request_context::{AdmittedRequest, RequestContext, admit, may_send};
use crate::upstream_pool::UpstreamConnection;
use crate::upstream_request::upstream_request;

/// Chunks buffered for a slow caller.
const QUEUED_PIECES: usize = 16;

/// Longest event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Silence in ms after which a stream is resumed at another upstream, where that is allowed.
const SILENCE_MS: u64 = 1_200;

/// Reason logged for a source that sent nothing for too long.
const SILENT: &str = "silent";

/// Events that are ready this many ms after a request's deadline are still relayed.
const READY_MS: u64 = 300;

/// Timeout of the first event as a multiple of the route's objective, where the request may be retried.
const FIRST_FACTOR: u64 = 2;

/// Shortest timeout of the first event, in ms.
const LEAST_FIRST_MS: u64 = 1_000;

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
            let known = self.partial.len().saturating_sub(1);
            self.partial.extend_from_slice(&data);
            if self.partial.len() > MAX_EVENT_BYTES {
                return NextEvents::Broken("too long");
            }
            if let Some(end) = self.partial.get(known..).and_then(last_event_end) {
                return NextEvents::Events(self.partial.split_to(known + end).freeze());
            }
        }
    }
}

/// Offset after the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2)
}

/// Id of the last of some complete events.
fn last_id(events: &[u8]) -> Option<SmolStr> {
    let body = events.strip_suffix(b"\n\n").unwrap_or(events);
    let start = body.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
    event_id(body.get(start..).unwrap_or_default())
}

/// Opens the stream and returns a response that starts with its first events.
pub(crate) async fn stream_call(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    flight: &RequestFlight,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> SendOutcome {
    let sent_at = gateway.now();
    let end_ms = flight.limit.end_by.since_ms(sent_at);
    let again = admitted.route.is_retryable() && flight.runs + 1 < admitted.route.max_attempts;
    let patience_ms = (admitted.route.objective_ms * FIRST_FACTOR).max(LEAST_FIRST_MS);
    let wait_ms = if again { end_ms.min(patience_ms) } else { end_ms };
    let opened = async {
        let mut source = match open(gateway, context, admitted, flight, upstream, guard).await {
            Ok(source) => source,
            Err(outcome) => return Err(outcome),
        };
        if !source.status.is_success() {
            return Ok((source, NextEvents::End));
        }
        let first = source.next(end_ms).await;
        Ok((source, first))
    };
    let gives_up = || has_alternative(gateway, admitted, flight, flight.runs + 1, upstream);
    let (source, first) = match with_patience(opened, wait_ms, end_ms, gives_up).await {
        Some(Ok(opened)) => opened,
        Some(Err(outcome)) => return outcome,
        None => return SendOutcome::Lost(ErrorKind::DeadlineExceeded),
    };
    let first_ms = gateway.now().since_ms(sent_at);
    if !source.status.is_success() {
        let left_ms = flight.limit.end_by.since_ms(gateway.now());
        let read = timeout(Duration::from_millis(left_ms), failed_answer(gateway, source, first_ms)).await;
        return read.unwrap_or(SendOutcome::Lost(ErrorKind::DeadlineExceeded));
    }
    match first {
        NextEvents::Events(events) => {
            note_answer(gateway, upstream, source.status, &source.headers, first_ms);
            let (sender, receiver) = mpsc::channel(QUEUED_PIECES);
            let response = caller_answer(source.status, &source.headers, AnswerBody::Pieces(receiver));
            let relay = StreamRelay {
                gateway: Arc::clone(gateway),
                context: context.clone(),
                admitted: admitted.clone(),
                flight: resumed_flight(flight),
                sender,
                resumed: false,
            };
            tokio::spawn(relay.run(source, events));
            SendOutcome::Answered(response)
        }
        NextEvents::End => {
            note_answer(gateway, upstream, source.status, &source.headers, first_ms);
            let response = caller_answer(source.status, &source.headers, AnswerBody::whole(""));
            put_back(gateway, source.connection, &source.headers);
            SendOutcome::Answered(response)
        }
        NextEvents::Broken(_) => SendOutcome::Lost(ErrorKind::UpstreamFailed),
    }
}

/// State of a stream whose caller already has a response head: it may be resumed until the request's
/// deadline.
fn resumed_flight(flight: &RequestFlight) -> RequestFlight {
    let mut limit = flight.limit;
    limit.begin_by = limit.end_by;
    RequestFlight {
        need: flight.need.clone(),
        limit,
        tried: flight.tried.clone(),
        runs: flight.runs + 1,
        refused: flight.refused,
        unreached: flight.unreached,
        waited_ms: flight.waited_ms,
        cause: flight.cause,
        last_event: flight.last_event.clone(),
    }
}

/// Sends the request and checks the response head.
async fn open(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    flight: &RequestFlight,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> Result<EventSource, SendOutcome> {
    let now = gateway.now();
    let (address, start) = send_target(gateway, upstream).ok_or(SendOutcome::NotSent)?;
    let last_event = flight.last_event.as_deref();
    let request = upstream_request(context, admitted, &flight.limit, upstream, last_event, now);
    let request = request.map_err(|_| SendOutcome::NotSent)?;
    let allowed = || may_send(gateway, context, upstream, now);
    let sent = gateway.pool.send(address, request, allowed).await;
    let (response, connection) = sent.map_err(|fault| unanswered(&fault))?;
    let (parts, body) = response.into_parts();
    match noted_head(gateway, context, &start, parts.status, &parts.headers) {
        HeadCheck::NotRun(misplaced) => {
            refused(gateway, connection, body, &parts.headers, context).await;
            Err(SendOutcome::NotRun(misplaced))
        }
        HeadCheck::Foreign => {
            connection.close();
            Err(SendOutcome::Lost(ErrorKind::UpstreamGarbled))
        }
        HeadCheck::Sound => Ok(EventSource {
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
async fn failed_answer(gateway: &Arc<Gateway>, source: EventSource, first_ms: u64) -> SendOutcome {
    let EventSource { upstream, headers, status, body, connection, guard, .. } = source;
    drop(guard);
    note_answer(gateway, &upstream, status, &headers, first_ms);
    match read_whole(body).await {
        Ok(body) => {
            put_back(gateway, connection, &headers);
            SendOutcome::Failure(caller_answer(status, &headers, AnswerBody::whole(body)))
        }
        Err(_) => SendOutcome::Lost(ErrorKind::UpstreamFailed),
    }
}

/// Relays a stream to its caller.
struct StreamRelay {
    gateway: Arc<Gateway>,
    context: RequestContext,
    admitted: AdmittedRequest,
    flight: RequestFlight,
    sender: Sender<Result<Bytes, CutOff>>,
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
            if let Some(id) = last_id(&events) {
                self.flight.last_event = Some(id);
            }
            if self.sender.send(Ok(events)).await.is_err() {
                return;
            }
            events = loop {
                if self.is_over() {
                    // Without this check, an upstream whose events are always ready could stream without end.
                    self.cut("over").await;
                    return;
                }
                let mut next = source.next(self.wait_ms()).await;
                if matches!(next, NextEvents::Broken(SILENT)) && !self.may_go_on_elsewhere(&source.upstream) {
                    next = source.next(self.left_ms()).await;
                }
                match next {
                    NextEvents::Events(events) => break events,
                    NextEvents::End => {
                        self.end(source);
                        return;
                    }
                    NextEvents::Broken(why) => match self.resume(source, why).await {
                        Some(next) => source = next,
                        None => {
                            self.cut("not resumed").await;
                            return;
                        }
                    },
                }
            };
        }
    }

    /// Aborts the response, so that the caller can tell that it is incomplete.
    async fn cut(&self, why: &'static str) {
        if self.gateway.may_log() {
            warn!(self.gateway.logger, "stream_cut"; "request" => %self.context.caller.attempt, "why" => why);
        }
        // The caller may have disconnected already.
        drop(self.sender.send(Err(CutOff)).await);
    }

    /// True when the deadline has passed, including the extra time for events that are ready.
    fn is_over(&self) -> bool {
        self.gateway.now() >= self.flight.limit.end_by.plus_ms(READY_MS)
    }

    /// Time in ms until the request's deadline.
    fn left_ms(&self) -> u64 {
        self.flight.limit.end_by.since_ms(self.gateway.now())
    }

    /// Timeout in ms of the next events.
    fn wait_ms(&self) -> u64 {
        let again = self.admitted.route.is_retryable() && self.flight.runs < self.admitted.route.max_attempts;
        if again { self.left_ms().min(SILENCE_MS) } else { self.left_ms() }
    }

    /// True when a silent upstream should be abandoned for another one.
    fn may_go_on_elsewhere(&self, silent: &UpstreamId) -> bool {
        has_alternative(&self.gateway, &self.admitted, &self.flight, self.flight.runs, silent)
    }

    fn end(&self, source: EventSource) {
        let EventSource { upstream, headers, connection, guard, .. } = source;
        drop(guard);
        put_back(&self.gateway, connection, &headers);
        if self.gateway.may_log() {
            let after_ms = self.gateway.now().since_ms(self.context.arrived_at);
            info!(self.gateway.logger, "stream_ended"; "request" => %self.context.caller.attempt,
                "upstream" => %upstream, "resumed" => self.resumed, "after_ms" => after_ms);
        }
    }

    /// Resumes the stream at another upstream from the last event.
    async fn resume(&mut self, source: EventSource, why: &'static str) -> Option<EventSource> {
        let gateway = Arc::clone(&self.gateway);
        let now = gateway.now();
        let upstream = source.upstream.clone();
        source.connection.close();
        drop(source.guard);
        if let Some(known) = gateway.lock().book.get_mut(&upstream) {
            known.failed(now);
        }
        self.flight.tried.push(upstream.clone());
        let resumes =
            self.flight.last_event.is_some() && may_repeat(&gateway, &self.admitted, &self.flight, now);
        if gateway.may_log() {
            warn!(gateway.logger, "stream_broken"; "request" => %self.context.caller.attempt,
                "upstream" => %upstream, "why" => why, "resumes" => resumes,
                "last_event" => self.flight.last_event.as_deref(), "runs" => self.flight.runs);
        }
        if !resumes {
            return None;
        }
        self.resumed = true;
        loop {
            let admitted = admit(&gateway, &self.context).ok()?;
            let (chosen, admitted) =
                choose(&gateway, &self.context, admitted, &mut self.flight).await.ok()?;
            let guard = CallGuard::new(&gateway, &chosen, self.flight.need.model.as_ref());
            match open(&gateway, &self.context, &admitted, &self.flight, &chosen, guard).await {
                Ok(source) if source.status.is_success() => {
                    gateway.metrics.resumes.inc();
                    self.flight.runs += 1;
                    return Some(source);
                }
                Err(SendOutcome::NotSent) if self.flight.unreached < 3 => {
                    self.flight.unreached += 1;
                    if let Some(known) = gateway.lock().book.get_mut(&chosen) {
                        known.unreachable(gateway.clock.now());
                    }
                }
                Err(SendOutcome::Withheld) => {}
                Ok(_) | Err(_) => return None,
            }
        }
    }
}
