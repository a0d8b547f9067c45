//! A caller's request as received, and the configuration that applies to it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bytes::Bytes;
use cowslip_adapter::CallerHeaders;
use cowslip_entry::{FleetConfig, RouteRule, TeamRule, request_key};
use cowslip_units::{ClockTime, ErrorKind, PartId, TeamId, UpstreamId};
use http::{HeaderMap, Method};
use slog::info;
use smol_str::SmolStr;

use crate::gateway::Gateway;
use crate::request_rejection::RequestRejection;

/// A key check must be this many ms fresher than the time limit for revocations.
const REVOKE_MARGIN_MS: u64 = 300;

/// Staleness in ms of the view from which an unknown key or route may have been added meanwhile, so that the
/// request is rejected as unavailable instead of denied.
const STALE_VIEW_MS: u64 = 2_000;

/// Time in ms for which a check of route and key stays valid while a connection is opened.
const CHECK_VALID_MS: u64 = 50;

/// Bytes of a body that tell calls apart.
const MAX_KEY_BYTES: usize = 16 * 1_024;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub method: Method,
    /// Path without query.
    pub path: SmolStr,
    /// Path and query as received.
    pub target: SmolStr,
    /// Host header, in lower case and without port.
    pub host: SmolStr,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Values of the headers that the gateway evaluates.
    pub caller: CallerHeaders,
    /// What the crash log knows the request by: its shared prompt parts and its key, sorted.
    pub crash_parts: Vec<PartId>,
    /// Time at which the head was read.
    pub arrived_at: ClockTime,
    /// True once the request has been counted for its team's usage.
    pub is_counted: Arc<AtomicBool>,
}

impl RequestContext {
    /// Completes the request with its body.
    #[must_use]
    pub(crate) fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self.crash_parts = self.caller.parts.clone();
        self.crash_parts.extend(self.key());
        self.crash_parts.sort_unstable();
        self
    }

    /// Key of the request: the same prompt for the same model, or, without a prompt, the same call.
    fn key(&self) -> Option<PartId> {
        if let Some(prompt) = &self.caller.prompt {
            let model = self.caller.model.as_ref();
            let name = model.map_or("", |need| need.model.as_str());
            let adapter = model.and_then(|need| need.adapter.as_deref()).unwrap_or("");
            return request_key([name, adapter, prompt]);
        }
        let body = String::from_utf8_lossy(self.body.get(..MAX_KEY_BYTES).unwrap_or(&self.body));
        request_key([self.method.as_str(), &self.host, &self.target, &body])
    }
}

/// A request that is allowed by the current configuration.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    /// Configuration it was checked against.
    pub config: Arc<FleetConfig>,
    /// Matching route.
    pub route: RouteRule,
    /// Team of the key; `None` on open routes.
    pub team: Option<TeamRule>,
}

impl AdmittedRequest {
    /// Priority of the request; the team's takes precedence over the route's.
    pub(crate) fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|team| team.priority).unwrap_or(self.route.priority)
    }
}

/// How the team of a request is known.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallerTeam<'a> {
    /// By the key that the caller sent.
    Key(Option<&'a str>),
    /// By its name, for a request that is only explained.
    Name(Option<&'a TeamId>),
}

/// Checks a request against the current view. Called on arrival and again before each send.
pub(crate) fn admit(
    gateway: &Gateway,
    context: &RequestContext,
) -> Result<AdmittedRequest, RequestRejection> {
    admit_caller(gateway, &context.host, &context.path, CallerTeam::Key(context.caller.key.as_deref()))
}

/// Checks the host, path and team of a request against the current view.
pub(crate) fn admit_caller(
    gateway: &Gateway,
    host: &str,
    path: &str,
    caller: CallerTeam<'_>,
) -> Result<AdmittedRequest, RequestRejection> {
    let now = gateway.now();
    let state = gateway.lock();
    let Some(config) = state.view.config().cloned() else {
        return Err(RequestRejection::new(ErrorKind::ViewStale));
    };
    let age_ms = state.view.age_ms(now).unwrap_or(u64::MAX);
    drop(state);
    let unknown_rejection = |kind: ErrorKind| {
        RequestRejection::new(if age_ms >= STALE_VIEW_MS { ErrorKind::ViewStale } else { kind })
    };
    let Some(route) = config.route(host, path).cloned() else {
        return Err(unknown_rejection(ErrorKind::RouteNotFound));
    };
    let team = if route.open || config.teams().is_empty() {
        None
    } else {
        let fresh_ms = gateway.settings.revoke_ms.map(|bound_ms| bound_ms.saturating_sub(REVOKE_MARGIN_MS));
        if fresh_ms.is_some_and(|fresh_ms| age_ms >= fresh_ms) {
            return Err(RequestRejection::new(ErrorKind::ViewStale));
        }
        let (is_given, team) = match caller {
            CallerTeam::Key(key) => (key.is_some(), key.and_then(|key| config.team_of_key(key))),
            CallerTeam::Name(name) => (name.is_some(), name.and_then(|name| config.team(name))),
        };
        let kind = if is_given { ErrorKind::KeyUnknown } else { ErrorKind::KeyMissing };
        Some(team.cloned().ok_or_else(|| unknown_rejection(kind))?)
    };
    Ok(AdmittedRequest { config, route, team })
}

/// True when a request that was checked at `checked_at` may still be sent to an upstream. Opening a
/// connection takes time and the process may have been suspended meanwhile; the upstream may be leaving or
/// paused by now.
pub(crate) fn may_send(
    gateway: &Gateway,
    context: &RequestContext,
    upstream: &UpstreamId,
    checked_at: ClockTime,
) -> bool {
    let now = gateway.now();
    {
        let state = gateway.lock();
        let is_fresh = state.upstream_freshness.is_usable(gateway.settings.drain_ms, now);
        let held = state.quarantined_part(&gateway.settings.name, &context.crash_parts, gateway.crash_time());
        if !is_fresh || held.is_some() || !state.upstreams.can_accept(upstream, &state.evacuated, now) {
            return false;
        }
    }
    let allowed = now.since_ms(checked_at) < CHECK_VALID_MS || admit(gateway, context).is_ok();
    if allowed {
        log_stale_send(gateway, context, upstream, now);
    }
    allowed
}

/// Logs a send that relies on an entry already removed from the store, or on entries too stale to keep the
/// time limit for requests to leaving upstreams.
fn log_stale_send(gateway: &Gateway, context: &RequestContext, upstream: &UpstreamId, now: ClockTime) {
    let mut state = gateway.lock();
    let freshness = state.upstream_freshness;
    let removed_at = state.upstreams.get(upstream).and_then(|known| known.removed_at);
    if removed_at.is_none() && freshness.is_fresh(gateway.settings.drain_ms, now) {
        return;
    }
    let late_ms = state.delay.longest_ms(now);
    drop(state);
    if gateway.may_log() {
        info!(gateway.logger, "sent_with_stale_view"; "request" => %context.caller.attempt, "upstream" => %upstream,
            "staleness_ms" => freshness.confirmed_at().map(|at| now.since_ms(at)), "failing_ms" => freshness.failing_ms(now),
            "since_removal_ms" => removed_at.map(|at| now.since_ms(at)), "timer_late_ms" => late_ms);
    }
}
