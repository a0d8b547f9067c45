//! The rest of a streamed response, after its first event: whole events are relayed as they arrive. Where the
//! route allows it, a stream that breaks is resumed at another upstream from its last event, and one that falls
//! silent is offered to another upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_entry::{AnswerStage, PartGate, SurvivalWatch};
use cowslip_units::{ClockTime, ErrorKind, UpstreamId};
use slog::{info, warn};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use crate::call_guard::CallGuard;
use crate::cut_cause::CutCause;
use crate::dispatch::{MAX_REFUSED_SENDS, MAX_UNREACHABLE};
use crate::duty_counts::count_stream;
use crate::event_check::last_event_id;
use crate::event_source::{EventSource, NextEvents, QUARANTINED, SILENT, is_broken_off, open_stream};
use crate::gateway::Gateway;
use crate::gateway_metrics::CutLabels;
use crate::outcome_record::{log_outcome, record_outcome, record_undecided};
use crate::part_guard::{TrialGuard, check_parts, record_break, record_survival, wait_until_quarantined};
use crate::plain_call::{AnswerHead, caller_response, failure_outcome, record_response, return_connection};
use crate::request_context::{AdmittedRequest, RequestContext, admit};
use crate::request_progress::RequestProgress;
use crate::request_rejection::RequestRejection;
use crate::response_body::{ResponseAborted, ResponseBody};
use crate::resume_permit::ResumePermit;
use crate::retry_choice::{has_retry, pick_alternative};
use crate::send_outcome::SendOutcome;
use crate::stream_handover::{HandoverOutcome, offer_stream};
use crate::upstream_choice::{UpstreamChoice, choose_upstream, record_send};

/// Silence in ms after which a stream is offered to another upstream, where that is allowed.
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
    /// Whether the present upstream survives the answer.
    watch: SurvivalWatch,
    /// Held until that is known, while the request is the only one with its suspected parts.
    trial: Option<TrialGuard>,
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
            watch: SurvivalWatch::new(),
            trial: None,
        }
    }

    /// Sets the trial that the send has begun.
    #[must_use]
    pub(crate) fn with_trial(mut self, trial: Option<TrialGuard>) -> Self {
        self.trial = trial;
        self
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
        let mut pending = None;
        loop {
            if source.has_begun() {
                self.record_event();
            }
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
                let next = match pending.take() {
                    Some(next) => next,
                    None => self.next_events(&mut source).await,
                };
                match next {
                    NextEvents::Events(events) => break events,
                    NextEvents::End => {
                        self.finish(source);
                        return;
                    }
                    NextEvents::Broken(SILENT) if self.remaining_ms() > 0 => {
                        (source, pending) = self.hand_over(source).await;
                    }
                    NextEvents::Broken(why) => {
                        self.record_end_of(&source, why).await;
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

    /// Next events of a source. One that has not begun is given up when the request is quarantined meanwhile.
    async fn next_events(&self, source: &mut EventSource) -> NextEvents {
        let wait_ms = self.wait_ms();
        if source.has_begun() {
            return source.next(wait_ms).await;
        }
        tokio::select! {
            biased;
            next = source.next(wait_ms) => next,
            () = wait_until_quarantined(&self.gateway, &self.context) => NextEvents::Broken(QUARANTINED),
        }
    }

    /// Records events of the present upstream.
    fn record_event(&mut self) {
        let is_first = !self.watch.has_begun();
        if is_first {
            count_stream(&self.gateway, &self.context, &self.admitted);
        }
        if self.watch.record_event(self.gateway.crash_time()) {
            self.record_survival();
        } else if let Some(trial) = self.trial.as_ref().filter(|_| is_first) {
            trial.record_begin();
        }
    }

    fn record_survival(&mut self) {
        record_survival(&self.gateway, &self.context);
        self.trial = None;
    }

    /// Records the request as a suspect when a broken stream's upstream has ended, unless it had survived the answer.
    async fn record_end_of(&mut self, source: &EventSource, why: &'static str) {
        if is_broken_off(why) && self.watch.is_suspect() {
            let stage = if self.watch.has_begun() { AnswerStage::Begun } else { AnswerStage::Waiting };
            let has_ended = record_break(&self.gateway, &self.context, &source.upstream, stage).await;
            self.progress.is_retry |= has_ended;
        }
        self.trial = None;
    }

    /// Goes on with another upstream.
    fn switch_upstream(&mut self, upstream: &UpstreamId, trial: Option<TrialGuard>) {
        self.watch = SurvivalWatch::new();
        self.trial = trial;
        self.record_resumed(upstream);
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

    fn finish(&mut self, source: EventSource) {
        if self.watch.record_end() {
            self.record_survival();
        }
        let EventSource { upstream, headers, connection, guard, .. } = source;
        drop(guard);
        return_connection(&self.gateway, connection, &headers);
        if self.gateway.may_log() {
            let after_ms = self.gateway.now().since_ms(self.context.arrived_at);
            info!(self.gateway.logger, "stream_ended"; "request" => %self.context.caller.attempt,
                "upstream" => %upstream, "resumed" => self.resumed, "after_ms" => after_ms);
        }
    }

    /// Offers a silent stream to other upstreams until one of them takes it over. The silent upstream is kept
    /// when none does. Returns the upstream that goes on, and what it sent.
    async fn hand_over(&mut self, silent: EventSource) -> (EventSource, Option<NextEvents>) {
        let mut silent = silent;
        loop {
            let (chosen, admitted) = match self.alternative(&silent.upstream) {
                Ok(alternative) => alternative,
                Err(cause) => {
                    self.log_kept(&silent.upstream, cause);
                    return (silent, None);
                }
            };
            let permit = ResumePermit::new(&self.gateway, &self.progress.need.service);
            let opening = self.open_next(&admitted, &chosen, None, &permit);
            let offered = tokio::select! {
                biased;
                outcome = offer_stream(&mut silent, opening, &permit, self.remaining_ms()) => outcome,
                () = wait_until_quarantined(&self.gateway, &self.context) => HandoverOutcome::Unanswered,
            };
            match offered {
                HandoverOutcome::WentOn(next) => {
                    self.withdraw(&chosen, &permit);
                    return (silent, Some(next));
                }
                // One offer for each silence, so that no second one adds to the time at two upstreams.
                HandoverOutcome::Unanswered => {
                    self.withdraw(&chosen, &permit);
                    self.progress.tried.push(chosen);
                    return (silent, None);
                }
                HandoverOutcome::Failed(outcome) => {
                    self.record_broken(&chosen, &outcome).await;
                    self.record_failed(&admitted, &chosen, &outcome);
                    if matches!(outcome, SendOutcome::NotRun(_)) {
                        // Further refusals would use up what a broken stream needs.
                        return (silent, None);
                    }
                }
                HandoverOutcome::TakenOver(source, next) => {
                    let why = silent.fault.unwrap_or(SILENT);
                    self.record_end_of(&silent, why).await;
                    self.release(silent, why, None);
                    self.switch_upstream(&chosen, None);
                    return (*source, Some(next));
                }
            }
        }
    }

    /// Another upstream that can take a silent stream over at once.
    fn alternative(&self, silent: &UpstreamId) -> Result<(UpstreamId, AdmittedRequest), CutCause> {
        let now = self.gateway.now();
        if let Some(cause) = self.obstacle(now) {
            return Err(cause);
        }
        let admitted =
            admit(&self.gateway, &self.context).map_err(|rejection| CutCause::Rejected(rejection.kind))?;
        let gate = check_parts(&self.gateway, &self.context, &self.progress);
        // A suspect is at one upstream at a time.
        if gate.map_err(|rejection| CutCause::Rejected(rejection.kind))? != PartGate::Open {
            return Err(CutCause::NoAlternative);
        }
        let is_target =
            admitted.route.targets.iter().any(|target| target.service == self.progress.need.service);
        let chosen = pick_alternative(&self.gateway, &admitted, &self.progress, silent, now);
        let chosen = chosen.filter(|_| is_target).ok_or(CutCause::NoAlternative)?;
        if let Some(service) = admitted.config.service(&self.progress.need.service) {
            record_send(&self.gateway, service.cold_per_s, &chosen, now);
        }
        Ok((chosen, admitted))
    }

    /// Sends the request to the next upstream, with the id of the last event.
    async fn open_next(
        &self,
        admitted: &AdmittedRequest,
        upstream: &UpstreamId,
        reservation: Option<CallGuard>,
        permit: &ResumePermit,
    ) -> Result<EventSource, SendOutcome> {
        let (gateway, progress) = (&self.gateway, &self.progress);
        let model = progress.need.model.as_ref();
        let guard = reservation.unwrap_or_else(|| CallGuard::new(gateway, upstream, model));
        let guard = guard.with_tokens(progress.need.tokens());
        let sent_at = gateway.now();
        let may_write = || permit.take();
        let opened =
            open_stream(gateway, &self.context, admitted, progress, upstream, guard, may_write).await;
        let source = opened?;
        let first_byte_ms = gateway.now().since_ms(sent_at);
        let answer = AnswerHead { status: source.status, headers: &source.headers, first_byte_ms };
        record_response(gateway, &self.context, admitted, upstream, answer);
        if source.status.is_success() {
            return Ok(source);
        }
        let body = ResponseBody::buffered("");
        Err(failure_outcome(caller_response(source.status, &source.headers, body)))
    }

    /// Records that an offer was withdrawn. A request that was written may have run.
    fn withdraw(&mut self, upstream: &UpstreamId, permit: &ResumePermit) {
        record_undecided(&self.gateway, upstream, self.gateway.now());
        if permit.is_taken() {
            self.progress.runs += 1;
        }
    }

    /// Records the request as a suspect when an upstream that was to go on with it has ended.
    async fn record_broken(&mut self, upstream: &UpstreamId, outcome: &SendOutcome) {
        if matches!(outcome, SendOutcome::Broken) {
            let has_ended = record_break(&self.gateway, &self.context, upstream, AnswerStage::Waiting).await;
            self.progress.is_retry |= has_ended;
        }
    }

    fn record_failed(&mut self, admitted: &AdmittedRequest, upstream: &UpstreamId, outcome: &SendOutcome) {
        log_outcome(&self.gateway, &self.context, admitted, &self.progress, upstream, outcome);
        record_outcome(&self.gateway, &self.progress, upstream, outcome);
        self.progress.count(upstream, outcome);
    }

    fn record_resumed(&mut self, upstream: &UpstreamId) {
        self.resumed = true;
        self.progress.runs += 1;
        self.gateway.metrics.resumes.inc();
        if self.gateway.may_log() {
            info!(self.gateway.logger, "stream_resumed"; "request" => %self.context.caller.attempt,
                "upstream" => %upstream, "runs" => self.progress.runs, "left_ms" => self.remaining_ms());
        }
    }

    fn log_kept(&self, silent: &UpstreamId, cause: CutCause) {
        if self.gateway.may_log() {
            info!(self.gateway.logger, "stream_kept"; "request" => %self.context.caller.attempt,
                "upstream" => %silent, "why" => %cause, "left_ms" => self.remaining_ms());
        }
    }

    /// Closes an upstream that no longer serves the stream. `obstacle` forbids to resume the stream.
    fn release(&mut self, source: EventSource, why: &'static str, obstacle: Option<CutCause>) {
        let EventSource { upstream, connection, guard, .. } = source;
        connection.close();
        drop(guard);
        if why == QUARANTINED {
            record_undecided(&self.gateway, &upstream, self.gateway.now());
        } else if let Some(known) = self.gateway.lock().upstreams.get_mut(&upstream) {
            known.record_failure(self.gateway.now());
        }
        if self.gateway.may_log() {
            warn!(self.gateway.logger, "stream_broken"; "request" => %self.context.caller.attempt,
                "upstream" => %upstream, "why" => why, "resumes" => obstacle.is_none(),
                "last_event" => self.progress.last_event.as_deref(), "runs" => self.progress.runs,
                "left_ms" => self.remaining_ms(), "config" => self.gateway.lock().config_version());
        }
        self.progress.tried.push(upstream);
    }

    /// Resumes a broken stream at another upstream from the last event.
    async fn resume(&mut self, source: EventSource, why: &'static str) -> Result<EventSource, CutCause> {
        let gateway = Arc::clone(&self.gateway);
        let obstacle = if why == SILENT { Some(CutCause::Deadline) } else { self.obstacle(gateway.now()) };
        self.release(source, why, obstacle);
        let mut failed = None;
        loop {
            if let Some(cause) = obstacle.or_else(|| self.obstacle(gateway.now())) {
                return Err(failed.unwrap_or(cause));
            }
            let rejected = |rejection: RequestRejection| CutCause::Rejected(rejection.kind);
            let admitted = admit(&gateway, &self.context).map_err(rejected)?;
            let chosen = choose_upstream(&gateway, &self.context, admitted, &mut self.progress).await;
            let UpstreamChoice { upstream: chosen, admitted, trial, reservation } =
                chosen.map_err(rejected)?;
            let permit = ResumePermit::new(&gateway, &self.progress.need.service);
            match self.open_in_time(&admitted, &chosen, reservation, &permit).await {
                Ok(source) => {
                    self.switch_upstream(&chosen, trial);
                    return Ok(source);
                }
                Err(outcome) => {
                    failed = CutCause::of_outcome(&outcome).or(failed);
                    self.record_broken(&chosen, &outcome).await;
                    self.record_failed(&admitted, &chosen, &outcome);
                }
            }
        }
    }

    /// Opens the stream at the next upstream, unless the deadline is reached or the request quarantined before.
    async fn open_in_time(
        &self,
        admitted: &AdmittedRequest,
        upstream: &UpstreamId,
        reservation: Option<CallGuard>,
        permit: &ResumePermit,
    ) -> Result<EventSource, SendOutcome> {
        let opening = self.open_next(admitted, upstream, reservation, permit);
        let opened = timeout(Duration::from_millis(self.remaining_ms()), opening);
        tokio::select! {
            biased;
            opened = opened => opened.unwrap_or(Err(SendOutcome::Lost(ErrorKind::DeadlineExceeded))),
            () = wait_until_quarantined(&self.gateway, &self.context) => Err(SendOutcome::Withdrawn),
        }
    }

    /// What forbids to send the request to another upstream.
    fn obstacle(&self, now: ClockTime) -> Option<CutCause> {
        let (route, progress) = (&self.admitted.route, &self.progress);
        if !route.is_retryable() || progress.last_event.is_none() {
            Some(CutCause::NotResumable)
        } else if progress.runs >= route.max_attempts {
            Some(CutCause::AttemptsUsed)
        } else if now >= progress.limit.reject_at() {
            Some(CutCause::Deadline)
        } else if progress.refused > MAX_REFUSED_SENDS {
            Some(CutCause::Refused)
        } else if progress.unreached > MAX_UNREACHABLE {
            Some(CutCause::Unreachable)
        } else if !has_retry(&self.gateway, &progress.need.service, now) {
            Some(CutCause::NoRetryLeft)
        } else {
            None
        }
    }
}
