//! Chooses an upstream by the admission queue.

use std::sync::Arc;

use cowslip_entry::{
    AdmissionRejection, AdmissionRequest, AdmissionTarget, PartGate, UpstreamPick, WaitCause, is_request_key,
};
use cowslip_units::{ClockTime, TokenCount, UpstreamId};

use crate::admission_turns::take_free_place;
use crate::call_guard::CallGuard;
use crate::gateway::Gateway;
use crate::queue_place::{QueuePlace, QueueStanding};
use crate::request_context::{AdmittedRequest, RequestContext};
use crate::request_progress::RequestProgress;

/// Cost in tokens of a request without a token count.
const PLAIN_TOKENS: u64 = 1_000;

/// The outcome of a choice.
#[derive(Debug)]
pub(crate) enum QueueChoice {
    /// Send the request to this upstream.
    Send {
        /// The upstream.
        upstream: UpstreamId,
        /// The place that is reserved there; `None` at services without an admission queue.
        reservation: Option<CallGuard>,
    },
    /// Let the request wait.
    Wait(WaitCause),
    /// Reject the request: its turn will not come in time.
    Reject(AdmissionRejection),
}

impl From<UpstreamPick> for QueueChoice {
    fn from(pick: UpstreamPick) -> Self {
        match pick {
            UpstreamPick::Send(upstream) => Self::Send { upstream, reservation: None },
            UpstreamPick::Wait(cause) => Self::Wait(cause),
        }
    }
}

impl From<CallGuard> for QueueChoice {
    fn from(reservation: CallGuard) -> Self {
        Self::Send { upstream: reservation.upstream().clone(), reservation: Some(reservation) }
    }
}

/// Takes a free place that no waiting request could use, or the request's turn in the queue, which it enters if
/// it is not in it.
pub(crate) fn choose_in_queue(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    place: &mut Option<QueuePlace>,
    gate: &PartGate,
    begun_at: ClockTime,
) -> QueueChoice {
    let now = gateway.now();
    let target = AdmissionTarget::new(&progress.need);
    // The route was changed to another service, or the adapter is no longer needed.
    if place.as_ref().is_some_and(|place| *place.target() != target) {
        *place = None;
    }
    let standing = match place {
        Some(place) => place.look(now),
        None => {
            let tried = tried_upstreams(gateway, progress, gate);
            if let Some(reservation) = take_free_place(gateway, &progress.need, &tried, now) {
                return reservation.into();
            }
            let request = admission_request(gateway, context, admitted, progress, target, begun_at);
            place.insert(QueuePlace::new(gateway, request, progress.need.clone(), tried, now)).look(now)
        }
    };
    match standing {
        QueueStanding::Place(reservation) => {
            *place = None;
            reservation.into()
        }
        QueueStanding::Rejected(rejection) => QueueChoice::Reject(rejection),
        QueueStanding::Waiting(cause) => QueueChoice::Wait(cause),
    }
}

/// Upstreams that others are preferred to: those of earlier attempts, and those where other parts are tried.
fn tried_upstreams(gateway: &Gateway, progress: &RequestProgress, gate: &PartGate) -> Vec<UpstreamId> {
    let mut tried = progress.tried.clone();
    if matches!(gate, PartGate::Trial(_)) {
        let state = gateway.lock();
        tried.extend(state.quarantine.trials.upstreams(gateway.crash_time()).cloned());
    }
    tried
}

fn admission_request(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    target: AdmissionTarget,
    begun_at: ClockTime,
) -> AdmissionRequest {
    let has_begun = progress.last_event.is_some();
    let (arrived, objective_ms) = if has_begun {
        (begun_at, admitted.route.pause_ms)
    } else {
        (context.arrived_at, admitted.route.objective_ms)
    };
    let first_byte_ms = typical_first_byte_ms(gateway, &target);
    AdmissionRequest {
        team: admitted.team.as_ref().map(|team| team.name.clone()),
        priority: admitted.priority(),
        target,
        cost: TokenCount::new(context.caller.tokens.unwrap_or(PLAIN_TOKENS)),
        arrived,
        objective_by: arrived.plus_ms(objective_ms).minus_ms(first_byte_ms),
        limit: progress.limit,
        key: context.crash_parts.iter().find(|part| is_request_key(part)).cloned(),
        has_begun,
    }
}

/// Mean time in ms to the first byte over the upstreams of the target's service that have answered.
fn typical_first_byte_ms(gateway: &Gateway, target: &AdmissionTarget) -> u64 {
    let state = gateway.lock();
    let known = state.upstreams.all().iter().filter(|known| known.entry.service == target.service);
    let times = known.map(|known| known.latency_ms).filter(|latency_ms| *latency_ms > 0.0);
    let (sum, count) = times.fold((0.0, 0u32), |(sum, count), latency_ms| (sum + latency_ms, count + 1));
    if count == 0 { 0 } else { (sum / f64::from(count)) as u64 }
}
