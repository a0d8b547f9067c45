//! The rest of a streamed response, after its first event: whole events are relayed as they arrive. A stream
//! that breaks is resumed at another upstream from its last event, where the route allows it.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_units::{ClockTime, UpstreamId};
use slog::{info, warn};
use tokio::sync::mpsc::Sender;

use crate::cut_cause::CutCause;
use crate::dispatch::{CallGuard, RequestProgress, SendOutcome, choose_upstream, has_alternative, may_retry};
use crate::event_check::last_event_id;
use crate::event_source::{EventSource, NextEvents, SILENT, open_stream};
use crate::gateway_metrics::CutLabels;
use crate::gateway_state::Gateway;
use crate::plain_call::return_connection;
use crate::request_context::{AdmittedRequest, RequestContext, admit};
use crate::request_rejection::RequestRejection;
use crate::response_body::ResponseAborted;

/// Silence in ms after which a stream is resumed at another upstream, where that is allowed.
const STALL_TIMEOUT_MS: u64 = 1_200;

/// Events that are ready this many ms after a request's deadline are still relayed.
const DEADLINE_GRACE_MS: u64 = 300;

/// Relays a stream to its caller.
pub(crate) struct StreamRelay {
    gateway: Arc<Gateway>,
    context: RequestContext,
    admitted: AdmittedRequest,
    progress: RequestProgress,
    sender: Sender<Result<Bytes, ResponseAborted>>,
    resumed: bool,
}

impl StreamRelay {
    /// A relay to the caller that reads from `sender`'s other end; `progress` counts the send that began the
    /// stream.
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        context: &RequestContext,
        admitted: &AdmittedRequest,
        progress: RequestProgress,
        sender: Sender<Result<Bytes, ResponseAborted>>,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            context: context.clone(),
            admitted: admitted.clone(),
            progress,
            sender,
            resumed: false,
        }
    }

    /// Relays `first` and all further events of `source`, until the stream ends or its caller disconnects.
    pub(crate) async fn run(mut self, source: EventSource, first: Bytes) {
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
