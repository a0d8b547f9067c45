//! An idempotent call that is slow: it goes on while the request is sent to another upstream as well, and the
//! first answer counts. So an alternative that fails costs the caller nothing.

use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use cowslip_entry::{AnswerStage, RouteKind};
use cowslip_units::UpstreamId;
use http::Response;
use slog::info;
use tokio::time::timeout;

use crate::call_guard::CallGuard;
use crate::dispatch::send_until_answered;
use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::outcome_record::{log_outcome, record_outcome};
use crate::part_guard::record_break;
use crate::plain_call::plain_call;
use crate::request_context::{AdmittedRequest, RequestContext, admit};
use crate::request_flow::route_kind_name;
use crate::request_progress::RequestProgress;
use crate::request_rejection::RequestRejection;
use crate::response_body::ResponseBody;
use crate::retry_choice::{has_alternative, may_retry};
use crate::send_outcome::SendOutcome;

/// An idempotent call is slow after this multiple of its route's latency objective.
const SLOW_FACTOR: f64 = 1.5;

/// Result of a whole request.
type RequestResult = Result<Response<ResponseBody>, RequestRejection>;

/// How a call ended that another upstream may have taken over.
pub(crate) enum CallEnd {
    /// The call's own outcome.
    Own(SendOutcome),
    /// The request was sent to other upstreams, and this is its result.
    TakenOver(RequestResult),
}

/// Sends a request whose response is buffered. When the call is slow and another upstream can take the
/// request, sends it there as well.
pub(crate) async fn call_or_take_over(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> CallEnd {
    let mut call = pin!(plain_call(gateway, context, admitted, progress.limit, upstream, guard));
    // An engine's request may be at two upstreams only briefly.
    if admitted.route.kind != RouteKind::Idempotent || progress.need.model.is_some() {
        return CallEnd::Own(call.await);
    }
    let slow_ms = (admitted.route.objective_ms as f64 * SLOW_FACTOR) as u64;
    if let Ok(outcome) = timeout(Duration::from_millis(slow_ms), call.as_mut()).await {
        return CallEnd::Own(outcome);
    }
    let Some(checked) = take_over(gateway, context, admitted, progress, upstream) else {
        return CallEnd::Own(call.await);
    };
    let under_way = Arc::new(upstream.clone());
    let mut next = progress.clone();
    next.runs += 1;
    next.tried.push(upstream.clone());
    next.under_way.push(Arc::downgrade(&under_way));
    let other = Box::pin(send_until_answered(gateway, context, checked, next));
    let slow = SlowCall { gateway, context, admitted, progress, under_way };
    slow.first_answer(call, other).await
}

/// Takes a retry for sending a slow request to another upstream as well; `None` when there is none, or when
/// the request may not be sent again.
fn take_over(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
) -> Option<AdmittedRequest> {
    if !has_alternative(gateway, admitted, progress, progress.runs + 1, upstream) {
        return None;
    }
    // A request that may not be sent again is still answered by the upstream that has it.
    let checked = admit(gateway, context).ok()?;
    let now = gateway.now();
    let sent = RequestProgress { runs: progress.runs + 1, ..progress.clone() };
    if !may_retry(gateway, &checked, &sent, now) {
        return None;
    }
    if let Some(known) = gateway.lock().upstreams.get_mut(upstream) {
        known.record_failure(now);
    }
    if gateway.may_log() {
        info!(gateway.logger, "call_slow"; "request" => %context.caller.attempt, "upstream" => %upstream,
            "runs" => sent.runs, "after_ms" => now.since_ms(context.arrived_at));
    }
    Some(checked)
}

/// A slow call whose request is sent to another upstream as well.
struct SlowCall<'a> {
    gateway: &'a Gateway,
    context: &'a RequestContext,
    admitted: &'a AdmittedRequest,
    progress: &'a RequestProgress,
    /// Upstream of the slow call, held while the call is under way.
    under_way: Arc<UpstreamId>,
}

impl SlowCall<'_> {
    /// The first answer of both; the call that is still under way then is dropped, which closes its
    /// connection.
    async fn first_answer(
        self,
        mut call: Pin<&mut impl Future<Output = SendOutcome>>,
        mut other: Pin<Box<impl Future<Output = RequestResult>>>,
    ) -> CallEnd {
        tokio::select! {
            outcome = call.as_mut() => match outcome {
                SendOutcome::Answered(_) => CallEnd::Own(outcome),
                failed => {
                    if matches!(failed, SendOutcome::Broken) {
                        record_break(self.gateway, self.context, &self.under_way, AnswerStage::Waiting).await;
                    }
                    let failure = self.record_failed(failed);
                    drop(self);
                    CallEnd::TakenOver(with_failure(other.await, failure))
                }
            },
            result = other.as_mut() => {
                if result.as_ref().is_ok_and(|response| !response.status().is_server_error()) {
                    self.count_dropped();
                    return CallEnd::TakenOver(result);
                }
                match call.await {
                    answered @ SendOutcome::Answered(_) => CallEnd::Own(answered),
                    failed => {
                        if matches!(failed, SendOutcome::Broken) {
                            record_break(self.gateway, self.context, &self.under_way, AnswerStage::Waiting).await;
                        }
                        CallEnd::TakenOver(with_failure(result, self.record_failed(failed)))
                    }
                }
            }
        }
    }

    /// Records an outcome other than an answer, and returns the upstream's error response if there is one.
    fn record_failed(&self, outcome: SendOutcome) -> Option<Response<ResponseBody>> {
        log_outcome(self.gateway, self.context, self.admitted, self.progress, &self.under_way, &outcome);
        // A call that was slow has been recorded as failed already.
        if !matches!(outcome, SendOutcome::Broken | SendOutcome::Lost(_)) {
            record_outcome(self.gateway, self.progress, &self.under_way, &outcome);
        }
        match outcome {
            SendOutcome::Failure(response) => Some(response),
            _ => None,
        }
    }

    fn count_dropped(&self) {
        let labels = OutcomeLabels { kind: route_kind_name(self.admitted.route.kind), outcome: "dropped" };
        self.gateway.metrics.sends.get_or_create(&labels).inc();
    }
}

/// An upstream's error response takes the place of the gateway's own rejection.
fn with_failure(result: RequestResult, failure: Option<Response<ResponseBody>>) -> RequestResult {
    match (result, failure) {
        (Err(_), Some(failure)) => Ok(failure),
        (result, _) => result,
    }
}
