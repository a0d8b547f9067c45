//! A call whose response is read completely, checked, and forwarded unchanged.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_adapter::header_names::{ATTEMPT_ID, NOT_RUN, SIGNATURE};
use cowslip_adapter::{is_forwarded_to_caller, keep_alive_s, promises_not_run, upstream_load};
use cowslip_entry::{UpstreamStart, WaitLimit};
use cowslip_units::{ErrorKind, UpstreamId};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap};
use http::{Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer_memory::ReadFault;
use crate::call_guard::CallGuard;
use crate::capacity_record::{record_begin, record_rejection};
use crate::duty_counts::SendCount;
use crate::gateway::Gateway;
use crate::request_context::{AdmittedRequest, RequestContext, may_send};
use crate::response_body::ResponseBody;
use crate::send_outcome::SendOutcome;
use crate::upstream_notice::record_notice;
use crate::upstream_pool::{SendFault, UpstreamConnection};
use crate::upstream_request::upstream_request;

/// Largest response in bytes that is buffered.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Result of checking a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadCheck {
    /// A response to this request, signed by the upstream.
    Valid,
    /// The upstream did not run the request; true when it is another upstream or lacks the model.
    NotRun(bool),
    /// Not a response to this request, or not a valid one.
    Mismatched,
}

/// Checks a response head. One with another attempt's id is a duplicate of an earlier response and says
/// nothing about this request, not even that it did not run. One without an id may be such a duplicate when its
/// connection has carried another request.
pub(crate) fn check_head(
    context: &RequestContext,
    status: StatusCode,
    headers: &HeaderMap,
    is_reused: bool,
) -> HeadCheck {
    let echoed = headers.get(ATTEMPT_ID).map(|value| value.as_bytes());
    if echoed.map_or(is_reused, |echoed| echoed != context.caller.attempt.as_bytes()) {
        return HeadCheck::Mismatched;
    }
    if !is_final_status(status) {
        return HeadCheck::Mismatched;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return HeadCheck::NotRun(true);
    }
    if headers.contains_key(NOT_RUN) {
        return HeadCheck::NotRun(false);
    }
    let is_signed = headers.contains_key(SIGNATURE);
    if is_signed && !headers.contains_key(CONTENT_ENCODING) {
        HeadCheck::Valid
    } else {
        HeadCheck::Mismatched
    }
}

/// True for a status that an answer may have. The HTTP library rejects those below 100 and above 999, but returns 101,
/// which no request here asks for, and 600 to 999, which RFC 9110 calls invalid.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Address of an upstream, and the instance start that is expected to answer there.
pub(crate) fn send_target(gateway: &Gateway, upstream: &UpstreamId) -> Option<(SocketAddr, UpstreamStart)> {
    let state = gateway.lock();
    let address = state.upstreams.get(upstream)?.entry.address;
    Some((address, state.upstreams.start_of(upstream)?))
}

/// Checks a response head, and records its notices unless it belongs to another request.
pub(crate) fn check_and_record_head(
    gateway: &Gateway,
    context: &RequestContext,
    start: &UpstreamStart,
    status: StatusCode,
    headers: &HeaderMap,
    is_reused: bool,
) -> HeadCheck {
    let check = check_head(context, status, headers, is_reused);
    let attempt = &context.caller.attempt;
    let echoed = headers.get(ATTEMPT_ID).is_some_and(|echoed| echoed.as_bytes() == attempt.as_bytes());
    if check != HeadCheck::Mismatched || echoed {
        record_notice(gateway, Some(start), status, headers, attempt);
    }
    check
}

/// Sends a request and reads its response, until the request's deadline.
pub(crate) async fn plain_call(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    limit: WaitLimit,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> SendOutcome {
    let sent_at = gateway.now();
    let Some((address, start)) = send_target(gateway, upstream) else { return SendOutcome::NotSent };
    let Ok(request) = upstream_request(context, admitted, &limit, upstream, None, sent_at) else {
        return SendOutcome::NotSent;
    };
    let end_ms = limit.end_by.since_ms(sent_at);
    let count = SendCount::new(gateway, context, admitted);
    let call = async {
        let allowed = || {
            let may_send = may_send(gateway, context, upstream, sent_at);
            if may_send {
                count.record_send();
            }
            may_send
        };
        let (response, connection) = gateway.pool.send(address, request, allowed).await?;
        let first_byte_ms = gateway.now().since_ms(sent_at);
        let (parts, body) = response.into_parts();
        let is_reused = connection.is_reused;
        Ok(match check_and_record_head(gateway, context, &start, parts.status, &parts.headers, is_reused) {
            HeadCheck::NotRun(misplaced) => {
                if !misplaced {
                    record_rejection(gateway, admitted, upstream, &parts.headers);
                }
                return_refused_connection(gateway, connection, body, &parts.headers, context).await;
                SendOutcome::NotRun(misplaced)
            }
            HeadCheck::Mismatched => SendOutcome::Lost(ErrorKind::UpstreamGarbled),
            HeadCheck::Valid => {
                let body = read_full_body(gateway, body).await;
                let body = body.map_err(|fault| SendFault::Broken(fault.to_string()))?;
                let answer = AnswerHead { status: parts.status, headers: &parts.headers, first_byte_ms };
                record_response(gateway, context, admitted, upstream, answer);
                return_connection(gateway, connection, &parts.headers);
                let response = caller_response(parts.status, &parts.headers, body);
                if has_failed(parts.status) {
                    failure_outcome(response)
                } else {
                    SendOutcome::Answered(response)
                }
            }
        })
    };
    let outcome = timeout(Duration::from_millis(end_ms), call).await;
    drop(guard);
    let outcome = match outcome {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(fault)) => fault_outcome(&fault),
        Err(_) => SendOutcome::Lost(ErrorKind::DeadlineExceeded),
    };
    if matches!(outcome, SendOutcome::NotSent | SendOutcome::NotRun(_) | SendOutcome::Withheld) {
        count.discard();
    }
    outcome
}

/// True for a status with which an upstream has failed. A promise that the request did not run, without the upstream's
/// word for it, is a failure too.
fn has_failed(status: StatusCode) -> bool {
    status.is_server_error() || promises_not_run(status)
}

/// Outcome of an upstream's error response, which is passed on unless its status promises what the upstream has not
/// confirmed.
pub(crate) fn failure_outcome(response: Response<ResponseBody>) -> SendOutcome {
    let status = response.status();
    if promises_not_run(status) { SendOutcome::Unconfirmed(status) } else { SendOutcome::Failure(response) }
}

/// Awaits `answer` for `abandon_after_ms`, and after that until `end_ms` unless `should_abandon` returns
/// true.
pub(crate) async fn wait_or_abandon<T>(
    answer: impl Future<Output = T>,
    abandon_after_ms: u64,
    end_ms: u64,
    should_abandon: impl Fn() -> bool,
) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    if let Ok(answer) = timeout(Duration::from_millis(abandon_after_ms), answer.as_mut()).await {
        return Some(answer);
    }
    if abandon_after_ms >= end_ms || should_abandon() {
        return None;
    }
    timeout(Duration::from_millis(end_ms - abandon_after_ms), answer).await.ok()
}

/// Maps a failed send to its outcome.
pub(crate) const fn fault_outcome(fault: &SendFault) -> SendOutcome {
    match fault {
        SendFault::NotSent(_) => SendOutcome::NotSent,
        SendFault::Withheld => SendOutcome::Withheld,
        SendFault::Broken(_) => SendOutcome::Broken,
    }
}

/// Reads a response body of at most [`MAX_RESPONSE_BYTES`].
pub(crate) async fn read_full_body(gateway: &Gateway, body: Incoming) -> Result<ResponseBody, ReadFault> {
    let bytes = gateway.answer_memory.read(body, MAX_RESPONSE_BYTES).await?;
    Ok(ResponseBody::buffered(bytes))
}

/// Returns the connection of a refused attempt to the pool, unless the upstream closes it.
pub(crate) async fn return_refused_connection(
    gateway: &Gateway,
    connection: UpstreamConnection,
    body: Incoming,
    headers: &HeaderMap,
    context: &RequestContext,
) {
    if has_close_header(headers) {
        connection.close();
        return;
    }
    let attempt = context.headers.get(ATTEMPT_ID);
    gateway.pool.return_refused(connection, body, attempt, keep_alive_s(headers)).await;
}

fn has_close_header(headers: &HeaderMap) -> bool {
    headers.get("connection").is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns a connection to the pool unless the upstream closes it.
pub(crate) fn return_connection(gateway: &Gateway, connection: UpstreamConnection, headers: &HeaderMap) {
    if has_close_header(headers) {
        connection.close();
    } else {
        gateway.pool.return_connection(connection, keep_alive_s(headers));
    }
}

/// Head of an upstream's response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerHead<'a> {
    pub status: StatusCode,
    pub headers: &'a HeaderMap,
    /// Time in ms from the send to the first byte, or to the first event of a stream.
    pub first_byte_ms: u64,
}

/// Updates the upstream's statistics from a response.
pub(crate) fn record_response(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    upstream: &UpstreamId,
    answer: AnswerHead<'_>,
) {
    let AnswerHead { status, headers, first_byte_ms } = answer;
    let now = gateway.now();
    gateway.metrics.first_byte_s.observe(first_byte_ms as f64 / 1_000.0);
    let mut state = gateway.lock();
    let Some(known) = state.upstreams.get_mut(upstream) else { return };
    if has_failed(status) {
        known.failure_share += 0.1 * (1.0 - known.failure_share);
        known.breaker.undecided(now);
    } else {
        known.record_success(first_byte_ms, now);
    }
    if let Some(load) = upstream_load(headers) {
        known.record_load(load, now);
    }
    if !has_failed(status) {
        record_begin(&mut state, context, admitted, upstream, first_byte_ms, now);
    }
}

/// Builds the caller's response from an upstream's.
pub(crate) fn caller_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    for (name, value) in headers {
        if is_forwarded_to_caller(name) && name != CONTENT_LENGTH {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}
