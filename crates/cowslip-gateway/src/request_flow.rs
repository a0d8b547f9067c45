//! Request handling: reading the request, route and key checks, token reservation, dispatch.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_adapter::{CallerHeaders, is_forwarded_to_upstream};
use cowslip_entry::{
    ReserveOutcome, RouteKind, RouteRule, TeamRule, TokenNeed, TokenWait, WaitLimit, standalone_after_ms,
};
use cowslip_units::{ClockTime, ErrorKind};
use http::header::{EXPECT, HOST};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use slog::info;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::dispatch::dispatch;
use crate::gateway::Gateway;
use crate::gateway_metrics::{CutLabels, OutcomeLabels};
use crate::lease_task::LEASE_MS;
use crate::part_guard::check_arrival;
use crate::request_context::{RequestContext, admit};
use crate::request_memory::{BodyFault, discard_body};
use crate::request_rejection::RequestRejection;
use crate::response_body::ResponseBody;

/// Route priority from which large requests are rejected first when a team's quota runs low; 0 is the most
/// urgent.
const BULK_PRIORITY: u8 = 2;

/// Poll interval in ms while a request waits for its team's tokens.
const TOKEN_POLL_MS: u64 = 25;

/// Label value of a route kind in metrics.
pub(crate) const fn route_kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Streaming => "streaming",
    }
}

/// Handles a request and returns the response, or the gateway's own rejection.
pub(crate) async fn serve_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = gateway.now();
    let caller = CallerHeaders::read(request.headers());
    let attempt = caller.attempt.clone();
    match process_request(gateway, request, caller, arrived_at).await {
        Ok(response) => response,
        Err(rejection) => {
            let outcome = rejection.kind.as_str();
            gateway.metrics.requests.get_or_create(&OutcomeLabels { kind: "refused", outcome }).inc();
            if gateway.may_log() {
                let now = gateway.now();
                let (age_ms, version) = {
                    let state = gateway.lock();
                    (state.view.age_ms(now), state.config_version())
                };
                info!(gateway.logger, "request_refused"; "request" => %attempt, "outcome" => outcome,
                    "retry_after_ms" => rejection.retry_after_ms, "held_ms" => now.since_ms(arrived_at),
                    "view_age_ms" => age_ms, "config" => version);
            }
            rejection.response()
        }
    }
}

async fn process_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    caller: CallerHeaders,
    arrived_at: ClockTime,
) -> Result<Response<ResponseBody>, RequestRejection> {
    let (parts, body) = request.into_parts();
    let is_held_back = parts.headers.contains_key(EXPECT);
    let target = parts.uri.path_and_query().map(|target| target.as_str()).unwrap_or("/");
    let context = RequestContext {
        method: parts.method,
        path: SmolStr::new(parts.uri.path()),
        target: SmolStr::new(target),
        host: request_host(&parts.headers),
        headers: forwarded_headers(parts.headers),
        body: Bytes::new(),
        caller,
        crash_parts: Vec::new(),
        arrived_at,
        is_counted: Arc::default(),
    };
    let body = receive_body(gateway, &context, body, is_held_back).await?;
    let context = context.with_body(body);
    if *gateway.closing.borrow() {
        // Too little of the grace period is left for a request whose body took until now.
        return Err(RequestRejection::new(ErrorKind::Draining));
    }
    let admitted = admit(gateway, &context)?;
    check_arrival(gateway, &context)?;
    let limit = WaitLimit::new(&admitted.route, context.caller.deadline_ms, arrived_at);
    let charge = match &admitted.team {
        Some(team) if team.is_limited() && gateway.settings.rate_bound.is_some() => {
            let charge = team.charge(context.caller.tokens);
            let bulk = is_bulk(&admitted.route, team, charge);
            let token_request = TokenRequest { route: &admitted.route, team, charge, bulk };
            reserve_tokens(gateway, &context, &token_request, &limit).await?;
            Some((team.name.clone(), charge))
        }
        _ => None,
    };
    let outcome = dispatch(gateway, &context, admitted, limit).await;
    if let (Err(rejection), Some((team, charge))) = (&outcome, charge)
        && rejection.kind.answer().status != 502
        && rejection.kind.answer().status != 504
    {
        let now = gateway.now();
        gateway.lock().team_tokens(&team, now).quota.refund(charge);
    }
    outcome
}

fn request_host(headers: &HeaderMap) -> SmolStr {
    let text = headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    SmolStr::new(text.split(':').next().unwrap_or_default().to_lowercase())
}

/// Headers to forward: all except hop-by-hop headers and those that only the gateway may set.
fn forwarded_headers(headers: HeaderMap) -> HeaderMap {
    let named: Vec<SmolStr> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| SmolStr::new(name.trim().to_lowercase()))
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in &headers {
        if is_forwarded_to_upstream(name) && !named.iter().any(|named| named == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Reads the body of a request whose head is allowed, within the limits and the memory for bodies. `is_held_back`: the
/// caller sends it only when the gateway begins to read.
async fn receive_body(
    gateway: &Gateway,
    context: &RequestContext,
    mut body: Incoming,
    is_held_back: bool,
) -> Result<Bytes, RequestRejection> {
    let limits = gateway.lock().view.config().map(|config| config.limits()).unwrap_or_default();
    if let Err(rejection) = admit(gateway, context) {
        if !is_held_back {
            discard_body(&mut body, limits.body_bytes, limits.header_ms).await;
        }
        return Err(rejection);
    }
    let body_ms = context.caller.deadline_ms.unwrap_or(limits.idle_ms);
    let reading = gateway.request_memory.read(&mut body, limits.body_bytes);
    let Ok(read) = timeout(Duration::from_millis(body_ms), reading).await else {
        return Err(RequestRejection::new(ErrorKind::ReadTimeout));
    };
    let fault = match read {
        Ok(bytes) => return Ok(bytes),
        Err(fault) => fault,
    };
    log_body_fault(gateway, context, fault);
    if matches!(fault, BodyFault::NoMemory | BodyFault::TooLarge) && !is_held_back {
        discard_body(&mut body, limits.body_bytes, limits.header_ms).await;
    }
    Err(RequestRejection::new(match fault {
        BodyFault::TooLarge => ErrorKind::BodyTooLarge,
        BodyFault::Incomplete => ErrorKind::BodyIncomplete,
        BodyFault::NoMemory => ErrorKind::QueueFull,
        BodyFault::Abandoned => ErrorKind::ReadTimeout,
    }))
}

fn log_body_fault(gateway: &Gateway, context: &RequestContext, fault: BodyFault) {
    let cause = match fault {
        BodyFault::NoMemory => "no_memory",
        BodyFault::Abandoned => "abandoned",
        BodyFault::TooLarge | BodyFault::Incomplete => return,
    };
    gateway.metrics.refused_bodies.get_or_create(&CutLabels { cause }).inc();
    if gateway.may_log() {
        info!(gateway.logger, "body_refused"; "request" => %context.caller.attempt, "cause" => cause,
            "held_ms" => gateway.now().since_ms(context.arrived_at),
            "body_bytes" => gateway.request_memory.used_bytes());
    }
}

/// True for a large request of low priority. When a team's quota runs low, it is kept for urgent requests and
/// for small ones, many of which fit in place of one large request.
pub(crate) fn is_bulk(route: &RouteRule, team: &TeamRule, charge: u64) -> bool {
    route.priority >= BULK_PRIORITY && charge > 2 * team.plain_tokens.max(1)
}

/// A request's demand on its team's quota.
struct TokenRequest<'a> {
    route: &'a RouteRule,
    team: &'a TeamRule,
    charge: u64,
    bulk: bool,
}

/// Reserves the tokens of a request, waiting a short time for a grant from the leader.
async fn reserve_tokens(
    gateway: &Gateway,
    context: &RequestContext,
    token_request: &TokenRequest<'_>,
    limit: &WaitLimit,
) -> Result<(), RequestRejection> {
    let TokenRequest { route, team, charge, bulk } = *token_request;
    let begun_at = gateway.now();
    let mut is_reported = false;
    let outcome = loop {
        let now = gateway.now();
        let notified = gateway.state_changed.notified();
        {
            let mut state = gateway.lock();
            let last_contact = state.last_leader_contact;
            let lost_at = state.leader_lost_at;
            let standalone_ms = standalone_after_ms(state.member_count());
            let is_standalone = last_contact.is_none_or(|at| now.since_ms(at) >= standalone_ms);
            let tokens = state.team_tokens(&team.name, now);
            let low_quota_ms = tokens.low_quota_until.since_ms(now);
            let need = TokenNeed { charge, bulk, asked: is_reported, is_standalone, tight: low_quota_ms > 0 };
            match tokens.quota.take(&need, now) {
                ReserveOutcome::Taken => break Ok(()),
                ReserveOutcome::HeldBack => {
                    break Err(RequestRejection::new(ErrorKind::RateLimited)
                        .with_retry_after(limit.retry_after_ms(low_quota_ms, now)));
                }
                ReserveOutcome::Short(_) => {}
            }
            // The answer of a leader that has lost its lease since then does not count as a rejection.
            let wait = TokenWait {
                waited_ms: now.since_ms(begun_at),
                refused_ms: tokens.rejected_until.since_ms(now),
                answered: lost_at.is_none() && last_contact.is_some_and(|at| at >= begun_at),
                silent_ms: last_contact.map(|at| now.since_ms(at)),
            };
            if is_reported && wait.is_refused() {
                break Err(RequestRejection::new(ErrorKind::RateLimited)
                    .with_retry_after(limit.retry_after_ms(wait.refused_ms, now)));
            }
            if wait.has_timed_out() || now >= limit.reject_at() {
                let wait_ms = wait.retry_ms(LEASE_MS);
                break Err(RequestRejection::new(ErrorKind::RateLimited)
                    .with_retry_after(limit.retry_after_ms(wait_ms, now)));
            }
            if !is_reported {
                is_reported = true;
                tokens.short += charge;
                gateway.request_report();
            }
        }
        // A missed wake-up only delays the next check.
        let _ = timeout(Duration::from_millis(TOKEN_POLL_MS), notified).await;
    };
    if is_reported || outcome.is_err() {
        let now = gateway.now();
        let mut state = gateway.lock();
        let tokens = state.team_tokens(&team.name, now);
        if is_reported {
            tokens.short = tokens.short.saturating_sub(charge);
        }
        let (left, wait_ms) = (tokens.quota.remaining(now), tokens.rejected_until.since_ms(now));
        let low_quota_ms = tokens.low_quota_until.since_ms(now);
        let since_contact_ms = state.last_leader_contact.map(|at| now.since_ms(at));
        drop(state);
        if outcome.is_err() && gateway.may_log() {
            info!(gateway.logger, "tokens_refused"; "request" => %context.caller.attempt, "team" => %team.name,
                "route" => %route.name, "objective_ms" => route.objective_ms,
                "charge" => charge, "rate" => team.per_s, "burst" => team.burst, "left" => left,
                "wait_ms" => wait_ms, "bulk" => bulk, "low_quota_ms" => low_quota_ms, "leader_contact_age_ms" => since_contact_ms);
        }
    }
    outcome
}
