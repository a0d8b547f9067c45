//! The begin of a streamed response. The first event is awaited before the caller gets a response head, so
//! that a stream that does not begin can still be retried.

use std::sync::Arc;
use std::time::Duration;

use cowslip_units::{ErrorKind, UpstreamId};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::call_guard::CallGuard;
use crate::duty_counts::count_stream;
use crate::event_source::{EventSource, NextEvents, is_broken_off, open_stream};
use crate::gateway::Gateway;
use crate::part_guard::TrialGuard;
use crate::plain_call::{
    AnswerHead, caller_response, failure_outcome, read_full_body, record_response, return_connection,
    wait_or_abandon,
};
use crate::request_context::{AdmittedRequest, RequestContext};
use crate::request_progress::RequestProgress;
use crate::response_body::ResponseBody;
use crate::retry_choice::has_alternative;
use crate::send_outcome::SendOutcome;
use crate::stream_relay::StreamRelay;

/// Chunks buffered for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Timeout of the first event as a multiple of the route's latency objective, where the request may be
/// retried.
const FIRST_EVENT_FACTOR: u64 = 2;

/// Shortest timeout of the first event, in ms.
const MIN_FIRST_EVENT_MS: u64 = 1_000;

/// Opens the stream and returns a response that starts with its first events.
pub(crate) async fn stream_call(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    guard: CallGuard,
    trial: &mut Option<TrialGuard>,
) -> SendOutcome {
    let sent_at = gateway.now();
    let end_ms = progress.limit.end_by.since_ms(sent_at);
    let can_retry = admitted.route.is_retryable() && progress.runs + 1 < admitted.route.max_attempts;
    let abandon_after_ms = (admitted.route.objective_ms * FIRST_EVENT_FACTOR).max(MIN_FIRST_EVENT_MS);
    let wait_ms = if can_retry { end_ms.min(abandon_after_ms) } else { end_ms };
    let opened = async {
        let mut source =
            match open_stream(gateway, context, admitted, progress, upstream, guard, || true).await {
                Ok(source) => source,
                Err(outcome) => return Err(outcome),
            };
        if !source.status.is_success() {
            return Ok((source, NextEvents::End));
        }
        let first = source.next(end_ms).await;
        Ok((source, first))
    };
    let should_abandon = || has_alternative(gateway, admitted, progress, progress.runs + 1, upstream);
    let (source, first) = match wait_or_abandon(opened, wait_ms, end_ms, should_abandon).await {
        Some(Ok(opened)) => opened,
        Some(Err(outcome)) => return outcome,
        None => return SendOutcome::Lost(ErrorKind::DeadlineExceeded),
    };
    let first_byte_ms = gateway.now().since_ms(sent_at);
    if !source.status.is_success() {
        let left_ms = progress.limit.end_by.since_ms(gateway.now());
        let read = timeout(
            Duration::from_millis(left_ms),
            failed_response(gateway, context, admitted, source, first_byte_ms),
        )
        .await;
        return read.unwrap_or(SendOutcome::Lost(ErrorKind::DeadlineExceeded));
    }
    match first {
        NextEvents::Events(events) => {
            if source.has_begun() {
                count_stream(gateway, context, admitted);
            }
            let answer = AnswerHead { status: source.status, headers: &source.headers, first_byte_ms };
            record_response(gateway, context, admitted, upstream, answer);
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
            let response = caller_response(source.status, &source.headers, ResponseBody::Streamed(receiver));
            let relay = StreamRelay::new(gateway, context, admitted, resumed_progress(progress), sender)
                .with_trial(trial.take());
            tokio::spawn(relay.run(source, events));
            SendOutcome::Answered(response)
        }
        NextEvents::End => {
            let answer = AnswerHead { status: source.status, headers: &source.headers, first_byte_ms };
            record_response(gateway, context, admitted, upstream, answer);
            let response = caller_response(source.status, &source.headers, ResponseBody::buffered(""));
            return_connection(gateway, source.connection, &source.headers);
            SendOutcome::Answered(response)
        }
        NextEvents::Broken(why) if is_broken_off(why) => SendOutcome::Broken,
        NextEvents::Broken(_) => SendOutcome::Lost(ErrorKind::UpstreamFailed),
    }
}

/// State of a stream whose caller already has a response head: it may be resumed until the request's
/// deadline.
fn resumed_progress(progress: &RequestProgress) -> RequestProgress {
    let mut limit = progress.limit;
    limit.begin_by = limit.end_by;
    RequestProgress {
        need: progress.need.clone(),
        limit,
        tried: progress.tried.clone(),
        under_way: Vec::new(),
        runs: progress.runs + 1,
        refused: progress.refused,
        unreached: progress.unreached,
        inputs: progress.inputs,
        waited_ms: progress.waited_ms,
        cause: progress.cause,
        is_retry: progress.is_retry,
        last_event: progress.last_event.clone(),
    }
}

/// Reads the whole response of an upstream that failed by itself.
async fn failed_response(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    source: EventSource,
    first_byte_ms: u64,
) -> SendOutcome {
    let EventSource { upstream, headers, status, body, connection, guard, .. } = source;
    drop(guard);
    let answer = AnswerHead { status, headers: &headers, first_byte_ms };
    record_response(gateway, context, admitted, &upstream, answer);
    match read_full_body(gateway, body).await {
        Ok(body) => {
            return_connection(gateway, connection, &headers);
            failure_outcome(caller_response(status, &headers, body))
        }
        Err(_) => SendOutcome::Lost(ErrorKind::UpstreamFailed),
    }
}
