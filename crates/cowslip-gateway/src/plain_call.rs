//! One call whose answer is read whole, checked, and passed on unchanged.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_adapter::header_names::{ATTEMPT_ID, NOT_RUN, SEAL};
use cowslip_adapter::{keep_alive_s, passes_to_caller, told_load};
use cowslip_entry::RouteKind;
use cowslip_units::{ErrorKind, UpstreamId};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer_body::AnswerBody;
use crate::dispatch::{CallGuard, RequestFlight, SendOutcome};
use crate::gateway_state::Gateway;
use crate::request_context::{AdmittedRequest, RequestContext};
use crate::upstream_pool::{SendFault, UpstreamConnection};
use crate::upstream_request::upstream_request;

/// Largest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A repeatable call is given up for another upstream after so many times its objective.
const PATIENCE_FACTOR: f64 = 1.5;

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadCheck {
    /// The upstream's own answer to this request.
    Sound,
    /// The upstream did not run the request; true when it is not the one, or does not hold the model.
    NotRun(bool),
    /// Not an answer to this request.
    Foreign,
}

/// Checks the head of an answer.
pub(crate) fn check_head(context: &RequestContext, status: StatusCode, headers: &HeaderMap) -> HeadCheck {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return HeadCheck::NotRun(true);
    }
    if headers.contains_key(NOT_RUN) {
        return HeadCheck::NotRun(false);
    }
    let echoed = headers.get(ATTEMPT_ID).map(|value| value.as_bytes());
    let own = echoed.is_none_or(|echoed| echoed == context.caller.attempt.as_bytes());
    let sealed = headers.contains_key(SEAL);
    if own && sealed && !headers.contains_key(CONTENT_ENCODING) {
        HeadCheck::Sound
    } else {
        HeadCheck::Foreign
    }
}

/// Makes a plain call.
pub(crate) async fn plain_call(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    flight: &RequestFlight,
    upstream: &UpstreamId,
    guard: CallGuard,
) -> SendOutcome {
    let sent_at = gateway.now();
    let Some(address) = gateway.lock().book.get(upstream).map(|known| known.entry.address) else {
        return SendOutcome::NotSent;
    };
    let Ok(request) = upstream_request(context, admitted, &flight.limit, upstream, None, sent_at) else {
        return SendOutcome::NotSent;
    };
    let end_ms = flight.limit.end_by.since_ms(sent_at);
    let again = admitted.route.kind == RouteKind::Idempotent && flight.runs + 1 < admitted.route.max_attempts;
    let patience_ms = (admitted.route.objective_ms as f64 * PATIENCE_FACTOR) as u64;
    let wait_ms = if again { end_ms.min(patience_ms) } else { end_ms };
    let call = async {
        let (response, connection) = gateway.pool.send(address, request).await?;
        let first_ms = gateway.now().since_ms(sent_at);
        let (parts, body) = response.into_parts();
        match read_whole(body).await {
            Ok(body) => Ok((parts, body, connection, first_ms)),
            Err(message) => Err(SendFault::Broken(message)),
        }
    };
    let outcome = timeout(Duration::from_millis(wait_ms), call).await;
    drop(guard);
    let (parts, body, connection, first_ms) = match outcome {
        Ok(Ok(answer)) => answer,
        Ok(Err(SendFault::NotSent(_))) => return SendOutcome::NotSent,
        Ok(Err(SendFault::Broken(_))) => return SendOutcome::Lost(ErrorKind::UpstreamFailed),
        Err(_) => return SendOutcome::Lost(ErrorKind::DeadlineExceeded),
    };
    let check = check_head(context, parts.status, &parts.headers);
    match check {
        HeadCheck::NotRun(misplaced) => {
            put_back(gateway, connection, &parts.headers);
            SendOutcome::NotRun(misplaced)
        }
        HeadCheck::Foreign => {
            connection.close();
            SendOutcome::Lost(ErrorKind::UpstreamGarbled)
        }
        HeadCheck::Sound => {
            note_answer(gateway, upstream, parts.status, &parts.headers, first_ms);
            put_back(gateway, connection, &parts.headers);
            let failed = parts.status.is_server_error();
            let response = caller_answer(parts.status, &parts.headers, AnswerBody::whole(body));
            if failed { SendOutcome::Failure(response) } else { SendOutcome::Answered(response) }
        }
    }
}

async fn read_whole(body: Incoming) -> Result<Bytes, String> {
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.to_string()),
    }
}

/// Returns a connection to the pool unless the upstream closes it.
pub(crate) fn put_back(gateway: &Gateway, connection: UpstreamConnection, headers: &HeaderMap) {
    let closes =
        headers.get("connection").is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        connection.close();
    } else {
        gateway.pool.put_back(connection, keep_alive_s(headers));
    }
}

/// Takes note of an upstream's answer.
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
        // The answered call still counts in what it tells.
        known.others = load.saturating_sub(known.running + 1);
    }
}

/// The answer as the caller gets it.
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
