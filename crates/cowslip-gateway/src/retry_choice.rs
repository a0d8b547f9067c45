//! Decides whether a request may be sent once more, and to which upstream.

use cowslip_entry::UpstreamPick;
use cowslip_units::{ClockTime, ServiceId, UpstreamId};

use crate::gateway::Gateway;
use crate::request_context::AdmittedRequest;
use crate::request_progress::RequestProgress;
use crate::upstream_choice::is_unknown_model;

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

/// True when the retry budget covers a retry of a service's request, or there is no such limit.
pub(crate) fn has_retry(gateway: &Gateway, service: &ServiceId, now: ClockTime) -> bool {
    let Some(limit) = gateway.settings.retries else { return true };
    let mut state = gateway.lock();
    let members = state.member_count();
    state.retry_throttle(service, now).has_retry(limit, members, now)
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
    let taken = gateway.settings.retries.is_none_or(|limit| {
        let mut state = gateway.lock();
        let members = state.member_count();
        state.retry_throttle(service, now).take(limit, members, now)
    });
    if taken {
        gateway.metrics.retries.inc();
    }
    taken
}
