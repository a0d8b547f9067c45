//! Records and logs how sends ended.

use cowslip_units::{ClockTime, PartId, UpstreamId};
use http::StatusCode;
use slog::{info, warn};

use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::request_context::{AdmittedRequest, RequestContext};
use crate::request_flow::route_kind_name;
use crate::request_progress::RequestProgress;
use crate::send_outcome::SendOutcome;

/// Logs the answer to a request.
pub(crate) fn log_answer(
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
        "parts" => %parts_text(&context.caller.parts), "last_part" => last_part_text(context),
        "model" => progress.need.model.as_ref().map(|need| need.model.to_string()),
        "adapter" => progress.need.model.as_ref().and_then(|need| need.adapter.as_deref()),
        "waited_ms" => progress.waited_ms, "cause" => progress.cause.map(|cause| format!("{cause:?}")),
        "upstream_calls" => progress.inputs.upstream_calls, "load_age_ms" => progress.inputs.load_age_ms,
        "expected_ms" => progress.inputs.expected_ms,
        "team" => admitted.team.as_ref().map(|team| team.name.to_string()),
        "config" => admitted.config.version(),
        "after_ms" => gateway.now().since_ms(context.arrived_at));
}

/// Prompt parts as one text for logs.
pub(crate) fn parts_text(parts: &[PartId]) -> String {
    parts.iter().map(PartId::as_str).collect::<Vec<_>>().join(" ")
}

/// Last prompt part of a request for logs; `None` when it has none.
pub(crate) fn last_part_text(context: &RequestContext) -> Option<&str> {
    context.caller.last_part.as_ref().map(PartId::as_str)
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
            "outcome" => name, "status" => outcome.status().map(|status| status.as_u16()),
            "parts" => %parts_text(&context.caller.parts),
            "last_part" => last_part_text(context), "runs" => progress.runs, "refused" => progress.refused,
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
        SendOutcome::Answered(_) | SendOutcome::Failure(_) | SendOutcome::Unconfirmed(_) => {}
        SendOutcome::NotSent => {
            known.record_unreachable(now);
            known.breaker.undecided(now);
        }
        SendOutcome::Withheld | SendOutcome::Withdrawn => known.breaker.undecided(now),
        SendOutcome::NotRun(misplaced) => {
            known.breaker.undecided(now);
            match (&progress.need.model, misplaced) {
                // It is full and may hold the model.
                (Some(_), false) if known.work.backoff.is_running(now) => {}
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
