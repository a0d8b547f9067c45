//! Waits for an upstream, sends the request, and decides what follows a failed send.
//!
//! A request that is not idempotent is sent again only when none of it was written, or when the upstream
//! reported that it did not run it. All other failures are answered with 502 or 504, which do not claim that
//! the request did not run.

use std::sync::{Arc, Weak};
use std::time::Duration;

use cowslip_entry::{
    ModelNeed, RequestNeed, RouteKind, ServiceRule, UpstreamPick, WaitCause, WaitLimit, jittered_ms,
    text_hash,
};
use cowslip_units::{ClockTime, ErrorKind, PartId, ServiceId, UpstreamId};
use http::{Response, StatusCode};
use slog::{info, warn};
use tokio::time::timeout;

use crate::gateway_metrics::OutcomeLabels;
use crate::gateway_state::Gateway;
use crate::plain_call::send_target;
use crate::request_context::{AdmittedRequest, RequestContext, admit};
use crate::request_flow::route_kind_name;
use crate::request_rejection::RequestRejection;
use crate::response_body::ResponseBody;
use crate::slow_call::{CallEnd, call_or_take_over};
use crate::stream_call::stream_call;

/// Sends that upstreams refuse without running the request, on top of the attempts that the route allows.
pub(crate) const MAX_REFUSED_SENDS: u32 = 3;

/// Failed connections for one request before it is rejected.
pub(crate) const MAX_UNREACHABLE: u32 = 8;

/// Longest pause in ms between two attempts to pick an upstream.
const POLL_MS: u64 = 150;

/// Time in ms that a request waits while no upstream of its service is known.
const NO_UPSTREAM_TIMEOUT_MS: u64 = 1_500;

/// Assumed time in ms of a load that the leader has not started.
const DEFAULT_LOAD_MS: u64 = 1_000;

/// How a send ended.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// Response for the caller.
    Answered(Response<ResponseBody>),
    /// Error response of the upstream, forwarded unless the request can be retried.
    Failure(Response<ResponseBody>),
    /// Nothing was written.
    NotSent,
    /// Nothing was written, because the request was no longer allowed when its connection was ready.
    Withheld,
    /// The upstream reported that it did not run the request; true when it lacks the model or is another
    /// upstream.
    NotRun(bool),
    /// The upstream broke the connection before the response; the request may have run.
    Broken,
    /// No valid response in time; the request may have run.
    Lost(ErrorKind),
}

impl SendOutcome {
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failure(_) => "failure",
            Self::NotSent => "not_sent",
            Self::Withheld => "withheld",
            Self::NotRun(true) => "misplaced",
            Self::NotRun(false) => "not_run",
            Self::Broken => "broken",
            Self::Lost(_) => "lost",
        }
    }
}

/// Progress of a request over its sends.
#[derive(Clone, Debug)]
pub(crate) struct RequestProgress {
    /// Service, model and regions that it needs.
    pub need: RequestNeed,
    /// Deadlines.
    pub limit: WaitLimit,
    /// Upstreams that failed to serve it.
    pub tried: Vec<UpstreamId>,
    /// Upstreams of slow calls for this request; each reference ends with its call.
    pub under_way: Vec<Weak<UpstreamId>>,
    /// Sends that may have run.
    pub runs: u32,
    /// Sends refused by upstreams.
    pub refused: u32,
    /// Failed connections.
    pub unreached: u32,
    /// Total time in ms spent waiting for an upstream.
    pub waited_ms: u64,
    /// Reason of the last wait.
    pub cause: Option<WaitCause>,
    /// Id of the last event sent to the caller, when a stream is resumed.
    pub last_event: Option<smol_str::SmolStr>,
}

impl RequestProgress {
    /// Counts how a send ended.
    pub(crate) fn count(&mut self, upstream: &UpstreamId, outcome: &SendOutcome) {
        match outcome {
            SendOutcome::Answered(_) | SendOutcome::Withheld => {}
            SendOutcome::NotSent => self.unreached += 1,
            SendOutcome::NotRun(_) => self.refused += 1,
            SendOutcome::Failure(_) | SendOutcome::Broken | SendOutcome::Lost(_) => {
                self.runs += 1;
                self.tried.push(upstream.clone());
            }
        }
    }

    /// True while the upstream works on this request.
    fn is_under_way(&self, upstream: &UpstreamId) -> bool {
        self.under_way.iter().any(|known| known.upgrade().is_some_and(|known| *known == *upstream))
    }
}

/// Keeps a call to an upstream counted as running until dropped.
#[derive(Debug)]
pub(crate) struct CallGuard {
    gateway: Arc<Gateway>,
    upstream: UpstreamId,
    model: Option<ModelNeed>,
}

impl CallGuard {
    /// Counts a call that starts.
    pub(crate) fn new(gateway: &Arc<Gateway>, upstream: &UpstreamId, model: Option<&ModelNeed>) -> Self {
        gateway.lock().begin_call(upstream, model);
        Self { gateway: Arc::clone(gateway), upstream: upstream.clone(), model: model.cloned() }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.lock();
        state.end_call(&self.upstream, self.model.as_ref());
        let has_waiting = !state.waiting.is_empty();
        drop(state);
        if has_waiting {
            self.gateway.state_changed.notify_waiters();
        }
    }
}

/// Keeps a request in the list of waiting requests until dropped.
struct WaitTicket {
    gateway: Arc<Gateway>,
    ticket: u64,
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        self.gateway.lock().end_wait(self.ticket);
    }
}

/// Sends a request to upstreams until it is answered or rejected.
pub(crate) async fn dispatch(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: AdmittedRequest,
    limit: WaitLimit,
) -> Result<Response<ResponseBody>, RequestRejection> {
    let attempt_hash = text_hash(&context.caller.attempt);
    let service = admitted.route.target(attempt_hash).cloned();
    let service = service.ok_or(RequestRejection::new(ErrorKind::RouteNotFound))?;
    let progress = RequestProgress {
        need: request_need(context, &admitted, service, attempt_hash),
        limit,
        tried: Vec::new(),
        under_way: Vec::new(),
        runs: 0,
        refused: 0,
        unreached: 0,
        waited_ms: 0,
        cause: None,
        last_event: None,
    };
    {
        let now = gateway.now();
        let mut state = gateway.lock();
        if let Some(model) = &progress.need.model {
            state.record_arrival(model);
        }
        let members = state.member_count();
        state.retry_throttle(&progress.need.service, now).record_request(gateway.settings.retries, members);
    }
    send_until_answered(gateway, context, admitted, progress).await
}

/// Chooses an upstream and sends the request, as often as needed and allowed.
pub(crate) async fn send_until_answered(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    mut admitted: AdmittedRequest,
    mut progress: RequestProgress,
) -> Result<Response<ResponseBody>, RequestRejection> {
    loop {
        let (chosen, checked) = choose_upstream(gateway, context, admitted, &mut progress).await?;
        admitted = checked;
        let guard = CallGuard::new(gateway, &chosen, progress.need.model.as_ref());
        let outcome = match admitted.route.kind {
            RouteKind::Streaming => stream_call(gateway, context, &admitted, &progress, &chosen, guard).await,
            _ => match call_or_take_over(gateway, context, &admitted, &progress, &chosen, guard).await {
                CallEnd::Own(outcome) => outcome,
                CallEnd::TakenOver(result) => return result,
            },
        };
        if matches!(outcome, SendOutcome::Broken) {
            log_end(gateway, context, &chosen).await;
        }
        if let Some(response) = handle_outcome(gateway, context, &admitted, &mut progress, &chosen, outcome)?
        {
            return Ok(response);
        }
        admitted = recheck_admission(gateway, context, &progress)?;
    }
}

fn request_need(
    context: &RequestContext,
    admitted: &AdmittedRequest,
    service: ServiceId,
    attempt_hash: u64,
) -> RequestNeed {
    let is_engine = admitted.config.service(&service).is_some_and(|service| service.engine.is_some());
    let affinity =
        if context.caller.session.is_empty() { attempt_hash } else { text_hash(&context.caller.session) };
    RequestNeed {
        service,
        model: context.caller.model.clone().filter(|_| is_engine),
        affinity,
        regions: admitted.route.regions.clone(),
    }
}

/// True when the service's configuration does not have the model of a request.
fn is_unknown_model(service: &ServiceRule, need: &RequestNeed) -> bool {
    match (&need.model, &service.engine) {
        (Some(need), Some(engine)) => engine.model(&need.model).is_none(),
        _ => false,
    }
}

/// Waits until an upstream can take the request.
pub(crate) async fn choose_upstream(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    mut admitted: AdmittedRequest,
    progress: &mut RequestProgress,
) -> Result<(UpstreamId, AdmittedRequest), RequestRejection> {
    let begun_at = gateway.now();
    let mut ticket: Option<WaitTicket> = None;
    loop {
        let notified = gateway.state_changed.notified();
        let now = gateway.now();
        let allowed = admitted.route.targets.iter().any(|target| target.service == progress.need.service);
        if !allowed && let Some(service) = admitted.route.target(text_hash(&context.caller.attempt)) {
            // The route was changed to another service while the request waited.
            progress.need.service = service.clone();
        }
        let Some(service) = admitted.config.service(&progress.need.service) else {
            return Err(RequestRejection::new(ErrorKind::NoCapacity));
        };
        if is_unknown_model(service, &progress.need) {
            return Err(RequestRejection::new(ErrorKind::ModelNotFound));
        }
        let pick = gateway.lock().pick(&gateway.settings, service, &progress.need, &progress.tried, now);
        let cause = match pick {
            UpstreamPick::Send(upstream) if progress.is_under_way(&upstream) => WaitCause::Full,
            UpstreamPick::Send(upstream) => {
                record_send(gateway, service.cold_per_s, &upstream, now);
                progress.waited_ms += now.since_ms(begun_at);
                gateway.metrics.wait_s.observe(now.since_ms(begun_at) as f64 / 1_000.0);
                return Ok((upstream, admitted));
            }
            UpstreamPick::Wait(cause) => cause,
        };
        if cause == WaitCause::Unproven {
            gateway.watch_now.notify_waiters();
        }
        progress.cause = Some(cause);
        let waiting = ticket.get_or_insert_with(|| register_wait(gateway, progress, &admitted, now));
        if let Some(wait_ms) = excessive_wait_ms(gateway, progress, waiting.ticket, cause, begun_at, now) {
            let retry_ms = progress.limit.retry_after_ms(wait_ms, now);
            if gateway.may_log() {
                info!(gateway.logger, "wait_rejected"; "request" => %context.caller.attempt,
                    "route" => %admitted.route.name, "objective_ms" => admitted.route.objective_ms,
                    "cause" => format!("{cause:?}"), "waited_ms" => now.since_ms(begun_at),
                    "model" => progress.need.model.as_ref().map(|need| need.model.to_string()),
                    "expected_ms" => wait_ms, "runs" => progress.runs);
            }
            return Err(final_rejection(progress).with_retry_after(retry_ms));
        }
        if is_stopping_soon(gateway, now) {
            return Err(if progress.runs > 0 {
                final_rejection(progress)
            } else {
                RequestRejection::new(ErrorKind::Draining)
            });
        }
        let poll_ms = match cause {
            WaitCause::Cold(wait_ms) | WaitCause::Away(wait_ms) => wait_ms.clamp(1, POLL_MS),
            WaitCause::NoModel | WaitCause::NoAdapter => {
                let next = gateway.lock().upstreams.next_place_ms(&progress.need, now);
                next.map_or(POLL_MS, |wait_ms| wait_ms.clamp(1, POLL_MS))
            }
            _ => POLL_MS,
        };
        // A missed wake-up only delays the next check.
        let _ = timeout(Duration::from_millis(poll_ms), notified).await;
        admitted = recheck_admission(gateway, context, progress)?;
    }
}

/// Checks a request against the current view again, after a wait or a send.
fn recheck_admission(
    gateway: &Gateway,
    context: &RequestContext,
    progress: &RequestProgress,
) -> Result<AdmittedRequest, RequestRejection> {
    admit(gateway, context)
        .map_err(|rejection| if progress.runs > 0 { final_rejection(progress) } else { rejection })
}

/// Rejection of a request that is not sent again. A request that may have run gets an error that does not
/// claim that it did not.
fn final_rejection(progress: &RequestProgress) -> RequestRejection {
    RequestRejection::new(if progress.runs > 0 { ErrorKind::UpstreamFailed } else { ErrorKind::NoCapacity })
}

fn register_wait(
    gateway: &Arc<Gateway>,
    progress: &RequestProgress,
    admitted: &AdmittedRequest,
    now: ClockTime,
) -> WaitTicket {
    let need = progress.need.model.clone();
    let need = need.unwrap_or_else(|| ModelNeed { model: cowslip_units::ModelId::default(), adapter: None });
    let ticket = gateway.lock().register_wait(need, admitted.priority(), now);
    WaitTicket { gateway: Arc::clone(gateway), ticket }
}

/// Expected wait in ms when it is too long for the request; `None` when the request may keep waiting.
fn excessive_wait_ms(
    gateway: &Gateway,
    progress: &RequestProgress,
    ticket: u64,
    cause: WaitCause,
    begun_at: ClockTime,
    now: ClockTime,
) -> Option<u64> {
    let mut state = gateway.lock();
    // More replicas help when no upstream holds the model, or when those that do are full or paused.
    let placement =
        matches!(cause, WaitCause::NoModel | WaitCause::NoAdapter | WaitCause::Away(_) | WaitCause::Full);
    let unplaced = placement && progress.need.model.is_some();
    if state.set_unplaced(ticket, unplaced) {
        gateway.report_now.notify_one();
    }
    let load_eta_ms =
        progress.need.model.as_ref().and_then(|need| state.load_eta_ms(&need.model, false, now));
    drop(state);
    let wait_ms = match cause {
        WaitCause::NoModel => load_eta_ms.unwrap_or(0),
        WaitCause::Cold(wait_ms) => wait_ms,
        // Spread over time, so that all callers waiting here and elsewhere do not retry at once.
        WaitCause::Away(wait_ms) => jittered_ms(wait_ms, ticket),
        _ => 0,
    };
    if progress.limit.is_too_late(wait_ms, now) || now >= progress.limit.reject_at() {
        return Some(if wait_ms == 0 { DEFAULT_LOAD_MS } else { wait_ms });
    }
    let no_upstream = cause == WaitCause::NoUpstream && now.since_ms(begun_at) >= NO_UPSTREAM_TIMEOUT_MS;
    no_upstream.then_some(DEFAULT_LOAD_MS)
}

/// True when the process exits too soon to answer a request that still waits.
fn is_stopping_soon(gateway: &Gateway, now: ClockTime) -> bool {
    let stopping_at = gateway.lock().stopping_at;
    stopping_at.is_some_and(|at| now.since_ms(at) >= gateway.settings.grace_ms / 2)
}

/// Records a send, and counts it against the slow-start limit of an upstream that is warming up.
pub(crate) fn record_send(gateway: &Gateway, cold_per_s: f64, upstream: &UpstreamId, now: ClockTime) {
    let mut state = gateway.lock();
    let members = state.members.len().max(1);
    if let Some(known) = state.upstreams.get_mut(upstream) {
        known.breaker.sent(now);
        if known.is_warming_up(now) {
            known.slow_start_gate.record_send(gateway.settings.slow_start_limit, cold_per_s, members, now);
        }
    }
}

/// Handles the outcome of a send: returns the response, `None` to send again, or a rejection.
fn handle_outcome(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    upstream: &UpstreamId,
    outcome: SendOutcome,
) -> Result<Option<Response<ResponseBody>>, RequestRejection> {
    let now = gateway.now();
    log_outcome(gateway, context, admitted, progress, upstream, &outcome);
    record_outcome(gateway, progress, upstream, &outcome);
    progress.count(upstream, &outcome);
    match outcome {
        SendOutcome::Answered(response) => {
            log_answer(gateway, context, admitted, progress, upstream, response.status());
            let labels = OutcomeLabels { kind: route_kind_name(admitted.route.kind), outcome: "answered" };
            gateway.metrics.requests.get_or_create(&labels).inc();
            Ok(Some(response))
        }
        SendOutcome::NotSent if progress.unreached > MAX_UNREACHABLE => Err(final_rejection(progress)),
        SendOutcome::NotSent | SendOutcome::Withheld => Ok(None),
        SendOutcome::NotRun(_) => {
            let can_retry =
                progress.refused <= MAX_REFUSED_SENDS && take_retry(gateway, &progress.need.service, now);
            if can_retry { Ok(None) } else { Err(final_rejection(progress)) }
        }
        SendOutcome::Failure(response) => {
            let can_retry = may_retry(gateway, admitted, progress, now);
            Ok((!can_retry).then_some(response))
        }
        SendOutcome::Broken => {
            let can_retry = may_retry(gateway, admitted, progress, now);
            if can_retry { Ok(None) } else { Err(RequestRejection::new(ErrorKind::UpstreamFailed)) }
        }
        SendOutcome::Lost(kind) => {
            let can_retry = may_retry(gateway, admitted, progress, now);
            if can_retry { Ok(None) } else { Err(RequestRejection::new(kind)) }
        }
    }
}

/// Logs whether the upstream of a broken connection has ended, as far as an attempt to connect tells.
async fn log_end(gateway: &Gateway, context: &RequestContext, upstream: &UpstreamId) {
    let Some((address, start)) = send_target(gateway, upstream) else { return };
    let refuses = gateway.pool.refuses_connections(address).await;
    if gateway.may_log() {
        info!(gateway.logger, "upstream_checked"; "request" => %context.caller.attempt, "upstream" => %upstream,
            "born" => start.born, "ended" => refuses, "parts" => %parts_text(&context.caller.parts));
    }
}

fn log_answer(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    status: StatusCode,
) {
    if !gateway.may_log() {
        return;
    }
    info!(gateway.logger, "request_answered"; "request" => %context.caller.attempt,
        "upstream" => %upstream, "status" => status.as_u16(),
        "route" => %admitted.route.name, "objective_ms" => admitted.route.objective_ms,
        "parts" => %parts_text(&context.caller.parts),
        "model" => progress.need.model.as_ref().map(|need| need.model.to_string()),
        "adapter" => progress.need.model.as_ref().and_then(|need| need.adapter.as_deref()),
        "waited_ms" => progress.waited_ms, "cause" => progress.cause.map(|cause| format!("{cause:?}")),
        "team" => admitted.team.as_ref().map(|team| team.name.to_string()),
        "config" => admitted.config.version(),
        "after_ms" => gateway.now().since_ms(context.arrived_at));
}

/// Prompt parts as one text for logs.
fn parts_text(parts: &[PartId]) -> String {
    parts.iter().map(PartId::as_str).collect::<Vec<_>>().join(" ")
}

/// Counts how a send ended, and logs it unless it was answered.
pub(crate) fn log_outcome(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    outcome: &SendOutcome,
) {
    let name = outcome.name();
    let labels = OutcomeLabels { kind: route_kind_name(admitted.route.kind), outcome: name };
    gateway.metrics.sends.get_or_create(&labels).inc();
    if !matches!(outcome, SendOutcome::Answered(_)) && gateway.may_log() {
        warn!(gateway.logger, "send_failed"; "request" => %context.caller.attempt, "upstream" => %upstream,
            "outcome" => name, "parts" => %parts_text(&context.caller.parts), "runs" => progress.runs, "refused" => progress.refused,
            "after_ms" => gateway.now().since_ms(context.arrived_at));
    }
}

/// Records what a failed send tells about its upstream.
pub(crate) fn record_outcome(
    gateway: &Gateway,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    outcome: &SendOutcome,
) {
    let now = gateway.now();
    let mut state = gateway.lock();
    let Some(known) = state.upstreams.get_mut(upstream) else { return };
    match outcome {
        SendOutcome::Answered(_) | SendOutcome::Failure(_) => {}
        SendOutcome::NotSent => {
            known.record_unreachable(now);
            known.breaker.undecided(now);
        }
        SendOutcome::Withheld => known.breaker.undecided(now),
        SendOutcome::NotRun(misplaced) => {
            known.breaker.undecided(now);
            match (&progress.need.model, misplaced) {
                (Some(need), _) => known.record_missing_model(need, now),
                // Another upstream listens at this address.
                (None, true) => known.record_unreachable(now),
                // All slots are in use.
                (None, false) => known.other_calls = known.entry.slots,
            }
        }
        SendOutcome::Broken | SendOutcome::Lost(_) => known.record_failure(now),
    }
}

/// Records that a send to an upstream shows neither that it is sound nor that it is not.
pub(crate) fn record_undecided(gateway: &Gateway, upstream: &UpstreamId, now: ClockTime) {
    if let Some(known) = gateway.lock().upstreams.get_mut(upstream) {
        known.breaker.undecided(now);
    }
}

/// True when a request that may have run can be sent again; if so, takes one retry from the budget.
pub(crate) fn may_retry(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    now: ClockTime,
) -> bool {
    admitted.route.is_retryable()
        && progress.runs < admitted.route.max_attempts
        && now < progress.limit.reject_at()
        && take_retry(gateway, &progress.need.service, now)
}

/// True when the retry budget covers a retry of a service's request.
pub(crate) fn has_retry(gateway: &Gateway, service: &ServiceId, now: ClockTime) -> bool {
    let mut state = gateway.lock();
    let members = state.member_count();
    state.retry_throttle(service, now).has_retry(gateway.settings.retries, members, now)
}

/// True when a slow request should be abandoned for another upstream: one is available and the retry budget
/// allows it. Otherwise waiting is better, as a late answer is worth more than none. `runs` includes the
/// current send.
pub(crate) fn has_alternative(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    runs: u32,
    slow: &UpstreamId,
) -> bool {
    let now = gateway.now();
    let allowed = admitted.route.is_retryable()
        && runs < admitted.route.max_attempts
        && now < progress.limit.reject_at();
    allowed
        && has_retry(gateway, &progress.need.service, now)
        && pick_alternative(gateway, admitted, progress, slow, now).is_some()
}

/// Another upstream than `slow` that can take a request at once, and was not tried before.
pub(crate) fn pick_alternative(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    slow: &UpstreamId,
    now: ClockTime,
) -> Option<UpstreamId> {
    let service = admitted.config.service(&progress.need.service)?;
    if is_unknown_model(service, &progress.need) {
        return None;
    }
    let mut tried = progress.tried.clone();
    tried.push(slow.clone());
    match gateway.lock().pick(&gateway.settings, service, &progress.need, &tried, now) {
        UpstreamPick::Send(other) if !tried.contains(&other) => Some(other),
        UpstreamPick::Send(_) | UpstreamPick::Wait(_) => None,
    }
}

/// Takes one retry of a service's requests from the budget; false when it is empty.
pub(crate) fn take_retry(gateway: &Gateway, service: &ServiceId, now: ClockTime) -> bool {
    let mut state = gateway.lock();
    let members = state.member_count();
    let taken = state.retry_throttle(service, now).take(gateway.settings.retries, members, now);
    if taken {
        gateway.metrics.retries.inc();
    }
    taken
}
