//! A call whose response is read completely, checked, and forwarded unchanged.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_adapter::header_names::{ATTEMPT_ID, NOT_RUN, SEAL};
use cowslip_adapter::{keep_alive_s, passes_to_caller, told_load};
use cowslip_entry::{RouteKind, UpstreamStart};
use cowslip_units::{ErrorKind, UpstreamId};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer_body::AnswerBody;
use crate::dispatch::{CallGuard, RequestFlight, SendOutcome, has_alternative};
use crate::gateway_state::Gateway;
use crate::request_context::{AdmittedRequest, RequestContext, may_send};
use crate::upstream_notice::note_notice;
use crate::upstream_pool::{SendFault, UpstreamConnection};
use crate::upstream_request::upstream_request;

/// Largest response in bytes that is buffered.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// An idempotent call is abandoned for another upstream after this multiple of its objective.
const PATIENCE_FACTOR: f64 = 1.5;

/// Result of checking a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadCheck {
    /// A response to this request, signed by the upstream.
    Sound,
    /// The upstream did not run the request; true when it is another upstream or lacks the model.
    NotRun(bool),
    /// Not a response to this request, or not a valid one.
    Foreign,
}

/// Checks a response head. One with another attempt's id is a duplicate of an earlier response and says
/// nothing about this request, not even that it did not run.
pub(crate) fn check_head(context: &RequestContext, status: StatusCode, headers: &HeaderMap) -> HeadCheck {
    let echoed = headers.get(ATTEMPT_ID).map(|value| value.as_bytes());
    if echoed.is_some_and(|echoed| echoed != context.caller.attempt.as_bytes()) {
        return HeadCheck::Foreign;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return HeadCheck::NotRun(true);
    }
    if headers.contains_key(NOT_RUN) {
        return HeadCheck::NotRun(false);
    }
    let sealed = headers.contains_key(SEAL);
    if sealed && !headers.contains_key(CONTENT_ENCODING) { HeadCheck::Sound } else { HeadCheck::Foreign }
}

/// Address of an upstream, and the instance start that is expected to answer there.
pub(crate) fn send_target(gateway: &Gateway, upstream: &UpstreamId) -> Option<(SocketAddr, UpstreamStart)> {
    let state = gateway.lock();
    let address = state.book.get(upstream)?.entry.address;
    Some((address, state.book.start_of(upstream)?))
}

/// Checks a response head, and records its notices unless it belongs to another request.
pub(crate) fn noted_head(
    gateway: &Gateway,
    context: &RequestContext,
    start: &UpstreamStart,
    status: StatusCode,
    headers: &HeaderMap,
) -> HeadCheck {
    let check = check_head(context, status, headers);
    let attempt = &context.caller.attempt;
    let echoed = headers.get(ATTEMPT_ID).is_some_and(|echoed| echoed.as_bytes() == attempt.as_bytes());
    if check != HeadCheck::Foreign || echoed {
        note_notice(gateway, Some(start), status, headers, attempt);
    }
    check
}

/// Sends a request and reads its response.
pub(crate) async fn plain_call(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    flight: &RequestFlight,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> SendOutcome {
    let sent_at = gateway.now();
    let Some((address, start)) = send_target(gateway, upstream) else { return SendOutcome::NotSent };
    let Ok(request) = upstream_request(context, admitted, &flight.limit, upstream, None, sent_at) else {
        return SendOutcome::NotSent;
    };
    let end_ms = flight.limit.end_by.since_ms(sent_at);
    let again = admitted.route.kind == RouteKind::Idempotent && flight.runs + 1 < admitted.route.max_attempts;
    let patience_ms = (admitted.route.objective_ms as f64 * PATIENCE_FACTOR) as u64;
    let wait_ms = if again { end_ms.min(patience_ms) } else { end_ms };
    let call = async {
        let allowed = || may_send(gateway, context, upstream, sent_at);
        let (response, connection) = gateway.pool.send(address, request, allowed).await?;
        let first_ms = gateway.now().since_ms(sent_at);
        let (parts, body) = response.into_parts();
        Ok(match noted_head(gateway, context, &start, parts.status, &parts.headers) {
            HeadCheck::NotRun(misplaced) => {
                refused(gateway, connection, body, &parts.headers, context).await;
                SendOutcome::NotRun(misplaced)
            }
            HeadCheck::Foreign => SendOutcome::Lost(ErrorKind::UpstreamGarbled),
            HeadCheck::Sound => {
                let body = read_whole(body).await.map_err(SendFault::Broken)?;
                note_answer(gateway, upstream, parts.status, &parts.headers, first_ms);
                put_back(gateway, connection, &parts.headers);
                let failed = parts.status.is_server_error();
                let response = caller_answer(parts.status, &parts.headers, AnswerBody::whole(body));
                if failed { SendOutcome::Failure(response) } else { SendOutcome::Answered(response) }
            }
        })
    };
    let gives_up = || has_alternative(gateway, admitted, flight, flight.runs + 1, upstream);
    let outcome = with_patience(call, wait_ms, end_ms, gives_up).await;
    drop(guard);
    match outcome {
        Some(Ok(outcome)) => outcome,
        Some(Err(fault)) => unanswered(&fault),
        None => SendOutcome::Lost(ErrorKind::DeadlineExceeded),
    }
}

/// Awaits `answer` for `patience_ms`, and after that until `end_ms` unless `gives_up` returns true.
pub(crate) async fn with_patience<T>(
    answer: impl Future<Output = T>,
    patience_ms: u64,
    end_ms: u64,
    gives_up: impl Fn() -> bool,
) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    if let Ok(answer) = timeout(Duration::from_millis(patience_ms), answer.as_mut()).await {
        return Some(answer);
    }
    if patience_ms >= end_ms || gives_up() {
        return None;
    }
    timeout(Duration::from_millis(end_ms - patience_ms), answer).await.ok()
}

/// Maps a failed send to its outcome.
pub(crate) const fn unanswered(fault: &SendFault) -> SendOutcome {
    match fault {
        SendFault::NotSent(_) => SendOutcome::NotSent,
        SendFault::Withheld => SendOutcome::Withheld,
        SendFault::Broken(_) => SendOutcome::Lost(ErrorKind::UpstreamFailed),
    }
}

/// Reads a response body of at most [`MAX_ANSWER_BYTES`].
pub(crate) async fn read_whole(body: Incoming) -> Result<Bytes, String> {
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.to_string()),
    }
}

/// Returns the connection of a refused attempt to the pool, unless the upstream closes it.
pub(crate) async fn refused(
    gateway: &Gateway,
    connection: UpstreamConnection,
    body: Incoming,
    headers: &HeaderMap,
    context: &RequestContext,
) {
    if closes(headers) {
        connection.close();
        return;
    }
    let attempt = context.headers.get(ATTEMPT_ID);
    gateway.pool.put_back_refused(connection, body, attempt, keep_alive_s(headers)).await;
}

fn closes(headers: &HeaderMap) -> bool {
    headers.get("connection").is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns a connection to the pool unless the upstream closes it.
pub(crate) fn put_back(gateway: &Gateway, connection: UpstreamConnection, headers: &HeaderMap) {
    if closes(headers) {
        connection.close();
    } else {
        gateway.pool.put_back(connection, keep_alive_s(headers));
    }
}

/// Updates the upstream's statistics from a response.
pub(crate) fn note_answer(
    gateway: &Gateway,
    upstream: &UpstreamId,
    status: StatusCode,
    headers: &HeaderMap,
    first_ms: u64,
) {
    let now = gateway.now();
    gateway.metrics.first_byte_s.observe(first_ms as f64 / 1_000.0);
    let mut state = gateway.lock();
    let Some(known) = state.book.get_mut(upstream) else { return };
    if status.is_server_error() {
        known.failure_share += 0.1 * (1.0 - known.failure_share);
        known.breaker.undecided(now);
    } else {
        known.succeeded(first_ms, now);
    }
    if let Some(load) = told_load(headers) {
        // The load reported in a response still includes the call that it answers.
        known.others = load.saturating_sub(known.running + 1);
    }
}

/// Builds the caller's response from an upstream's.
pub(crate) fn caller_answer(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    for (name, value) in headers {
        if passes_to_caller(name) && name != CONTENT_LENGTH {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}
