//! Waits for an upstream, sends the request, and decides what follows a failed send.
//!
//! A request that is not idempotent is sent again only when none of it was written, or when the upstream
//! reported that it did not run it. All other failures are answered with 502 or 504, which do not claim that
//! the request did not run.

use std::sync::Arc;

use cowslip_entry::{AnswerStage, RequestNeed, RouteKind, WaitLimit, text_hash};
use cowslip_units::{ErrorKind, ServiceId, UpstreamId};
use http::Response;

use crate::call_guard::CallGuard;
use crate::choice_inputs::ChoiceInputs;
use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::outcome_record::{log_answer, log_outcome, record_outcome};
use crate::part_guard::{TrialGuard, record_break, record_survival, wait_until_quarantined};
use crate::plain_call::plain_call;
use crate::request_context::{AdmittedRequest, RequestContext};
use crate::request_flow::route_kind_name;
use crate::request_progress::RequestProgress;
use crate::request_rejection::RequestRejection;
use crate::response_body::ResponseBody;
use crate::retry_choice::{may_retry, take_retry};
use crate::send_outcome::SendOutcome;
use crate::slow_call::{CallEnd, call_or_take_over};
use crate::stream_call::stream_call;
use crate::upstream_choice::{choose_upstream, recheck_admission};

/// Sends that upstreams refuse without running the request, on top of the attempts that the route allows.
pub(crate) const MAX_REFUSED_SENDS: u32 = 3;

/// Failed connections for one request before it is rejected.
pub(crate) const MAX_UNREACHABLE: u32 = 8;

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
        need: request_need(gateway, context, &admitted, service, attempt_hash),
        limit,
        tried: Vec::new(),
        under_way: Vec::new(),
        runs: 0,
        refused: 0,
        unreached: 0,
        inputs: ChoiceInputs::default(),
        waited_ms: 0,
        cause: None,
        is_retry: false,
        last_event: None,
    };
    {
        let now = gateway.now();
        let mut state = gateway.lock();
        if let Some(model) = &progress.need.model {
            state.record_arrival(model);
        }
        if let Some(limit) = gateway.settings.retries {
            let members = state.member_count();
            state.retry_throttle(&progress.need.service, now).record_request(limit, members);
        }
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
        let choice = choose_upstream(gateway, context, admitted, &mut progress).await;
        let choice = choice.map_err(|rejection| progress.true_rejection(rejection))?;
        admitted = choice.admitted;
        let chosen = choice.upstream;
        let guard = choice.reservation;
        let guard = guard.unwrap_or_else(|| CallGuard::new(gateway, &chosen, progress.need.model.as_ref()));
        let guard = guard.with_tokens(progress.need.tokens());
        let mut trial = choice.trial;
        let sent = send(gateway, context, &admitted, &progress, &chosen, guard, &mut trial);
        let end = tokio::select! {
            biased;
            end = sent => end,
            () = wait_until_quarantined(gateway, context) => CallEnd::Own(SendOutcome::Withdrawn),
        };
        let outcome = match end {
            CallEnd::Own(outcome) => outcome,
            CallEnd::TakenOver(result) => return result,
        };
        if matches!(outcome, SendOutcome::Broken) {
            progress.is_retry |= record_break(gateway, context, &chosen, AnswerStage::Waiting).await;
        }
        drop(trial);
        if let Some(response) = handle_outcome(gateway, context, &admitted, &mut progress, &chosen, outcome)?
        {
            return Ok(response);
        }
        admitted = recheck_admission(gateway, context, &progress)?;
    }
}

/// Sends a request to an upstream and waits for the begin of a stream, or for a whole response. A trial is at one
/// upstream only; that of a stream goes on with it.
async fn send(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    guard: CallGuard,
    trial: &mut Option<TrialGuard>,
) -> CallEnd {
    match admitted.route.kind {
        RouteKind::Streaming => {
            CallEnd::Own(stream_call(gateway, context, admitted, progress, upstream, guard, trial).await)
        }
        RouteKind::Idempotent | RouteKind::NonIdempotent if trial.is_some() => {
            CallEnd::Own(plain_call(gateway, context, admitted, progress.limit, upstream, guard).await)
        }
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            call_or_take_over(gateway, context, admitted, progress, upstream, guard).await
        }
    }
}

/// What a request needs of its upstream.
pub(crate) fn request_need(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    service: ServiceId,
    attempt_hash: u64,
) -> RequestNeed {
    let is_engine = admitted.config.service(&service).is_some_and(|service| service.engine.is_some());
    let affinity =
        if context.caller.session.is_empty() { attempt_hash } else { text_hash(&context.caller.session) };
    let (prompt_tokens, max_output) = context.caller.token_counts.unwrap_or_default();
    let hint = context.caller.length_hint;
    let output_tokens = gateway.lock().output_estimate.expected(admitted.priority(), hint, max_output);
    RequestNeed {
        service,
        model: context.caller.model.clone().filter(|_| is_engine),
        affinity,
        regions: admitted.route.regions.clone(),
        prompt_tokens,
        output_tokens,
        objective_ms: admitted.route.objective_ms,
        spread: attempt_hash,
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
            // The relay of a stream tells when its upstream has survived the answer.
            if response.status().is_success() && admitted.route.kind != RouteKind::Streaming {
                record_survival(gateway, context);
            }
            log_answer(gateway, context, admitted, progress, upstream, response.status());
            let labels = OutcomeLabels { kind: route_kind_name(admitted.route.kind), outcome: "answered" };
            gateway.metrics.requests.get_or_create(&labels).inc();
            Ok(Some(response))
        }
        SendOutcome::NotSent if progress.unreached > MAX_UNREACHABLE => Err(progress.rejection()),
        SendOutcome::NotSent | SendOutcome::Withheld => Ok(None),
        SendOutcome::NotRun(_) => {
            let can_retry =
                progress.refused <= MAX_REFUSED_SENDS && take_retry(gateway, &progress.need.service, now);
            if can_retry { Ok(None) } else { Err(progress.rejection()) }
        }
        SendOutcome::Failure(response) => {
            let can_retry = may_retry(gateway, admitted, progress, now);
            Ok((!can_retry).then_some(response))
        }
        SendOutcome::Withdrawn => Err(progress.rejection()),
        SendOutcome::Unconfirmed(_) | SendOutcome::Broken => {
            let can_retry = may_retry(gateway, admitted, progress, now);
            if can_retry { Ok(None) } else { Err(RequestRejection::new(ErrorKind::UpstreamFailed)) }
        }
        SendOutcome::Lost(kind) => {
            let can_retry = may_retry(gateway, admitted, progress, now);
            if can_retry { Ok(None) } else { Err(RequestRejection::new(kind)) }
        }
    }
}
