//! Waits until an upstream can take a request, and rejects a request that would wait too long.
//!
//! Where the settings switch the admission queue on, requests at services with [`ServiceRule::is_self_paced`] take their
//! turn in it (`queue_choice`). Otherwise each waiting request looks for an upstream by itself.

use std::sync::Arc;
use std::time::Duration;

use cowslip_entry::{
    ModelNeed, PartGate, RequestNeed, ServiceRule, UpstreamPick, WaitCause, jittered_ms, text_hash,
};
use cowslip_units::{ClockTime, ErrorKind, ModelId, UpstreamId};
use slog::info;
use tokio::time::timeout;

use crate::call_guard::CallGuard;
use crate::gateway::Gateway;
use crate::part_guard::{TrialGuard, check_parts};
use crate::queue_choice::{QueueChoice, choose_in_queue};
use crate::queue_place::QueuePlace;
use crate::request_context::{AdmittedRequest, RequestContext, admit};
use crate::request_progress::RequestProgress;
use crate::request_rejection::RequestRejection;

/// Longest pause in ms between two attempts to pick an upstream.
const POLL_MS: u64 = 150;

/// Time in ms that a request waits while no upstream of its service is known.
const NO_UPSTREAM_TIMEOUT_MS: u64 = 1_500;

/// Assumed time in ms of a load that the leader has not started.
const DEFAULT_LOAD_MS: u64 = 1_000;

/// Keeps a request in the list of waiting requests until dropped.
struct WaitTicket {
    gateway: Arc<Gateway>,
    ticket: u64,
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        self.gateway.lock().waiting.end(self.ticket);
    }
}

/// An upstream that can take a request now.
#[derive(Debug)]
pub(crate) struct UpstreamChoice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The request as allowed at the time of the choice.
    pub admitted: AdmittedRequest,
    /// Held while the request is the only one with its suspected prompt parts.
    pub trial: Option<TrialGuard>,
    /// The place that is reserved for the call, at services with an admission queue.
    pub reservation: Option<CallGuard>,
}

/// True when the service's configuration does not have the model of a request.
pub(crate) fn is_unknown_model(service: &ServiceRule, need: &RequestNeed) -> bool {
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
) -> Result<UpstreamChoice, RequestRejection> {
    let begun_at = gateway.now();
    let mut ticket: Option<WaitTicket> = None;
    let mut place: Option<QueuePlace> = None;
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
        let gate = check_parts(gateway, context, progress)?;
        let has_queue = gateway.settings.admission_queue && service.is_self_paced();
        let is_queued = has_queue && !matches!(gate, PartGate::Wait(_));
        let choice = if is_queued {
            choose_in_queue(gateway, context, &admitted, progress, &mut place, &gate, begun_at)
        } else {
            place = None;
            pick_by_gate(gateway, service, progress, &gate, now).into()
        };
        let cause = match choice {
            QueueChoice::Send { upstream, .. } if progress.is_under_way(&upstream) => {
                place = None;
                WaitCause::Full
            }
            QueueChoice::Send { upstream, reservation } => {
                progress.inputs =
                    gateway.lock().choice_inputs(&gateway.settings, service, &progress.need, &upstream, now);
                record_send(gateway, service.cold_per_s, &upstream, now);
                progress.waited_ms += now.since_ms(begun_at);
                gateway.metrics.wait_s.observe(now.since_ms(begun_at) as f64 / 1_000.0);
                let trial = match gate {
                    PartGate::Trial(parts) => Some(TrialGuard::new(gateway, context, parts, &upstream)),
                    PartGate::Open | PartGate::Wait(_) | PartGate::Closed(_) => None,
                };
                return Ok(UpstreamChoice { upstream, admitted, trial, reservation });
            }
            QueueChoice::Reject(rejection) => {
                let retry_ms = progress.limit.retry_after_ms(rejection.wait_ms, now);
                let cause = progress.cause.unwrap_or(WaitCause::Full);
                let wait = EndedWait {
                    cause,
                    begun_at,
                    expected_ms: rejection.wait_ms,
                    queue: Some((rejection.waiting, rejection.position)),
                };
                log_wait_rejected(gateway, context, &admitted, progress, &wait);
                return Err(progress.rejection().with_retry_after(retry_ms));
            }
            QueueChoice::Wait(cause) => cause,
        };
        if cause == WaitCause::Unproven {
            gateway.watch_now.notify_waiters();
        }
        progress.cause = Some(cause);
        let waiting =
            ticket.get_or_insert_with(|| register_wait(gateway, progress, &admitted, is_queued, now));
        if let Some(wait_ms) = excessive_wait_ms(gateway, progress, waiting.ticket, cause, begun_at, now) {
            let retry_ms = progress.limit.retry_after_ms(wait_ms, now);
            if let Some(place) = &place {
                place.record_rejection(now);
            }
            let queue = place.as_ref().map(QueuePlace::position);
            let wait = EndedWait { cause, begun_at, expected_ms: wait_ms, queue };
            log_wait_rejected(gateway, context, &admitted, progress, &wait);
            return Err(progress.rejection().with_retry_after(retry_ms));
        }
        if is_stopping_soon(gateway, now) {
            return Err(if progress.runs > 0 {
                progress.rejection()
            } else {
                RequestRejection::new(ErrorKind::Draining)
            });
        }
        let poll_ms = match cause {
            WaitCause::Cold(wait_ms) | WaitCause::Away(wait_ms) | WaitCause::Suspected(wait_ms) => {
                wait_ms.clamp(1, POLL_MS)
            }
            WaitCause::NoModel | WaitCause::NoAdapter => {
                let next = gateway.lock().upstreams.next_place_ms(&progress.need, now);
                next.map_or(POLL_MS, |wait_ms| wait_ms.clamp(1, POLL_MS))
            }
            _ => POLL_MS,
        };
        // A missed wake-up only delays the next check.
        let _ = timeout(Duration::from_millis(poll_ms), async {
            match &mut place {
                Some(place) => tokio::select! {
                    () = notified => {}
                    () = place.wait() => {}
                },
                None => notified.await,
            }
        })
        .await;
        admitted = recheck_admission(gateway, context, progress)?;
    }
}

/// How long a rejected request has waited, and why.
struct EndedWait {
    cause: WaitCause,
    begun_at: ClockTime,
    expected_ms: u64,
    /// Length of the admission queue and position in it; `None` without a queue.
    queue: Option<(usize, u64)>,
}

fn log_wait_rejected(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    wait: &EndedWait,
) {
    if gateway.may_log() {
        info!(gateway.logger, "wait_rejected"; "request" => %context.caller.attempt,
            "route" => %admitted.route.name, "objective_ms" => admitted.route.objective_ms,
            "cause" => format!("{:?}", wait.cause), "waited_ms" => gateway.now().since_ms(wait.begun_at),
            "model" => progress.need.model.as_ref().map(|need| need.model.to_string()),
            "expected_ms" => wait.expected_ms, "runs" => progress.runs, "priority" => admitted.priority(),
            "queue" => wait.queue.map(|(waiting, _)| waiting),
            "position" => wait.queue.map(|(_, position)| position));
    }
}

/// Picks an upstream, as far as the request's prompt parts allow it. A trial goes to another upstream than the
/// trials of other parts.
fn pick_by_gate(
    gateway: &Gateway,
    service: &ServiceRule,
    progress: &RequestProgress,
    gate: &PartGate,
    now: ClockTime,
) -> UpstreamPick {
    let state = gateway.lock();
    match gate {
        PartGate::Wait(wait_ms) => UpstreamPick::Wait(WaitCause::Suspected(*wait_ms)),
        PartGate::Trial(_) => {
            let mut tried = progress.tried.clone();
            tried.extend(state.quarantine.trials.upstreams(gateway.crash_time()).cloned());
            state.pick(&gateway.settings, service, &progress.need, &tried, now)
        }
        PartGate::Open | PartGate::Closed(_) => {
            state.pick(&gateway.settings, service, &progress.need, &progress.tried, now)
        }
    }
}

/// Checks a request against the current view again, after a wait or a send.
pub(crate) fn recheck_admission(
    gateway: &Gateway,
    context: &RequestContext,
    progress: &RequestProgress,
) -> Result<AdmittedRequest, RequestRejection> {
    admit(gateway, context)
        .map_err(|rejection| if progress.runs > 0 { progress.rejection() } else { rejection })
}

fn register_wait(
    gateway: &Arc<Gateway>,
    progress: &RequestProgress,
    admitted: &AdmittedRequest,
    is_queued: bool,
    now: ClockTime,
) -> WaitTicket {
    let need = progress.need.model.clone();
    let need = need.unwrap_or_else(|| ModelNeed { model: ModelId::default(), adapter: None });
    let ticket = gateway.lock().waiting.register(need, admitted.priority(), is_queued, now);
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
    if state.waiting.set_unplaced(ticket, unplaced) {
        gateway.request_report();
    }
    let load_eta_ms = progress.need.model.as_ref().and_then(|need| {
        state.loads.eta_ms(&need.model, false, now).or_else(|| state.loads.delay_ms(&need.model, now))
    });
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
        known.work.record_send(now);
        if let Some(limit) = gateway.settings.slow_start_limit
            && known.is_warming_up(now)
        {
            known.slow_start_gate.record_send(limit, cold_per_s, members, now);
        }
    }
}
